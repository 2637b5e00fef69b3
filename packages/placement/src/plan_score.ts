/** How good a set of pipelines is: what two plans are compared by. */
import type { PlanModel } from "./plan_types.ts";

/** The pipelines of one model, taken together. */
export interface ModelRate {
  /** Pipelines that engines share nothing of. */
  readonly pipelines: number;
  /** Full batches in a millisecond that they finish. */
  readonly rate: number;
}

/**
 * Compared from the first part to the last: a model that nobody answers
 * weighs more than any rate, and one that a single loss takes away is next.
 */
export interface Score {
  /** Models with a pipeline. */
  readonly answered: number;
  /** Models with a pipeline left after the loss of any one machine. */
  readonly spared: number;
  /**
   * Weighted sum of the logarithms of the answered models' rates: it is
   * greatest where shares are in proportion to the weights.
   */
  readonly welfare: number;
}

/** Scores `rateOf` each model. */
export function scoreRates(
  models: readonly PlanModel[],
  rateOf: (model: string) => ModelRate,
): Score {
  let answered = 0;
  let spared = 0;
  let welfare = 0;
  for (const { model, weight } of models) {
    const { pipelines, rate } = rateOf(model);
    if (pipelines === 0) continue;
    answered += 1;
    if (pipelines > 1) spared += 1;
    welfare += weight * Math.log(rate);
  }
  return { answered, spared, welfare };
}

/** Positive if `a` is better than `b`, by more than rounding. */
export function compareScores(a: Score, b: Score): number {
  if (a.answered !== b.answered) return a.answered - b.answered;
  if (a.spared !== b.spared) return a.spared - b.spared;
  const gain = a.welfare - b.welfare;
  return Math.abs(gain) < ROUNDING ? 0 : gain;
}

const ROUNDING = 1e-9;

/** Pipelines and rate of each model. */
export function sumRates(
  pipelines: readonly { readonly model: string; readonly slowestMs: number }[],
): ReadonlyMap<string, ModelRate> {
  const rates = new Map<string, ModelRate>();
  for (const { model, slowestMs } of pipelines) {
    if (slowestMs === Infinity) continue;
    const known = rates.get(model) ?? NO_RATE;
    rates.set(model, {
      pipelines: known.pipelines + 1,
      rate: known.rate + 1 / slowestMs,
    });
  }
  return rates;
}

/** A model without pipelines. */
export const NO_RATE: ModelRate = { pipelines: 0, rate: 0 };
