/** Timeout of an attempt that can still be retried on another server. */

/**
 * Share of the remaining time that one server gets. Without it, a server that
 * accepts requests and never answers would use up the whole deadline.
 */
const TRY_SHARE = 0.5;
/**
 * Minimum timeout as a multiple of the latency objective: a server that misses
 * the objective may only be slow.
 */
const MIN_TRY_OBJECTIVES = 2;
/**
 * Share of the remaining time that is reserved for the next server, even when
 * the minimum timeout is longer. A retry that can't finish before the deadline
 * costs a run without serving the caller.
 */
const RETRY_RESERVE_SHARE = 0.25;

/**
 * Computes the timeout of an attempt in milliseconds from the time left until
 * the deadline and the latency objective of the route.
 */
export function tryTimeoutMs(options: {
  readonly leftMs: number;
  readonly objectiveMs: number;
}): number {
  const { leftMs, objectiveMs } = options;
  const minMs = MIN_TRY_OBJECTIVES * objectiveMs;
  const maxMs = leftMs * (1 - RETRY_RESERVE_SHARE);
  return Math.ceil(Math.min(maxMs, Math.max(minMs, leftMs * TRY_SHARE)));
}
