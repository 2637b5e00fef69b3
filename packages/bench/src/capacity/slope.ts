/** Straight lines through measured points. */
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Cost at one size. */
export interface Point {
  readonly size: number;
  readonly cost: number;
}

/** `cost = base + slope * size`, by least squares. */
export interface Slope {
  readonly base: number;
  readonly slope: number;
  readonly points: readonly Point[];
}

/** Fits a line through points of at least two sizes. */
export function fitSlope(points: readonly Point[]): Slope {
  const count = points.length;
  const meanSize = points.reduce((sum, { size }) => sum + size, 0) / count;
  const meanCost = points.reduce((sum, { cost }) => sum + cost, 0) / count;
  let covariance = 0;
  let variance = 0;
  for (const { size, cost } of points) {
    covariance += (size - meanSize) * (cost - meanCost);
    variance += (size - meanSize) ** 2;
  }
  const slope = variance === 0 ? 0 : covariance / variance;
  return { base: meanCost - slope * meanSize, slope, points };
}

/** Microseconds of one call, the least of several rounds. */
export function microsPerCall(
  call: () => void,
  options: { readonly calls: number; readonly rounds?: number },
): number {
  const { calls, rounds = 5 } = options;
  let least = Infinity;
  for (let round = 0; round < rounds; round++) {
    const startedAt = performance.now();
    for (let index = 0; index < calls; index++) call();
    const tookMs = performance.now() - startedAt;
    least = Math.min(least, (tookMs * 1_000) / calls);
  }
  return least;
}

setFlagsFromString("--expose_gc");
/** Frees what nothing refers to, so that the heap can be compared. */
export const collectGarbage = runInNewContext("gc") as () => void;

/** Bytes of heap that what `build` returns keeps alive. */
export function heapBytes(build: () => unknown): number {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Used after the measurement, so that it cannot be collected before.
  if (kept === null) throw new Error("nothing was built");
  return after - before;
}
