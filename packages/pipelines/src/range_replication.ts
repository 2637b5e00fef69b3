/** Replicates layers on idle engines. */
import { reserveCount } from "./group_sizing.ts";
import { layersOf } from "./layer_coverage.ts";
import type { PlanDraft, PlannedEngine } from "./plan_draft.ts";
import { LOW_CAPACITY_SHARE } from "./stage_rebalancing.ts";
import { type LayerRange, layersIn } from "./types.ts";

/** Share of the median below which the rate of a layer is low. */
const LOW_RATE_SHARE = 0.8;
/** The same where most of the engines that held the layer are lost. */
const VERY_LOW_RATE_SHARE = 0.5;

/**
 * Replicates layers on idle engines, the smallest engine first, until every
 * layer has enough capacity.
 */
export function replicateScarceLayers(draft: PlanDraft): void {
  const bySize = draft
    .idleEngines()
    .toSorted((a, b) => a.memoryMb - b.memoryMb);
  for (const engine of bySize) {
    if (!hasScarceLayers(draft)) return;
    replicateScarcestLayers(draft, engine);
  }
}

/** Whether some layer's total capacity is far below the target. */
function hasScarceLayers(draft: PlanDraft): boolean {
  return draft
    .capacityByLayer()
    .some((capacity) => capacity < draft.targetKvTokens * LOW_CAPACITY_SHARE);
}

/** Replicates on an engine the run of layers that needs capacity most. */
function replicateScarcestLayers(
  draft: PlanDraft,
  engine: PlannedEngine,
): void {
  const layers = draft.targetLayers(engine);
  if (layers === 0) return;
  const needByLayer = draft
    .capacityByLayer()
    .map((capacity) => 1 / Math.max(1, capacity));
  let best = { from: 0, need: -1 };
  for (let from = 0; from + layers <= draft.model.layerCount; from += 1) {
    const sum = needByLayer
      .slice(from, from + layers)
      .reduce((total, value) => total + value, 0);
    // Ignores rounding errors, so that the first of equal runs is chosen.
    if (sum > best.need * (1 + Number.EPSILON * 16)) {
      best = { from, need: sum };
    }
  }
  draft.assign(engine, { from: best.from, to: best.from + layers });
}

/**
 * Replicates the largest range that only one engine holds, since the loss of
 * this engine would leave the largest gap. The reserve is not used for it. If
 * the other idle engines can't hold the whole range, they stay empty: an empty
 * engine fills a gap sooner than one that must release layers first.
 */
export function replicateLargestUnreplicatedRange(draft: PlanDraft): void {
  const idle = draft.idleEngines().toSorted((a, b) => a.memoryMb - b.memoryMb);
  const available = idle.slice(
    0,
    Math.max(0, idle.length - reserveCount(draft.group)),
  );
  const range = largestUnreplicatedRange(draft);
  if (!range) return;
  const layers = available.reduce(
    (total, engine) => total + draft.targetLayers(engine),
    0,
  );
  if (layers < layersIn(range)) return;
  let { from } = range;
  for (const engine of available) {
    const to = Math.min(range.to, from + draft.targetLayers(engine));
    if (from >= to) break;
    draft.assign(engine, { from, to });
    from = to;
  }
}

/**
 * Replicates the layers that limit the rate of the whole group: all answers
 * pass the few engines that hold them. If the idle engines can't hold all these
 * layers, they stay empty, since the others would still limit the rate. The
 * reserve is used only if the engines of a pipeline must have been lost.
 */
export function replicateSlowLayers(draft: PlanDraft): void {
  const idle = draft.idleEngines();
  replicateRanges(draft, slowRanges(draft, VERY_LOW_RATE_SHARE), idle);
  const unreserved = draft.idleEngines().slice(reserveCount(draft.group));
  replicateRanges(draft, slowRanges(draft, LOW_RATE_SHARE), unreserved);
}

/** Replicates all of the ranges, or nothing if the engines can't hold them. */
function replicateRanges(
  draft: PlanDraft,
  ranges: readonly LayerRange[],
  engines: readonly PlannedEngine[],
): void {
  const unused = engines.values();
  const assignments: { engine: PlannedEngine; range: LayerRange }[] = [];
  for (const { from, to } of ranges) {
    for (let next = from; next < to; ) {
      const { value: engine } = unused.next();
      if (!engine) return;
      const end = Math.min(to, next + draft.targetLayers(engine));
      assignments.push({ engine, range: { from: next, to: end } });
      next = end;
    }
  }
  for (const { engine, range } of assignments) draft.assign(engine, range);
}

/** Returns the ranges of layers whose rate is below a share of the median. */
function slowRanges(draft: PlanDraft, share: number): LayerRange[] {
  const rates = draft.rateByLayer();
  const sorted = rates.toSorted((a, b) => a - b);
  const median = sorted[Math.floor(sorted.length / 2)] ?? 0;
  const ranges: { from: number; to: number }[] = [];
  for (const [layer, rate] of rates.entries()) {
    if (rate >= median * share) continue;
    const last = ranges.at(-1);
    if (last?.to === layer) last.to = layer + 1;
    else ranges.push({ from: layer, to: layer + 1 });
  }
  return ranges;
}

/** Returns the largest range of which no layer is replicated. */
function largestUnreplicatedRange(draft: PlanDraft): LayerRange | undefined {
  const counts = draft.holderCounts();
  return [...draft.ranges()]
    .filter((range) => layersOf(range).every((layer) => counts[layer] === 1))
    .sort((a, b) => layersIn(b) - layersIn(a) || a.from - b.from)[0];
}
