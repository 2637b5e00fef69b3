/**
 * Admission control: how long a request may wait so that its first token is
 * still in time, and when a refused caller should retry.
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

/** Returns the longest useful wait for engines in milliseconds, 0 or more. */
export function maxWaitMs(
  request: {
    readonly priority: Priority;
    /** Deadline of the caller, in milliseconds since the epoch. */
    readonly deadlineAt: number;
    /** Recent average of the time from grant to first token. */
    readonly firstTokenMs: number;
  },
  options: { readonly firstTokenObjectiveMs: number },
): number {
  const maxFirstTokenMs =
    options.firstTokenObjectiveMs *
    OBJECTIVE_MULTIPLES[request.priority] *
    OBJECTIVE_SHARE;
  const untilDeadlineMs = request.deadlineAt - Date.now();
  return Math.max(
    0,
    Math.min(maxFirstTokenMs, untilDeadlineMs) - request.firstTokenMs,
  );
}

/** Returns the seconds until the excess wait has passed, within bounds. */
export function retryAfter(excessMs: number): number {
  const seconds = Math.ceil(excessMs / 1_000);
  return Math.min(MAX_RETRY_SECONDS, Math.max(MIN_RETRY_SECONDS, seconds));
}
