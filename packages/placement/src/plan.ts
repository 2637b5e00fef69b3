/** Decides which engine of a failure domain holds which layers. */
import { keepPipelines } from "./kept_pipelines.ts";
import { movedMegabytes } from "./moved_weights.ts";
import {
  compareScores,
  NO_RATE,
  type Score,
  scoreRates,
  sumRates,
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
 * Share by which rates must grow on the middle model before weights are
 * moved for it; its measurement stands in docs/design/007-placement.md.
 */
export const GAIN_THRESHOLD = 0.1;

/** What a plan is made from; equal inputs give equal plans. */
export interface PlanInput {
  readonly engines: readonly PlanEngine[];
  readonly models: readonly PlanModel[];
  readonly gainThreshold?: number;
}

/**
 * Keeps what engines hold and completes it, unless a plan from scratch
 * answers more models, spares more of them, or is faster by the threshold.
 */
export async function planDomain(input: PlanInput): Promise<Plan> {
  const { gainThreshold = GAIN_THRESHOLD } = input;
  const engines = [...input.engines].sort((a, b) => (a.id < b.id ? -1 : 1));
  const models = [...input.models].sort((a, b) => (a.model < b.model ? -1 : 1));
  const kept = await keepPipelines(engines, { models, gainThreshold });
  const fresh = await planFromScratch(engines, { models });
  const pipelines = isWorthMoving(fresh, { kept, models, gainThreshold })
    ? fresh
    : kept;
  return describePlan(pipelines, { engines, models });
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
  const before = scoreOf(kept, models);
  const after = scoreOf(fresh, models);
  if (after.answered !== before.answered || after.spared !== before.spared) {
    return compareScores(after, before) > 0;
  }
  const weights = models.reduce((sum, { weight }) => sum + weight, 0);
  const least = weights * Math.log(1 + gainThreshold);
  return after.welfare - before.welfare > least;
}

function scoreOf(
  pipelines: readonly PlannedPipeline[],
  models: readonly PlanModel[],
): Score {
  const rates = sumRates(pipelines);
  return scoreRates(models, (model) => rates.get(model) ?? NO_RATE);
}

function describePlan(
  pipelines: readonly PlannedPipeline[],
  context: {
    readonly engines: readonly PlanEngine[];
    readonly models: readonly PlanModel[];
  },
): Plan {
  const engines = new Map(context.engines.map((one) => [one.id, one]));
  const models = new Map(context.models.map((one) => [one.model, one]));
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
