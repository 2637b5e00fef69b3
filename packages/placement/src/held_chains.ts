/** Pipelines, and parts of them, that engines hold already. */
import type { LayerRange } from "@rosemarypin/schemas";
import { stepsOfMostChains } from "./disjoint_chains.ts";
import {
  largestLayers,
  type PlanEngine,
  type PlanModel,
  type PlannedPipeline,
  type SplitStage,
  stageMs,
} from "./plan_types.ts";

/** A range that an engine holds and has the room to run. */
interface HeldStage {
  readonly engine: PlanEngine;
  readonly layers: LayerRange;
  readonly stage: SplitStage;
  readonly timeMs: number;
}

/** The whole pipelines of a model that engines hold, the fastest first. */
export function findHeldPipelines(
  engines: readonly PlanEngine[],
  model: PlanModel,
): readonly PlannedPipeline[] {
  const found: PlannedPipeline[] = [];
  let left = stepsOfMostChains(listStages(engines, model), model.layers);
  while (true) {
    const pipeline = fastestChain(left, model);
    if (!pipeline) return found;
    found.push(pipeline);
    const used = new Set(pipeline.stages.map(({ engine }) => engine));
    left = left.filter(({ engine }) => !used.has(engine.id));
  }
}

/**
 * Stages of different engines that do not overlap and together hold the most
 * layers of the model, in order: what is left of a pipeline that broke.
 */
export function findHeldPart(
  engines: readonly PlanEngine[],
  model: PlanModel,
): readonly SplitStage[] {
  let best: Part = { stages: [], layers: 0 };
  /** The best part that ends at or before each layer. */
  const until: Part[] = [best];
  const ordered = [...listStages(engines, model)].sort(
    (a, b) => a.stage.to - b.stage.to || a.timeMs - b.timeMs,
  );
  for (let layer = 1; layer <= model.layers; layer++) {
    for (const { stage } of ordered) {
      if (stage.to !== layer) continue;
      const before = until[stage.from];
      if (!before || isIn(before.stages, stage.engine)) continue;
      const layers = before.layers + stage.to - stage.from;
      if (layers <= best.layers) continue;
      best = { stages: [...before.stages, stage], layers };
    }
    until.push(best);
  }
  return best.stages;
}

interface Part {
  readonly stages: readonly SplitStage[];
  readonly layers: number;
}

function listStages(
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
      // Without room for KV caches a range is held and can still not be run.
      .filter(({ from, to }) => {
        return from < to && to - from <= largestLayers(engine, model);
      })
      .map((layers) => ({
        engine,
        layers,
        stage: { engine: engine.id, ...layers },
        timeMs: stageMs(engine, { model, layers: layers.to - layers.from }),
      })),
  );
}

/** The chain over all layers whose slowest stage is the fastest. */
function fastestChain(
  stages: readonly HeldStage[],
  model: PlanModel,
): PlannedPipeline | null {
  const none = { stages: [] as readonly SplitStage[], slowestMs: 0 };
  const reached = new Map([[0, none]]);
  const ordered = [...stages].sort(
    (a, b) => a.stage.from - b.stage.from || a.timeMs - b.timeMs,
  );
  for (const { stage, timeMs } of ordered) {
    const before = reached.get(stage.from);
    if (!before || isIn(before.stages, stage.engine)) continue;
    const slowestMs = Math.max(before.slowestMs, timeMs);
    const known = reached.get(stage.to);
    if (known && known.slowestMs <= slowestMs) continue;
    reached.set(stage.to, { stages: [...before.stages, stage], slowestMs });
  }
  const whole = reached.get(model.layers);
  return whole ? { model: model.model, ...whole } : null;
}

function isIn(stages: readonly SplitStage[], engine: string): boolean {
  return stages.some((stage) => stage.engine === engine);
}
