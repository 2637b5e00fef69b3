/** Makes a pipeline whole again that lost an engine, moving little. */
import { toSplitEngine } from "./engine_kinds.ts";
import { findHeldPart } from "./held_chains.ts";
import { splitPipeline } from "./layer_split.ts";
import { movedMegabytes } from "./moved_weights.ts";
import {
  largestLayers,
  type PlanEngine,
  type PlanModel,
  type PlannedPipeline,
  type SplitStage,
  stageMs,
} from "./plan_types.ts";

/** A way to make the pipeline whole. */
interface Repair {
  readonly pipeline: PlannedPipeline;
  readonly moved: number;
}

export interface RepairOptions {
  readonly model: PlanModel;
  /** Share by which a way must be faster to be worth more transfer. */
  readonly gainThreshold: number;
}

/**
 * The pipeline that costs least to make from what idle engines hold; `null`
 * if they hold nothing of the model or do not suffice. A way that moves more
 * is taken only if it is faster by the threshold.
 */
export function repairPipeline(
  idle: readonly PlanEngine[],
  options: RepairOptions,
): PlannedPipeline | null {
  const { model, gainThreshold } = options;
  const part = findHeldPart(idle, model);
  if (part.length === 0) return null;
  const engines = new Map(idle.map((engine) => [engine.id, engine]));
  const kept = part.flatMap(({ engine }) => engines.get(engine) ?? []);
  const others = idle
    .filter((engine) => !kept.includes(engine))
    .sort((a, b) => a.layerMs - b.layerMs || (a.id < b.id ? -1 : 1));
  const ways = [
    fillGaps(part, { model, engines, others }),
    splitAmong(kept, model),
    ...others.map((other) => splitAmong(insert(kept, other, part), model)),
  ];
  const repairs = ways
    .flatMap((pipeline) => (pipeline ? [pipeline] : []))
    .map((pipeline) => ({
      pipeline,
      moved: movedMegabytes(pipeline, { model, engines }),
    }))
    .sort((a, b) => a.moved - b.moved);
  let best: Repair | null = null;
  for (const repair of repairs) {
    const limitMs = best?.pipeline.slowestMs ?? Infinity;
    const isFaster = repair.pipeline.slowestMs * (1 + gainThreshold) < limitMs;
    if (best === null || isFaster) best = repair;
  }
  return best?.pipeline ?? null;
}

/** Keeps every range that is held; other engines take what is missing. */
function fillGaps(
  part: readonly SplitStage[],
  context: {
    readonly model: PlanModel;
    readonly engines: ReadonlyMap<string, PlanEngine>;
    readonly others: readonly PlanEngine[];
  },
): PlannedPipeline | null {
  const { model, engines } = context;
  const stages: SplitStage[] = [];
  let others = context.others;
  let reached = 0;
  for (const next of [...part, { engine: "", from: model.layers, to: -1 }]) {
    if (next.from > reached) {
      const gap = { from: reached, to: next.from };
      const filled = fillGap(gap, { model, others });
      if (!filled) return null;
      stages.push(...filled);
      const used = new Set(filled.map(({ engine }) => engine));
      others = others.filter(({ id }) => !used.has(id));
    }
    if (next.to > 0) stages.push(next);
    reached = next.to;
  }
  const times = stages.map(({ engine, from, to }) => {
    const found = engines.get(engine);
    return found ? stageMs(found, { model, layers: to - from }) : Infinity;
  });
  return { model: model.model, stages, slowestMs: Math.max(...times) };
}

/** One engine for the whole gap, or as many as it takes. */
function fillGap(
  gap: { readonly from: number; readonly to: number },
  context: {
    readonly model: PlanModel;
    readonly others: readonly PlanEngine[];
  },
): readonly SplitStage[] | null {
  const { model, others } = context;
  const layers = gap.to - gap.from;
  const alone = others
    .filter((engine) => largestLayers(engine, model) >= layers)
    .map((engine) => ({ engine, timeMs: stageMs(engine, { model, layers }) }))
    .sort((a, b) => a.timeMs - b.timeMs)[0];
  if (alone) return [{ engine: alone.engine.id, ...gap }];
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

/** Puts an engine where the first layer is missing. */
function insert(
  kept: readonly PlanEngine[],
  other: PlanEngine,
  part: readonly SplitStage[],
): readonly PlanEngine[] {
  let reached = 0;
  const at = part.findIndex(({ from, to }) => {
    const isGap = from > reached;
    reached = to;
    return isGap;
  });
  const place = at < 0 ? kept.length : at;
  return [...kept.slice(0, place), other, ...kept.slice(place)];
}
