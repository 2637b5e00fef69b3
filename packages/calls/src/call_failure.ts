/** Final failures of calls, each with the outcome reported to the caller. */
import type { Outcome } from "@rosemarypin/schemas";

/** Why a call failed, as reported to its caller. */
export interface CallFailure {
  readonly outcome: Outcome;
  /** Stable error code that programs can match. */
  readonly code: string;
  /** What happened and what the caller can do about it. */
  readonly message: string;
  /** HTTP status of the reply. */
  readonly status: number;
  readonly retryAfterSeconds?: number;
  readonly noteNumber?: number;
}

/** The call certainly did not run, so the caller may retry it. */
export function notRun(
  code: string,
  options: { readonly message: string; readonly retryAfterSeconds: number },
): CallFailure {
  return { outcome: "not_run", code, status: 503, ...options };
}

/** The call is invalid; retrying it unchanged would fail again. */
export function badCall(
  code: string,
  options: { readonly message: string; readonly status: number },
): CallFailure {
  return { outcome: "failed", code, ...options };
}

/** The call may have run, but no complete answer is available. */
export function failedRun(
  code: string,
  options: { readonly message: string; readonly retryAfterSeconds?: number },
): CallFailure {
  return { outcome: "failed", code, status: 502, ...options };
}

/** The call may have run; the router does not retry it. */
export function outcomeUnknown(code: string, message: string): CallFailure {
  return { outcome: "outcome_unknown", code, status: 504, message };
}

/** A release note withdrew the service or model that the call needs. */
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
