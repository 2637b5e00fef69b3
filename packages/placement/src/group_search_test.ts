import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { toSplitEngine } from "./engine_kinds.ts";
import { searchGroups } from "./group_search.ts";
import { slowestStageMs } from "./layer_split.ts";
import { type Score, scoreRates, sumRates, ZERO_RATE } from "./plan_score.ts";
import type { PlanEngine, PlanModel } from "./plan_types.ts";

const SEED = 20_261_202;
const LAYERS = 12;

/**
 * Three kinds of accelerator, on links that differ a hundredfold. They can
 * hold 12, 8 and 6 layers of 1 MB each.
 */
const kinds = [
  { layerMs: 1, fixedMs: 4.1, memoryMegabytes: 12 },
  { layerMs: 1.6, fixedMs: 5, memoryMegabytes: 8 },
  { layerMs: 2.8, fixedMs: 14, memoryMegabytes: 6 },
] as const;

const large: PlanModel = {
  model: "large",
  layers: LAYERS,
  layerMegabytes: 1,
  fixedMegabytes: 0,
  loadMegabytes: 1,
  layerCost: 1,
  weight: 1,
};
const small: PlanModel = {
  ...large,
  model: "small",
  layers: 8,
  layerMegabytes: 0.75,
  fixedMegabytes: 0.5,
  layerCost: 0.5,
  weight: 2,
};

function engineList(maxLength: number) {
  return fc
    .array(fc.integer({ min: 0, max: 2 }), { minLength: 2, maxLength })
    .map((picked) =>
      picked.map((kind, index): PlanEngine => {
        const speed = kinds[kind as 0 | 1 | 2];
        return { id: `engine-${index}`, holds: [], ...speed };
      }),
    );
}

type Groups = readonly {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}[];

/** Yields all partitions of engines into groups, with all choices of models. */
function* partitions(
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): Generator<Groups> {
  const [first, ...rest] = engines;
  if (!first) {
    yield [];
    return;
  }
  for (const partition of partitions(rest, models)) {
    for (const model of models) {
      yield [{ model, engines: [first] }, ...partition];
    }
    for (let index = 0; index < partition.length; index++) {
      yield partition.map((group, at) =>
        at === index ? { ...group, engines: [first, ...group.engines] } : group,
      );
    }
  }
}

function score(groups: Groups, models: readonly PlanModel[]): Score {
  const rates = sumRates(
    groups.map(({ model, engines }) => ({
      model: model.model,
      slowestMs: slowestStageMs(
        engines.map((engine) => toSplitEngine(engine, model)),
        model.layers,
      ),
    })),
  );
  return scoreRates(models, (model) => rates.get(model) ?? ZERO_RATE);
}

/** Returns the best score of all partitions. */
function exhaustiveBestScore(
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): Score {
  let best: Score = { answered: 0, redundant: 0, utility: 0 };
  for (const groups of partitions(engines, models)) {
    const next = score(groups, models);
    const gain =
      next.answered - best.answered ||
      next.redundant - best.redundant ||
      next.utility - best.utility;
    if (gain > 0) best = next;
  }
  return best;
}

/** Expects optimal numbers of models, and rates within 2% of the optimum. */
async function expectNearBest(
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): Promise<void> {
  const best = exhaustiveBestScore(engines, models);
  const found = score(await searchGroups(engines, { models }), models);
  expect(found).toMatchObject({
    answered: best.answered,
    redundant: best.redundant,
  });
  const weights = models.reduce((sum, { weight }) => sum + weight, 0);
  const minimumUtility = best.utility + weights * Math.log(0.98);
  expect(found.utility).toBeGreaterThanOrEqual(minimumUtility);
}

describe("group search", () => {
  it("scores within 2% of exhaustive search with one model", async () => {
    await fc.assert(
      fc.asyncProperty(engineList(7), async (engines) => {
        await expectNearBest(engines, [large]);
      }),
      { seed: SEED, numRuns: 150 },
    );
  });

  it("scores within 2% of exhaustive search with two models", async () => {
    await fc.assert(
      fc.asyncProperty(engineList(6), async (engines) => {
        await expectNearBest(engines, [large, small]);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it("returns no group when the layers do not fit into memory", async () => {
    const engine = { id: "only", layerMs: 1, fixedMs: 1, memoryMegabytes: 3 };
    const engines = [{ ...engine, holds: [] }];
    expect(await searchGroups(engines, { models: [large] })).toEqual([]);
  });
});
