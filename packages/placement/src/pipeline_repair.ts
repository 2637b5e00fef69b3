/** Completes a pipeline that lost an engine, with little transfer. */
import { toSplitEngine } from "./engine_kinds.ts";
import { findPartialPipeline } from "./held_pipelines.ts";
import { splitPipeline } from "./layer_split.ts";
import { movedMegabytes } from "./moved_weights.ts";
import {
  maxLayersOn,
  type PlanEngine,
  type PlanModel,
  type PlannedPipeline,
  type SplitStage,
  stageMs,
} from "./plan_types.ts";

/** A completed pipeline and its transfer in megabytes. */
interface Repair {
  readonly pipeline: PlannedPipeline;
  readonly movedMegabytes: number;
}

export interface RepairOptions {
  readonly model: PlanModel;
  /** Relative speed-up that justifies more transfer. */
  readonly gainThreshold: number;
}

/**
 * Completes a pipeline from the layers that idle engines hold. Chooses the
 * least transfer unless more transfer makes it faster by the threshold. Returns
 * `null` if idle engines hold no layers of the model or do not suffice.
 */
export function repairPipeline(
  idle: readonly PlanEngine[],
  options: RepairOptions,
): PlannedPipeline | null {
  const { model, gainThreshold } = options;
  const heldStages = findPartialPipeline(idle, model);
  if (heldStages.length === 0) return null;
  const engines = new Map(idle.map((engine) => [engine.id, engine]));
  const heldEngines = heldStages.flatMap(
    ({ engine }) => engines.get(engine) ?? [],
  );
  const others = idle
    .filter((engine) => !heldEngines.includes(engine))
    .sort((a, b) => a.layerMs - b.layerMs || (a.id < b.id ? -1 : 1));
  const alternatives = [
    fillGaps(heldStages, { model, engines, others }),
    splitAmong(heldEngines, model),
    ...others.map((other) =>
      splitAmong(insertAtFirstGap(heldEngines, other, heldStages), model),
    ),
  ];
  const repairs = alternatives
    .flatMap((pipeline) => (pipeline ? [pipeline] : []))
    .map((pipeline) => ({
      pipeline,
      movedMegabytes: movedMegabytes(pipeline, { model, engines }),
    }))
    .sort((a, b) => a.movedMegabytes - b.movedMegabytes);
  let best: Repair | null = null;
  for (const repair of repairs) {
    const bestMs = best?.pipeline.slowestMs ?? Infinity;
    const isFaster = repair.pipeline.slowestMs * (1 + gainThreshold) < bestMs;
    if (best === null || isFaster) best = repair;
  }
  return best?.pipeline ?? null;
}

/** Keeps all held ranges and assigns the gaps to other engines. */
function fillGaps(
  heldStages: readonly SplitStage[],
  context: {
    readonly model: PlanModel;
    readonly engines: ReadonlyMap<string, PlanEngine>;
    readonly others: readonly PlanEngine[];
  },
): PlannedPipeline | null {
  const { model, engines } = context;
  const stages: SplitStage[] = [];
  let others = context.others;
  let coveredTo = 0;
  for (const nextHeld of [
    ...heldStages,
    // A sentinel at the end, so that a gap after the last held range is filled.
    { engine: "", from: model.layers, to: -1 },
  ]) {
    if (nextHeld.from > coveredTo) {
      const gap = { from: coveredTo, to: nextHeld.from };
      const filled = fillGap(gap, { model, others });
      if (!filled) return null;
      stages.push(...filled);
      const used = new Set(filled.map(({ engine }) => engine));
      others = others.filter(({ id }) => !used.has(id));
    }
    if (nextHeld.to > 0) stages.push(nextHeld);
    coveredTo = nextHeld.to;
  }
  const times = stages.map(({ engine, from, to }) => {
    const found = engines.get(engine);
    return found ? stageMs(found, { model, layers: to - from }) : Infinity;
  });
  return { model: model.model, stages, slowestMs: Math.max(...times) };
}

/** Assigns a gap to the fastest engine with enough memory, or to several. */
function fillGap(
  gap: { readonly from: number; readonly to: number },
  context: {
    readonly model: PlanModel;
    readonly others: readonly PlanEngine[];
  },
): readonly SplitStage[] | null {
  const { model, others } = context;
  const layers = gap.to - gap.from;
  const fastestSingle = others
    .filter((engine) => maxLayersOn(engine, model) >= layers)
    .map((engine) => ({ engine, timeMs: stageMs(engine, { model, layers }) }))
    .sort((a, b) => a.timeMs - b.timeMs)[0];
  if (fastestSingle) return [{ engine: fastestSingle.engine.id, ...gap }];
  const split = splitPipeline(
    others.map((engine) => toSplitEngine(engine, model)),
    layers,
  );
  if (split.slowestMs === Infinity) return null;
  return split.stages.map(({ engine, from, to }) => ({
    engine,
    from: from + gap.from,
    to: to + gap.from,
  }));
}

function splitAmong(
  engines: readonly PlanEngine[],
  model: PlanModel,
): PlannedPipeline | null {
  const split = splitPipeline(
    engines.map((engine) => toSplitEngine(engine, model)),
    model.layers,
  );
  if (split.slowestMs === Infinity) return null;
  return { model: model.model, ...split };
}

/** Inserts an engine at the first gap, or at the end. */
function insertAtFirstGap(
  heldEngines: readonly PlanEngine[],
  added: PlanEngine,
  heldStages: readonly SplitStage[],
): readonly PlanEngine[] {
  let coveredTo = 0;
  const index = heldStages.findIndex(({ from, to }) => {
    const isGap = from > coveredTo;
    coveredTo = to;
    return isGap;
  });
  const insertAt = index < 0 ? heldEngines.length : index;
  return [
    ...heldEngines.slice(0, insertAt),
    added,
    ...heldEngines.slice(insertAt),
  ];
}
