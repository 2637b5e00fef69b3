/** Delays between retries. */

/** Upper bound of the first delay; doubles with each failure up to the cap. */
const FIRST_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 5_000;
const MAX_DOUBLINGS = 10;

/**
 * Returns a delay with full jitter, so that instances do not retry against the
 * store at the same time.
 */
export function backoffMs(failures: number): number {
  const doublings = Math.min(failures, MAX_DOUBLINGS);
  const cap = Math.min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
  return Math.random() * cap;
}

/** Returns a random duration between 75 % and 125 % of `durationMs`. */
export function jittered(durationMs: number): number {
  return durationMs * (0.75 + Math.random() / 2);
}
