/** Finds whole and partial pipelines in the layers that engines hold. */
import type { LayerRange } from "@rosemarypin/schemas";
import { findDisjointChainSteps } from "./disjoint_chains.ts";
import {
  maxLayersOn,
  type PlanEngine,
  type PlanModel,
  type PlannedPipeline,
  type SplitStage,
  stageMs,
} from "./plan_types.ts";

/** A held range that fits into the engine's memory with its KV cache. */
interface HeldStage {
  readonly engine: PlanEngine;
  readonly layers: LayerRange;
  readonly stage: SplitStage;
  readonly timeMs: number;
}

/** Finds the whole pipelines that engines hold, the fastest first. */
export function findHeldPipelines(
  engines: readonly PlanEngine[],
  model: PlanModel,
): readonly PlannedPipeline[] {
  const found: PlannedPipeline[] = [];
  let remaining = findDisjointChainSteps(
    listHeldStages(engines, model),
    model.layers,
  );
  while (true) {
    const pipeline = findFastestChain(remaining, model);
    if (!pipeline) return found;
    found.push(pipeline);
    const used = new Set(pipeline.stages.map(({ engine }) => engine));
    remaining = remaining.filter(({ engine }) => !used.has(engine.id));
  }
}

/**
 * Finds stages of different engines that do not overlap and together hold as
 * many layers as possible, in order, such as the remainder of a pipeline that
 * lost an engine. May find fewer layers where an engine holds several ranges.
 */
export function findPartialPipeline(
  engines: readonly PlanEngine[],
  model: PlanModel,
): readonly SplitStage[] {
  let best: PartialPipeline = { stages: [], layers: 0 };
  /** The best partial pipeline that ends at or before each layer. */
  const bestByEnd: PartialPipeline[] = [best];
  const ordered = [...listHeldStages(engines, model)].sort(
    (a, b) => a.stage.to - b.stage.to || a.timeMs - b.timeMs,
  );
  for (let layer = 1; layer <= model.layers; layer++) {
    for (const { stage } of ordered) {
      if (stage.to !== layer) continue;
      const prefix = bestByEnd[stage.from];
      if (!prefix || includesEngine(prefix.stages, stage.engine)) continue;
      const layers = prefix.layers + stage.to - stage.from;
      if (layers <= best.layers) continue;
      best = { stages: [...prefix.stages, stage], layers };
    }
    bestByEnd.push(best);
  }
  return best.stages;
}

interface PartialPipeline {
  readonly stages: readonly SplitStage[];
  readonly layers: number;
}

function listHeldStages(
  engines: readonly PlanEngine[],
  model: PlanModel,
): readonly HeldStage[] {
  return engines.flatMap((engine) =>
    engine.holds
      .filter((held) => held.model === model.model)
      .map(({ layers }) => ({
        from: layers.from,
        to: Math.min(layers.to, model.layers),
      }))
      // A range without memory for its KV cache can be held but not run.
      .filter(({ from, to }) => {
        return from < to && to - from <= maxLayersOn(engine, model);
      })
      .map((layers) => ({
        engine,
        layers,
        stage: { engine: engine.id, ...layers },
        timeMs: stageMs(engine, { model, layers: layers.to - layers.from }),
      })),
  );
}

/** Finds a chain over all layers, minimising the time of its slowest stage. */
function findFastestChain(
  stages: readonly HeldStage[],
  model: PlanModel,
): PlannedPipeline | null {
  const empty = { stages: [] as readonly SplitStage[], slowestMs: 0 };
  const fastestByEnd = new Map([[0, empty]]);
  const ordered = [...stages].sort(
    (a, b) => a.stage.from - b.stage.from || a.timeMs - b.timeMs,
  );
  for (const { stage, timeMs } of ordered) {
    const prefix = fastestByEnd.get(stage.from);
    if (!prefix || includesEngine(prefix.stages, stage.engine)) continue;
    const slowestMs = Math.max(prefix.slowestMs, timeMs);
    const current = fastestByEnd.get(stage.to);
    if (current && current.slowestMs <= slowestMs) continue;
    fastestByEnd.set(stage.to, {
      stages: [...prefix.stages, stage],
      slowestMs,
    });
  }
  const whole = fastestByEnd.get(model.layers);
  return whole ? { model: model.model, ...whole } : null;
}

function includesEngine(
  stages: readonly SplitStage[],
  engine: string,
): boolean {
  return stages.some((stage) => stage.engine === engine);
}
