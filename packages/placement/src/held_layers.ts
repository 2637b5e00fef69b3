/** Compares and counts the ranges of layers that engines hold. */
import type { HeldLayers, LayerRange } from "@rosemarypin/schemas";

/** Counts layers of `wanted` that `held` lacks for the same version. */
export function countMissing(
  wanted: HeldLayers,
  held: readonly HeldLayers[],
): number {
  const ranges = held
    .filter((range) => isSameVersion(range, wanted))
    .map(({ layers }) => layers);
  const { from, to } = wanted.layers;
  let missing = 0;
  for (let layer = from; layer < to; layer++) {
    if (!ranges.some((range) => isWithin(range, layer))) missing += 1;
  }
  return missing;
}

/** Whether ranges, joined end to end, lead from layer 0 to the last. */
export function coversAll(
  ranges: readonly LayerRange[],
  layers: number,
): boolean {
  const reached = new Set([0]);
  const ordered = [...ranges].sort((a, b) => a.from - b.from);
  for (const { from, to } of ordered) {
    if (reached.has(from)) reached.add(Math.min(to, layers));
  }
  return reached.has(layers);
}

/** Whether both belong to the same version of the same model. */
export function isSameVersion(
  a: Omit<HeldLayers, "layers">,
  b: Omit<HeldLayers, "layers">,
): boolean {
  return a.model === b.model && a.version === b.version;
}

/** Whether both are the same layers of the same version. */
export function isSameRange(a: HeldLayers, b: HeldLayers): boolean {
  return (
    isSameVersion(a, b) &&
    a.layers.from === b.layers.from &&
    a.layers.to === b.layers.to
  );
}

/** Counts the distinct layers in the ranges. */
export function countLayers(held: readonly HeldLayers[]): number {
  const layers = new Set<number>();
  for (const { layers: range } of held) {
    for (let layer = range.from; layer < range.to; layer++) layers.add(layer);
  }
  return layers.size;
}

function isWithin({ from, to }: LayerRange, layer: number): boolean {
  return from <= layer && layer < to;
}
