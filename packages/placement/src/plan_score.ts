/** Objective by which sets of pipelines are compared. */
import type { PlanModel } from "./plan_types.ts";

/** Totals over the pipelines of one model. */
export interface ModelRate {
  /** Number of pipelines; no two of them share an engine. */
  readonly pipelines: number;
  /** Full batches per millisecond that they complete together. */
  readonly rate: number;
}

/**
 * Objective value of a set of pipelines. Scores are compared field by field, in
 * this order: more models with a pipeline outweigh more models with a second
 * one, and both outweigh the rates.
 */
export interface Score {
  /** Models with at least one pipeline. */
  readonly answered: number;
  /** Models with a pipeline left after the loss of any one engine. */
  readonly redundant: number;
  /**
   * Weighted sum of the logarithms of the models' rates (proportional
   * fairness): greatest where capacity is in proportion to the weights.
   */
  readonly utility: number;
}

/** Computes the score of these models from their rates. */
export function scoreRates(
  models: readonly PlanModel[],
  rateOf: (model: string) => ModelRate,
): Score {
  let answered = 0;
  let redundant = 0;
  let utility = 0;
  for (const { model, weight } of models) {
    const { pipelines, rate } = rateOf(model);
    if (pipelines === 0) continue;
    answered += 1;
    if (pipelines > 1) redundant += 1;
    utility += weight * Math.log(rate);
  }
  return { answered, redundant, utility };
}

/** Positive if `a` is better than `b`, 0 if they differ by rounding only. */
export function compareScores(a: Score, b: Score): number {
  if (a.answered !== b.answered) return a.answered - b.answered;
  if (a.redundant !== b.redundant) return a.redundant - b.redundant;
  const gain = a.utility - b.utility;
  return Math.abs(gain) < ROUNDING_TOLERANCE ? 0 : gain;
}

const ROUNDING_TOLERANCE = 1e-9;

/** Sums pipelines and rates by model, without infeasible pipelines. */
export function sumRates(
  pipelines: readonly { readonly model: string; readonly slowestMs: number }[],
): ReadonlyMap<string, ModelRate> {
  const rates = new Map<string, ModelRate>();
  for (const { model, slowestMs } of pipelines) {
    if (slowestMs === Infinity) continue;
    const current = rates.get(model) ?? ZERO_RATE;
    rates.set(model, {
      pipelines: current.pipelines + 1,
      rate: current.rate + 1 / slowestMs,
    });
  }
  return rates;
}

/** A model without pipelines. */
export const ZERO_RATE: ModelRate = { pipelines: 0, rate: 0 };
