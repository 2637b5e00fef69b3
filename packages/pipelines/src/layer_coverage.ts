/** Computes which layers a set of ranges covers. */
import type { LayerRange } from "./types.ts";

/** Counts the ranges that cover each layer. */
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

/** Lists the layer numbers of a range. */
export function layersOf({ from, to }: LayerRange): number[] {
  return Array.from(
    { length: Math.max(0, to - from) },
    (_, index) => from + index,
  );
}

/** Extends a range by `count` layers at its end, or else at its start. */
export function extendRange(
  range: LayerRange,
  count: number,
  atEnd: boolean,
): LayerRange {
  return atEnd
    ? { from: range.from, to: range.to + count }
    : { from: range.from - count, to: range.to };
}

/**
 * Returns the first run of layers that no range covers, or `null` if there is
 * none. Runs that start at a layer in `skipped` are ignored.
 */
export function firstGap(
  holderCounts: readonly number[],
  skipped: ReadonlySet<number>,
): LayerRange | null {
  for (let from = 0; from < holderCounts.length; from += 1) {
    if (holderCounts[from] !== 0) continue;
    let to = from + 1;
    while (to < holderCounts.length && holderCounts[to] === 0) to += 1;
    if (!skipped.has(from)) return { from, to };
    from = to;
  }
  return null;
}
