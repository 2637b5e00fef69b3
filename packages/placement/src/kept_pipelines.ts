/** Completes what engines hold, so that only what must move moves. */
import { findHeldPipelines } from "./held_chains.ts";
import { movedMegabytes } from "./moved_weights.ts";
import { repairPipeline } from "./pipeline_repair.ts";
import {
  compareScores,
  NO_RATE,
  type Score,
  scoreRates,
  sumRates,
} from "./plan_score.ts";
import type { PlanEngine, PlanModel, PlannedPipeline } from "./plan_types.ts";
import { planFromScratch } from "./scratch_plan.ts";

export interface KeepOptions {
  readonly models: readonly PlanModel[];
  /** Share by which a repair must be faster to be worth more transfer. */
  readonly gainThreshold: number;
}

/** Pipelines, and the engines that are in none. */
interface Layout {
  readonly pipelines: readonly PlannedPipeline[];
  readonly idle: readonly PlanEngine[];
}

/**
 * Keeps whole pipelines, repairs broken ones, puts idle engines to use, and
 * gives up a pipeline of a model that has three for one that lacks a spare.
 */
export async function keepPipelines(
  engines: readonly PlanEngine[],
  options: KeepOptions,
): Promise<readonly PlannedPipeline[]> {
  const { models } = options;
  let layout = keepWhole(engines, models);
  layout = repairBroken(layout, options);
  layout = await useIdle(layout, models);
  const { pipelines } = await spareMore(layout, { engines, models });
  return pipelines;
}

function keepWhole(
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): Layout {
  return models.reduce(
    (layout: Layout, model) =>
      findHeldPipelines(layout.idle, model).reduce(addPipeline, layout),
    { pipelines: [], idle: engines },
  );
}

function repairBroken(start: Layout, options: KeepOptions): Layout {
  const { models, gainThreshold } = options;
  const rates = sumRates(start.pipelines);
  const count = ({ model }: PlanModel) => rates.get(model)?.pipelines ?? 0;
  // Idle engines go to models that have few whole pipelines first.
  const ordered = [...models].sort(
    (a, b) => count(a) - count(b) || b.weight - a.weight,
  );
  let layout = start;
  for (const model of ordered) {
    let repaired = repairPipeline(layout.idle, { model, gainThreshold });
    while (repaired) {
      layout = addPipeline(layout, repaired);
      repaired = repairPipeline(layout.idle, { model, gainThreshold });
    }
  }
  return layout;
}

async function useIdle(
  layout: Layout,
  models: readonly PlanModel[],
): Promise<Layout> {
  const existing = sumRates(layout.pipelines);
  const added = await planFromScratch(layout.idle, { models, existing });
  return added.reduce(addPipeline, layout);
}

/** Gives up pipelines one by one while more models can be answered so. */
async function spareMore(
  start: Layout,
  context: {
    readonly engines: readonly PlanEngine[];
    readonly models: readonly PlanModel[];
  },
): Promise<Layout> {
  const { engines, models } = context;
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  const byName = new Map(models.map((model) => [model.model, model]));

  function movedBy({ pipelines }: Layout): number {
    return pipelines.reduce((sum, pipeline) => {
      const model = byName.get(pipeline.model);
      if (!model) return sum;
      return sum + movedMegabytes(pipeline, { model, engines: byId });
    }, 0);
  }

  async function withoutOne(layout: Layout, given: PlannedPipeline) {
    const freed = given.stages.flatMap(({ engine }) => byId.get(engine) ?? []);
    const rest: Layout = {
      pipelines: layout.pipelines.filter((pipeline) => pipeline !== given),
      idle: [...layout.idle, ...freed],
    };
    return useIdle(rest, models);
  }

  let layout = start;
  while (true) {
    const before = scoreLayout(layout, models);
    if (before.spared === models.length) return layout;
    const rates = sumRates(layout.pipelines);
    const givers = layout.pipelines.filter(
      ({ model }) => (rates.get(model)?.pipelines ?? 0) > 2,
    );
    const ways: Layout[] = [];
    for (const given of givers) ways.push(await withoutOne(layout, given));
    const best = ways
      .map((way) => ({
        way,
        score: scoreLayout(way, models),
        moved: movedBy(way),
      }))
      .filter(({ score }) => compareAnswered(score, before) > 0)
      .sort(
        (x, y) => compareAnswered(y.score, x.score) || x.moved - y.moved,
      )[0];
    if (!best) return layout;
    layout = best.way;
  }
}

/** Compares models answered and spared, whatever their rates. */
function compareAnswered(a: Score, b: Score): number {
  return compareScores({ ...a, welfare: 0 }, { ...b, welfare: 0 });
}

function scoreLayout(
  { pipelines }: Layout,
  models: readonly PlanModel[],
): Score {
  const rates = sumRates(pipelines);
  return scoreRates(models, (model) => rates.get(model) ?? NO_RATE);
}

function addPipeline(layout: Layout, pipeline: PlannedPipeline): Layout {
  const used = new Set(pipeline.stages.map(({ engine }) => engine));
  return {
    pipelines: [...layout.pipelines, pipeline],
    idle: layout.idle.filter(({ id }) => !used.has(id)),
  };
}
