/** Which layers a set of ranges covers. */
import type { LayerRange } from "./types.ts";

/** Number of ranges that cover each layer. */
export function countHolders(
  ranges: readonly LayerRange[],
  layerCount: number,
): number[] {
  const counts = new Array<number>(layerCount).fill(0);
  for (const range of ranges) {
    for (const layer of layersOf(range))
      counts[layer] = (counts[layer] ?? 0) + 1;
  }
  return counts;
}

/** The layers of a range, one by one. */
export function layersOf({ from, to }: LayerRange): number[] {
  return Array.from({ length: Math.max(0, to - from) }, (_, at) => from + at);
}

/** Adds layers behind a range, or before it. */
export function grow(
  range: LayerRange,
  more: number,
  behind: boolean,
): LayerRange {
  return behind
    ? { from: range.from, to: range.to + more }
    : { from: range.from - more, to: range.to };
}

/** The first run of layers that nobody holds, but for given-up ones. */
export function firstGap(
  counts: readonly number[],
  skipped: ReadonlySet<number>,
): LayerRange | null {
  for (let from = 0; from < counts.length; from += 1) {
    if (counts[from] !== 0) continue;
    let to = from + 1;
    while (to < counts.length && counts[to] === 0) to += 1;
    if (!skipped.has(from)) return { from, to };
    from = to;
  }
  return null;
}
