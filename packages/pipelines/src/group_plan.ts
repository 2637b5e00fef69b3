/**
 * Plans the layers of one group of engines: assigns layers that no engine of
 * the group holds, replicates and rebalances stages with low capacity, and
 * keeps some engines in reserve.
 */
import { fillGap } from "./gap_filling.ts";
import { reserveCount, tokensForAnswers } from "./group_sizing.ts";
import { firstGap } from "./layer_coverage.ts";
import { chooseLayout, type LayerLayout } from "./layer_layout.ts";
import {
  createPlanDraft,
  type LayerOrder,
  type PlanDraft,
  type PlannedEngine,
} from "./plan_draft.ts";
import {
  replicateLargestUnreplicatedRange,
  replicateScarceLayers,
  replicateSlowLayers,
} from "./range_replication.ts";
import { rebalanceStage } from "./stage_rebalancing.ts";
import type { ModelShape } from "./types.ts";

/** Returns the orders to the engines of one group. */
export function planGroup(
  group: readonly PlannedEngine[],
  options: {
    readonly model: ModelShape;
    /** Number of engines in other groups that serve each layer. */
    readonly servedElsewhere: readonly number[];
  },
): LayerOrder[] {
  const draft = createPlanDraft(group, options.model);
  if (draft.ranges().length === 0) layOutPipelines(draft);
  fillGaps(draft, options.servedElsewhere);
  replicateScarceLayers(draft);
  replicateLargestUnreplicatedRange(draft);
  // Engines that appeared after the first layout, or lost their layers.
  layOutPipelines(draft);
  replicateSlowLayers(draft);
  if (draft.orders().length === 0) {
    for (const engine of lowestCapacityFirst(draft))
      rebalanceStage(draft, engine);
  }
  return draft.orders();
}

/**
 * Sorts engines by capacity, the lowest first. A neighbour that took over
 * layers may have low capacity itself now. If it came first, it would release
 * these layers before the engine with the lowest capacity has released them.
 */
function lowestCapacityFirst(draft: PlanDraft): readonly PlannedEngine[] {
  return draft.group
    .flatMap((engine) => {
      const retained = draft.held(engine);
      return retained
        ? [
            {
              engine,
              capacity: draft.capacityWith({ engine, retained }, 0),
            },
          ]
        : [];
    })
    .sort((a, b) => a.capacity - b.capacity)
    .map(({ engine }) => engine);
}

function fillGaps(draft: PlanDraft, servedElsewhere: readonly number[]): void {
  const skipped = new Set<number>();
  for (;;) {
    const gap = firstGap(draft.holderCounts(), skipped);
    if (!gap) return;
    if (!fillGap(draft, gap, servedElsewhere)) skipped.add(gap.from);
  }
}

/**
 * Creates as many pipelines as the idle engines beyond the reserve allow, the
 * fastest one first. Pipelines share no engines, so the loss of an engine
 * interrupts the answers of only one. The pipeline whose engines have least to
 * load is ordered first: it is the first one that can serve.
 */
function layOutPipelines(draft: PlanDraft): void {
  const { group, model, minKvTokens } = draft;
  const layouts: LayerLayout<PlannedEngine>[] = [];
  let idle = draft.idleEngines();
  for (;;) {
    const layout = chooseLayout(idle, model, {
      maxEngines: idle.length - reserveCount(group),
      minKvTokens,
      maxKvTokens: tokensForAnswers(model, model.maxConcurrentAnswers),
    });
    if (!layout) break;
    layouts.push(layout);
    const used = new Set(layout.parts.map(({ engine }) => engine));
    idle = idle.filter((engine) => !used.has(engine));
  }
  layouts.sort((a, b) => largestPart(a) - largestPart(b));
  for (const { parts } of layouts) {
    let from = 0;
    for (const { engine, layers } of toSortedByDomain(parts)) {
      draft.assign(engine, { from, to: from + layers });
      from += layers;
    }
  }
}

/** Sorts parts so that a pipeline crosses as few failure domains as it can. */
function toSortedByDomain(
  parts: LayerLayout<PlannedEngine>["parts"],
): LayerLayout<PlannedEngine>["parts"] {
  const domains = new Set(parts.map(({ engine }) => engine.failureDomain));
  return [...domains].flatMap((domain) =>
    parts.filter(({ engine }) => engine.failureDomain === domain),
  );
}

function largestPart({ parts }: LayerLayout<PlannedEngine>): number {
  return Math.max(...parts.map(({ layers }) => layers));
}
