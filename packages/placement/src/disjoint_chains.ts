/** Finds a maximum set of disjoint chains of layer ranges. */
import type { LayerRange } from "@rosemarypin/schemas";

/** An edge from the first layer of a range to the layer after its last. */
interface Step {
  readonly layers: LayerRange;
}

/**
 * Returns the steps of a maximum number of chains from layer 0 to the last that
 * share no step, found with augmenting paths. Every decomposition into chains
 * uses all of these steps. Choosing the fastest chain greedily could use steps
 * of two others and leave neither complete.
 */
export function findDisjointChainSteps<T extends Step>(
  steps: readonly T[],
  layers: number,
): readonly T[] {
  const used = new Set<T>();
  while (true) {
    const path = findAugmentingPath(steps, { layers, used });
    if (!path) return [...used];
    // A used step is traversed backwards to remove it from its chain.
    for (const step of path) {
      if (used.has(step)) used.delete(step);
      else used.add(step);
    }
  }
}

/** Path from 0 to `layers` by unused steps forwards and used ones backwards. */
function findAugmentingPath<T extends Step>(
  steps: readonly T[],
  context: { readonly layers: number; readonly used: ReadonlySet<T> },
): readonly T[] | null {
  const { layers, used } = context;
  const predecessors = new Map<number, { step: T; from: number } | null>([
    [0, null],
  ]);
  const queue = [0];
  for (const position of queue) {
    if (position === layers) break;
    for (const step of steps) {
      const { from, to } = step.layers;
      const isUsed = used.has(step);
      const next = isUsed ? from : to;
      if ((isUsed ? to : from) !== position || predecessors.has(next)) continue;
      predecessors.set(next, { step, from: position });
      queue.push(next);
    }
  }
  const path: T[] = [];
  let predecessor = predecessors.get(layers);
  while (predecessor) {
    path.push(predecessor.step);
    predecessor = predecessors.get(predecessor.from);
  }
  return path.length > 0 ? path : null;
}
