/** Moves layers from engines with low capacity to their neighbours. */
import { extendRange } from "./layer_coverage.ts";
import type { Neighbour, PlanDraft, PlannedEngine } from "./plan_draft.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** Share of the target below which the capacity of a stage or layer is low. */
export const LOW_CAPACITY_SHARE = 0.5;
/**
 * A neighbour takes over a layer only if its capacity afterwards is more than
 * this many times that of the other engine before.
 */
const MIN_CAPACITY_RATIO = 1.2;

/**
 * Increases the capacity of an engine that is far below the target, in two
 * steps: in one plan a neighbour with more capacity replicates edge layers of
 * the engine, and in a later plan the engine releases them. Serving isn't
 * interrupted: answers in progress continue on the released layers, and new
 * answers use the neighbour.
 */
export function rebalanceStage(draft: PlanDraft, engine: PlannedEngine): void {
  const range = draft.held(engine);
  if (!range || !engine.acceptsOrders || draft.hasOrder(engine)) return;
  const capacity = draft.capacityWith({ engine, retained: range }, 0);
  if (capacity >= draft.targetKvTokens * LOW_CAPACITY_SHARE) return;
  const trimmedRange = withoutRedundantEdges(draft, engine, range);
  if (layersIn(trimmedRange) < layersIn(range))
    return draft.assign(engine, trimmedRange);
  const neighbours = draft.group.flatMap((other) => {
    const held = draft.held(other);
    if (!held || !other.acceptsOrders || draft.hasOrder(other)) return [];
    const isBefore = held.from < range.from && held.to === range.from;
    const isAfter = held.to > range.to && held.from === range.to;
    if (!isBefore && !isAfter) return [];
    const neighbour = { engine: other, retained: held };
    return [
      {
        neighbour,
        isBefore,
        capacityAfter: draft.capacityWith(neighbour, 1),
      },
    ];
  });
  const chosen = neighbours.sort(
    (a, b) => b.capacityAfter - a.capacityAfter,
  )[0];
  if (!chosen) return;
  const layerCount = layersToTransfer(
    draft,
    { engine, retained: range },
    chosen.neighbour,
  );
  if (layerCount > 0)
    draft.assign(
      chosen.neighbour.engine,
      extendRange(chosen.neighbour.retained, layerCount, chosen.isBefore),
    );
}

/** Returns how many layers to move until both capacities are similar. */
function layersToTransfer(
  draft: PlanDraft,
  bottleneck: Neighbour,
  receiver: Neighbour,
): number {
  let layerCount = 0;
  while (
    layersIn(bottleneck.retained) - layerCount > 1 &&
    draft.capacityWith(receiver, layerCount + 1) >
      draft.capacityWith(bottleneck, -layerCount) * MIN_CAPACITY_RATIO
  ) {
    layerCount += 1;
  }
  return layerCount;
}

/**
 * Returns the range without replicated layers at its ends, but with no fewer
 * layers than the target.
 */
function withoutRedundantEdges(
  draft: PlanDraft,
  engine: PlannedEngine,
  range: LayerRange,
): LayerRange {
  const minLayers = draft.targetLayers(engine);
  let { from, to } = range;
  while (to - from > minLayers && draft.isServedByOthers(engine, from))
    from += 1;
  while (to - from > minLayers && draft.isServedByOthers(engine, to - 1))
    to -= 1;
  return { from, to };
}
