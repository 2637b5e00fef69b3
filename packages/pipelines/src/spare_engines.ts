/** Puts engines to use that no gap needs. */
import { reserveOf } from "./group_room.ts";
import { layersOf } from "./layer_coverage.ts";
import type { PlanDraft, PlannedEngine } from "./plan_draft.ts";
import { TIGHT_SHARE } from "./stage_widening.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** Lets free engines, the smallest first, double layers while some are tight. */
export function doubleTightLayers(draft: PlanDraft): void {
  const bySize = draft.free().toSorted((a, b) => a.memoryMb - b.memoryMb);
  for (const engine of bySize) {
    if (!isTight(draft)) return;
    doubleLayers(draft, engine);
  }
}

/** Whether some layer's holders have far less room than planned. */
function isTight(draft: PlanDraft): boolean {
  return draft.roomByLayer().some((room) => room < draft.tokens * TIGHT_SHARE);
}

/** Doubles the layers whose holders have least room. */
function doubleLayers(draft: PlanDraft, engine: PlannedEngine): void {
  const layers = draft.usualLayers(engine);
  if (layers === 0) return;
  const need = draft.roomByLayer().map((room) => 1 / Math.max(1, room));
  let best = { from: 0, need: -1 };
  for (let from = 0; from + layers <= draft.model.layerCount; from += 1) {
    const sum = need
      .slice(from, from + layers)
      .reduce((total, value) => total + value, 0);
    if (sum > best.need * (1 + Number.EPSILON * 16)) {
      best = { from, need: sum };
    }
  }
  draft.give(engine, { from: best.from, to: best.from + layers });
}

/**
 * Lets free engines stand in for the one that holds most layers alone, if
 * they can hold all of these: lost, it would leave the largest gap. Else they
 * stay empty, and fill whatever gap opens sooner than engines that would
 * have to give layers up first.
 */
export function standIn(draft: PlanDraft): void {
  const free = draft.free().toSorted((a, b) => a.memoryMb - b.memoryMb);
  const spare = free.slice(
    0,
    Math.max(0, free.length - reserveOf(draft.group)),
  );
  const range = largestAlone(draft);
  if (!range) return;
  const layers = spare.reduce(
    (total, one) => total + draft.usualLayers(one),
    0,
  );
  if (layers < layersIn(range)) return;
  let { from } = range;
  for (const engine of spare) {
    const to = Math.min(range.to, from + draft.usualLayers(engine));
    if (from >= to) break;
    draft.give(engine, { from, to });
    from = to;
  }
}

/** The most layers that one engine alone holds. */
function largestAlone(draft: PlanDraft): LayerRange | undefined {
  const counts = draft.coverage();
  return [...draft.ranges()]
    .filter((range) => layersOf(range).every((layer) => counts[layer] === 1))
    .sort((a, b) => layersIn(b) - layersIn(a) || a.from - b.from)[0];
}
