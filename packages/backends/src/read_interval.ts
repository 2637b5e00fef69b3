/** Interval of state reads that keeps them within a bandwidth budget. */

/** Bytes of one read in both directions: 605 of HTTP, and packet overhead. */
export const BYTES_PER_READ = 1_000;
/** Minimum interval between two reads of an engine. */
export const MIN_READ_INTERVAL_MS = 500;

/**
 * Returns the interval at which reading each of `engines` once takes
 * `bytesPerSecond`, or the minimum interval if that is longer.
 */
export function readIntervalMs(
  engines: number,
  options: { readonly bytesPerSecond: number },
): number {
  const intervalMs =
    (engines * BYTES_PER_READ * 1_000) / options.bytesPerSecond;
  return Math.max(MIN_READ_INTERVAL_MS, intervalMs);
}
