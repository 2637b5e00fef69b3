/** Plans which engine of a failure domain holds which layers. */
import { planFromHeld } from "./held_plan.ts";
import { movedMegabytes } from "./moved_weights.ts";
import {
  compareScores,
  type Score,
  scoreRates,
  sumRates,
  ZERO_RATE,
} from "./plan_score.ts";
import type {
  Plan,
  PlanEngine,
  PlanModel,
  PlannedPipeline,
  Shortage,
} from "./plan_types.ts";
import { planFromScratch } from "./scratch_plan.ts";

/**
 * Minimum relative increase of the weighted geometric mean of the models'
 * rates that justifies moving weights; see docs/design/007-placement.md.
 */
export const GAIN_THRESHOLD = 0.1;

/** Input of a plan; equal inputs give equal plans. */
export interface PlanInput {
  readonly engines: readonly PlanEngine[];
  readonly models: readonly PlanModel[];
  readonly gainThreshold?: number;
}

/**
 * Plans the pipelines of a failure domain. Keeps the layers that engines hold
 * unless a plan from scratch serves more models, gives more of them a second
 * pipeline, or improves the rates by more than the threshold.
 */
export async function planDomain(input: PlanInput): Promise<Plan> {
  const { gainThreshold = GAIN_THRESHOLD } = input;
  const engines = [...input.engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  const models = [...input.models].sort((a, b) => (a.model < b.model ? -1 : 1));
  const kept = await planFromHeld(engines, { models, gainThreshold });
  const fresh = await planFromScratch(engines, { models });
  const pipelines = isWorthMoving(fresh, { kept, models, gainThreshold })
    ? fresh
    : kept;
  return summarisePlan(pipelines, { engines, models });
}

function isWorthMoving(
  fresh: readonly PlannedPipeline[],
  options: {
    readonly kept: readonly PlannedPipeline[];
    readonly models: readonly PlanModel[];
    readonly gainThreshold: number;
  },
): boolean {
  const { kept, models, gainThreshold } = options;
  const keptScore = scoreOf(kept, models);
  const freshScore = scoreOf(fresh, models);
  if (
    freshScore.answered !== keptScore.answered ||
    freshScore.redundant !== keptScore.redundant
  ) {
    return compareScores(freshScore, keptScore) > 0;
  }
  const weights = models.reduce((sum, { weight }) => sum + weight, 0);
  const minimumGain = weights * Math.log(1 + gainThreshold);
  return freshScore.utility - keptScore.utility > minimumGain;
}

function scoreOf(
  pipelines: readonly PlannedPipeline[],
  models: readonly PlanModel[],
): Score {
  const rates = sumRates(pipelines);
  return scoreRates(models, (model) => rates.get(model) ?? ZERO_RATE);
}

function summarisePlan(
  pipelines: readonly PlannedPipeline[],
  context: {
    readonly engines: readonly PlanEngine[];
    readonly models: readonly PlanModel[];
  },
): Plan {
  const engines = new Map(context.engines.map((engine) => [engine.id, engine]));
  const models = new Map(context.models.map((model) => [model.model, model]));
  const rates = sumRates(pipelines);
  const shortages = context.models.flatMap(({ model }): Shortage[] => {
    const count = rates.get(model)?.pipelines ?? 0;
    if (count > 1) return [];
    return [{ model, kind: count === 0 ? "no_pipeline" : "no_spare" }];
  });
  const moved = pipelines.reduce((sum, pipeline) => {
    const model = models.get(pipeline.model);
    if (!model) return sum;
    return sum + movedMegabytes(pipeline, { model, engines });
  }, 0);
  return { pipelines, shortages, movedMegabytes: moved };
}
