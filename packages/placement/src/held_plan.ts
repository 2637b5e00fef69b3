/** Plans from the layers that engines hold, so that few weights are moved. */
import { findHeldPipelines } from "./held_pipelines.ts";
import { movedMegabytes } from "./moved_weights.ts";
import { repairPipeline } from "./pipeline_repair.ts";
import {
  compareScores,
  type Score,
  scoreRates,
  sumRates,
  ZERO_RATE,
} from "./plan_score.ts";
import type { PlanEngine, PlanModel, PlannedPipeline } from "./plan_types.ts";
import { planFromScratch } from "./scratch_plan.ts";

export interface PlanFromHeldOptions {
  readonly models: readonly PlanModel[];
  /** Relative speed-up that justifies a repair with more transfer. */
  readonly gainThreshold: number;
}

/** Planned pipelines, and the engines without a stage in any of them. */
interface Layout {
  readonly pipelines: readonly PlannedPipeline[];
  readonly idle: readonly PlanEngine[];
}

/**
 * Keeps whole pipelines, repairs incomplete ones and assigns idle engines.
 * Then drops pipelines of models that have more than two, where their engines
 * can serve another model or give it a second pipeline.
 */
export async function planFromHeld(
  engines: readonly PlanEngine[],
  options: PlanFromHeldOptions,
): Promise<readonly PlannedPipeline[]> {
  const { models } = options;
  let layout = keepHeldPipelines(engines, models);
  layout = repairPipelines(layout, options);
  layout = await assignIdleEngines(layout, models);
  const { pipelines } = await reassignForRedundancy(layout, {
    engines,
    models,
  });
  return pipelines;
}

function keepHeldPipelines(
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): Layout {
  return models.reduce(
    (layout: Layout, model) =>
      findHeldPipelines(layout.idle, model).reduce(addPipeline, layout),
    { pipelines: [], idle: engines },
  );
}

function repairPipelines(start: Layout, options: PlanFromHeldOptions): Layout {
  const { models, gainThreshold } = options;
  const rates = sumRates(start.pipelines);
  const pipelineCount = ({ model }: PlanModel) =>
    rates.get(model)?.pipelines ?? 0;
  // Models with few whole pipelines get idle engines first.
  const ordered = [...models].sort(
    (a, b) => pipelineCount(a) - pipelineCount(b) || b.weight - a.weight,
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

async function assignIdleEngines(
  layout: Layout,
  models: readonly PlanModel[],
): Promise<Layout> {
  const existing = sumRates(layout.pipelines);
  const added = await planFromScratch(layout.idle, { models, existing });
  return added.reduce(addPipeline, layout);
}

/** Drops pipelines one by one while this gives models a first or second one. */
async function reassignForRedundancy(
  start: Layout,
  context: {
    readonly engines: readonly PlanEngine[];
    readonly models: readonly PlanModel[];
  },
): Promise<Layout> {
  const { engines, models } = context;
  const enginesById = new Map(engines.map((engine) => [engine.id, engine]));
  const modelsByName = new Map(models.map((model) => [model.model, model]));

  function totalMovedMegabytes({ pipelines }: Layout): number {
    return pipelines.reduce((sum, pipeline) => {
      const model = modelsByName.get(pipeline.model);
      if (!model) return sum;
      return sum + movedMegabytes(pipeline, { model, engines: enginesById });
    }, 0);
  }

  async function replanWithout(layout: Layout, dropped: PlannedPipeline) {
    const freed = dropped.stages.flatMap(
      ({ engine }) => enginesById.get(engine) ?? [],
    );
    const remaining: Layout = {
      pipelines: layout.pipelines.filter((pipeline) => pipeline !== dropped),
      idle: [...layout.idle, ...freed],
    };
    return assignIdleEngines(remaining, models);
  }

  let layout = start;
  while (true) {
    const before = scoreLayout(layout, models);
    if (before.redundant === models.length) return layout;
    const rates = sumRates(layout.pipelines);
    const droppable = layout.pipelines.filter(
      ({ model }) => (rates.get(model)?.pipelines ?? 0) > 2,
    );
    const alternatives: Layout[] = [];
    for (const candidate of droppable)
      alternatives.push(await replanWithout(layout, candidate));
    const best = alternatives
      .map((alternative) => ({
        alternative,
        score: scoreLayout(alternative, models),
        movedMegabytes: totalMovedMegabytes(alternative),
      }))
      .filter(({ score }) => compareAvailability(score, before) > 0)
      .sort(
        (a, b) =>
          compareAvailability(b.score, a.score) ||
          a.movedMegabytes - b.movedMegabytes,
      )[0];
    if (!best) return layout;
    layout = best.alternative;
  }
}

/** Compares the models with a first and a second pipeline, not their rates. */
function compareAvailability(a: Score, b: Score): number {
  return compareScores({ ...a, utility: 0 }, { ...b, utility: 0 });
}

function scoreLayout(
  { pipelines }: Layout,
  models: readonly PlanModel[],
): Score {
  const rates = sumRates(pipelines);
  return scoreRates(models, (model) => rates.get(model) ?? ZERO_RATE);
}

function addPipeline(layout: Layout, pipeline: PlannedPipeline): Layout {
  const used = new Set(pipeline.stages.map(({ engine }) => engine));
  return {
    pipelines: [...layout.pipelines, pipeline],
    idle: layout.idle.filter(({ id }) => !used.has(id)),
  };
}
