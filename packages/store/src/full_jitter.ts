/** Waiting times that keep many clients from coming back in step. */

/** How a wait grows with the failures in a row. */
export interface JitterOptions {
  readonly firstMs: number;
  readonly largestMs: number;
}

/**
 * A random part of a cap that doubles with each failure. The whole wait is
 * random: clients that failed at the same moment spread over all of it.
 */
export function fullJitterMs(
  failures: number,
  { firstMs, largestMs }: JitterOptions,
): number {
  const doublings = Math.min(Math.max(failures - 1, 0), 20);
  return Math.random() * Math.min(largestMs, firstMs * 2 ** doublings);
}
