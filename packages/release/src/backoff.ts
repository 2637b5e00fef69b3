/** Pauses between tries. */

/** Pause after the first failure; doubled up to the cap, then jittered. */
const FIRST_BACKOFF_MS = 100;
const LARGEST_BACKOFF_MS = 5_000;
const LARGEST_DOUBLINGS = 10;

/** Full jitter, so that instances do not return to the store in step. */
export function backoffMs(failures: number): number {
  const doublings = Math.min(failures, LARGEST_DOUBLINGS);
  const cap = Math.min(LARGEST_BACKOFF_MS, FIRST_BACKOFF_MS * 2 ** doublings);
  return Math.random() * cap;
}

/** Between three and five quarters of `durationMs`. */
export function jittered(durationMs: number): number {
  return durationMs * (0.75 + Math.random() / 2);
}
