/**
 * Admission control: on arrival, a request is queued only if its first token
 * is predicted to be in time. A refusal includes a retry delay.
 */
import type { Priority } from "@rosemarypin/schemas";

/**
 * Maximum time to the first token of each class, as a multiple of the
 * objective. Batch requests have no interactive reader.
 */
const OBJECTIVE_MULTIPLES: Readonly<Record<Priority, number>> = {
  interactive: 1,
  standard: 1,
  batch: 12,
};
/** Share of the limit that is used; the rest covers prediction errors. */
const OBJECTIVE_SHARE = 0.85;
const MIN_RETRY_SECONDS = 1;
const MAX_RETRY_SECONDS = 60;

export interface AdmissionRequest {
  readonly priority: Priority;
  /** Deadline of the caller, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** Predicted time until the request is granted engines. */
  readonly predictedWaitMs: number;
  /** Recent average of the time from grant to first token. */
  readonly firstTokenMs: number;
}

export type Admission =
  | {
      readonly kind: "admitted";
      /** End of the maximum wait, in milliseconds since the epoch. */
      readonly until: number;
    }
  | { readonly kind: "refused"; readonly retryAfterSeconds: number };

/** Compares the predicted first token with the deadline and objective. */
export function admit(
  request: AdmissionRequest,
  options: { readonly firstTokenObjectiveMs: number },
): Admission {
  const maxFirstTokenMs =
    options.firstTokenObjectiveMs *
    OBJECTIVE_MULTIPLES[request.priority] *
    OBJECTIVE_SHARE;
  const untilDeadlineMs = request.deadlineAt - Date.now();
  const maxWaitMs =
    Math.min(maxFirstTokenMs, untilDeadlineMs) - request.firstTokenMs;
  const hasNoTimeToWait = maxWaitMs <= 0 && request.predictedWaitMs > 0;
  if (hasNoTimeToWait || request.predictedWaitMs > Math.max(0, maxWaitMs)) {
    const excessMs = request.predictedWaitMs - Math.max(0, maxWaitMs);
    return { kind: "refused", retryAfterSeconds: retryAfter(excessMs) };
  }
  return { kind: "admitted", until: Date.now() + Math.max(0, maxWaitMs) };
}

/** Returns the seconds until the excess wait has passed, within bounds. */
export function retryAfter(excessMs: number): number {
  const seconds = Math.ceil(excessMs / 1_000);
  return Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
}
