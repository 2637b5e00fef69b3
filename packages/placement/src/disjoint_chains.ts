/** As many chains over all layers as can be had at once. */
import type { LayerRange } from "@rosemarypin/schemas";

/** Something that leads from one layer to a later one. */
interface Step {
  readonly layers: LayerRange;
}

/**
 * The steps of as many disjoint chains from layer 0 to the last as there are;
 * any way to divide them into chains uses all of them. Taken one by one, the
 * fastest chain can use steps of two others and leave neither whole.
 */
export function stepsOfMostChains<T extends Step>(
  steps: readonly T[],
  layers: number,
): readonly T[] {
  const used = new Set<T>();
  while (true) {
    const path = findPath(steps, { layers, used });
    if (!path) return [...used];
    // A step walked backwards is given to the new chain's place in turn.
    for (const step of path) {
      if (used.has(step)) used.delete(step);
      else used.add(step);
    }
  }
}

/** Unused steps forwards and used ones backwards, from 0 to the last layer. */
function findPath<T extends Step>(
  steps: readonly T[],
  context: { readonly layers: number; readonly used: ReadonlySet<T> },
): readonly T[] | null {
  const { layers, used } = context;
  const reachedBy = new Map<number, { step: T; from: number } | null>([
    [0, null],
  ]);
  const queue = [0];
  for (const at of queue) {
    if (at === layers) break;
    for (const step of steps) {
      const { from, to } = step.layers;
      const isUsed = used.has(step);
      const next = isUsed ? from : to;
      if ((isUsed ? to : from) !== at || reachedBy.has(next)) continue;
      reachedBy.set(next, { step, from: at });
      queue.push(next);
    }
  }
  const path: T[] = [];
  let link = reachedBy.get(layers);
  while (link) {
    path.push(link.step);
    link = reachedBy.get(link.from);
  }
  return path.length > 0 ? path : null;
}
