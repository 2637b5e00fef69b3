/** Exponential backoff with full jitter, against synchronised retries. */

/** Bounds of the backoff. */
export interface JitterOptions {
  readonly firstMs: number;
  readonly maxMs: number;
}

/**
 * Returns a random delay from 0 to a cap that doubles with each consecutive
 * failure. The whole delay is random, so that clients which failed at the same
 * moment spread their retries over the whole range.
 */
export function fullJitterMs(
  failures: number,
  { firstMs, maxMs }: JitterOptions,
): number {
  const doublings = Math.min(Math.max(failures - 1, 0), 20);
  return Math.random() * Math.min(maxMs, firstMs * 2 ** doublings);
}
