/** How often engines are read, so that the reads stay within a budget. */

/** Bytes of one read both ways: 605 of HTTP, measured, and the packets. */
export const BYTES_PER_READ = 1_000;
/** Reads are never closer than this. */
export const SHORTEST_INTERVAL_MS = 500;

/** The interval at which `engines` take `bytesPerSecond`, one read each. */
export function readIntervalMs(
  engines: number,
  options: { readonly bytesPerSecond: number },
): number {
  const intervalMs =
    (engines * BYTES_PER_READ * 1_000) / options.bytesPerSecond;
  return Math.max(SHORTEST_INTERVAL_MS, intervalMs);
}
