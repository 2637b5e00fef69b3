/**
 * Decides at once whether a request may wait: only if its first token is
 * likely to come in time. A refusal says when to come back.
 */
import type { Priority } from "@rosemarypin/schemas";

/** Longest time a first token of each class may take, as a multiple of the
 * objective; batch work is not read by someone who waits. */
const PATIENCE: Readonly<Record<Priority, number>> = {
  interactive: 1,
  standard: 1,
  batch: 12,
};
/** Part of the objective left for what the prediction cannot see. */
const MARGIN = 0.85;
const SHORTEST_RETRY_SECONDS = 1;
const LONGEST_RETRY_SECONDS = 60;

export interface AdmissionRequest {
  readonly priority: Priority;
  /** When the caller stops waiting, in milliseconds since the epoch. */
  readonly deadlineAt: number;
  /** Predicted time until the request gets its engines. */
  readonly predictedWaitMs: number;
  /** Time from engines to the first token, as seen lately. */
  readonly firstTokenMs: number;
}

export type Admission =
  | {
      readonly kind: "admitted" /** May wait until then. */;
      readonly until: number;
    }
  | { readonly kind: "refused"; readonly retryAfterSeconds: number };

/** Weighs the predicted first token against deadline and objective. */
export function admit(
  request: AdmissionRequest,
  options: { readonly firstTokenObjectiveMs: number },
): Admission {
  const patienceMs =
    options.firstTokenObjectiveMs * PATIENCE[request.priority] * MARGIN;
  const untilDeadlineMs = request.deadlineAt - Date.now();
  const mayWaitMs =
    Math.min(patienceMs, untilDeadlineMs) - request.firstTokenMs;
  const isUseless = mayWaitMs <= 0 && request.predictedWaitMs > 0;
  if (isUseless || request.predictedWaitMs > Math.max(0, mayWaitMs)) {
    const excessMs = request.predictedWaitMs - Math.max(0, mayWaitMs);
    return { kind: "refused", retryAfterSeconds: retryAfter(excessMs) };
  }
  return { kind: "admitted", until: Date.now() + Math.max(0, mayWaitMs) };
}

/** The time in which the excess of waiting work will have been taken up. */
export function retryAfter(excessMs: number): number {
  const seconds = Math.ceil(excessMs / 1_000);
  return Math.min(
    LONGEST_RETRY_SECONDS,
    Math.max(SHORTEST_RETRY_SECONDS, seconds),
  );
}
