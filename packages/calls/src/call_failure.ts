/** Final failures of calls, and the outcome each stands for. */
import type { Outcome } from "@rosemarypin/schemas";

/** Why a call failed for good. */
export interface CallFailure {
  readonly outcome: Outcome;
  /** A stable word for programs. */
  readonly code: string;
  /** What happened and what to do next. */
  readonly message: string;
  readonly status: number;
  readonly retryAfterSeconds?: number;
  readonly noteNumber?: number;
}

/** Certain: nothing of the call ran. */
export function notRun(
  code: string,
  options: { readonly message: string; readonly retryAfterSeconds: number },
): CallFailure {
  return { outcome: "not_run", code, status: 503, ...options };
}

/** The call is wrong as it stands; the same call would fail again. */
export function badCall(
  code: string,
  options: { readonly message: string; readonly status: number },
): CallFailure {
  return { outcome: "failed", code, ...options };
}

/** The call ran, and there will be no answer. */
export function failedRun(
  code: string,
  options: { readonly message: string; readonly retryAfterSeconds?: number },
): CallFailure {
  return { outcome: "failed", code, status: 502, ...options };
}

/** The call may have run; nobody here will repeat it. */
export function outcomeUnknown(code: string, message: string): CallFailure {
  return { outcome: "outcome_unknown", code, status: 504, message };
}

/** A release note withdrew what the call asked for. */
export function withdrawnBy(
  noteNumber: number,
  options: { readonly reason: string; readonly what: string },
): CallFailure {
  const { reason, what } = options;
  return {
    outcome: "withdrawn",
    code: "withdrawn",
    status: 410,
    noteNumber,
    message: `${what} was withdrawn by release note ${noteNumber}: ${reason}`,
  };
}
