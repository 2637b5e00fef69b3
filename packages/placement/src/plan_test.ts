import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { GAIN_THRESHOLD, planDomain } from "./plan.ts";
import type {
  Plan,
  PlanEngine,
  PlanModel,
  PlannedPipeline,
} from "./plan_types.ts";

const SEED = 20_261_203;

const model: PlanModel = {
  model: "assist",
  layers: 12,
  layerMegabytes: 3,
  fixedMegabytes: 1,
  loadMegabytes: 1,
  layerCost: 1,
  weight: 1,
};

/** Three kinds of accelerator, on links that differ a hundredfold. */
const kinds = [
  { layerMs: 1, fixedMs: 2.25, memoryMegabytes: 28 },
  { layerMs: 1.6, fixedMs: 5, memoryMegabytes: 19 },
  { layerMs: 2.8, fixedMs: 27, memoryMegabytes: 13 },
] as const;

/** Creates engines of these kinds that hold no layers. */
function createEngines(picked: readonly number[]): PlanEngine[] {
  return picked.map((kind, index) => ({
    id: `engine-${index}`,
    ...(kinds[kind] ?? kinds[0]),
    holds: [],
  }));
}

/** Returns the engines after a plan has been applied. */
function applyPlan(engines: readonly PlanEngine[], plan: Plan): PlanEngine[] {
  return engines.map((engine) => ({
    ...engine,
    holds: plan.pipelines.flatMap((pipeline) =>
      pipeline.stages
        .filter((stage) => stage.engine === engine.id)
        .map(({ from, to }) => ({
          model: pipeline.model,
          layers: { from, to },
        })),
    ),
  }));
}

function removeEngine(
  engines: readonly PlanEngine[],
  lost: string,
): PlanEngine[] {
  return engines.filter(({ id }) => id !== lost);
}

function firstEngineOf(plan: Plan): string {
  const stage = plan.pipelines[0]?.stages[0];
  if (!stage) throw new Error("the plan has no pipeline");
  return stage.engine;
}

function rateOf({ pipelines }: Plan): number {
  return pipelines.reduce((rate, { slowestMs }) => rate + 1 / slowestMs, 0);
}

const engineList = fc
  .array(fc.integer({ min: 0, max: 2 }), { minLength: 2, maxLength: 9 })
  .map(createEngines);

describe("placement plan", () => {
  it("holds each layer once, in order, within each engine's memory", async () => {
    const drafts = { ...model, model: "drafts", layers: 9, layerMegabytes: 2 };
    const property = fc.asyncProperty(engineList, async (engines) => {
      const models = [model, drafts];
      const { pipelines } = await planDomain({ engines, models });
      const used = pipelines.flatMap(({ stages }) =>
        stages.map(({ engine }) => engine),
      );
      expect(new Set(used).size).toBe(used.length);
      for (const pipeline of pipelines)
        expectValidPipeline(pipeline, engines, models);
    });
    await fc.assert(property, { seed: SEED, numRuns: 60 });
  });

  it("does not depend on the order of its inputs", async () => {
    const property = fc.asyncProperty(engineList, async (engines) => {
      const plan = await planDomain({ engines, models: [model] });
      const reversed = [...engines].reverse();
      const reversedPlan = await planDomain({
        engines: reversed,
        models: [model],
      });
      expect(reversedPlan).toEqual(plan);
    });
    await fc.assert(property, { seed: SEED, numRuns: 40 });
  });

  it("keeps a second pipeline even if a single one would be faster", async () => {
    // Any one engine may fail. With all engines in one pipeline, its loss
    // would interrupt the model until weights have been moved.
    const engines = createEngines([0, 0, 2, 2, 2]);
    const plan = await planDomain({ engines, models: [model] });
    expect(plan.shortages).toEqual([]);
    expect(plan.pipelines.length).toBeGreaterThan(1);
  });

  it("reports models without a second pipeline, or without any", async () => {
    const short = await planDomain({
      engines: createEngines([0, 1]),
      models: [model],
    });
    expect(short.shortages).toEqual([{ model: "assist", kind: "no_spare" }]);
    const none = await planDomain({
      engines: createEngines([1]),
      models: [model],
    });
    expect(none.shortages).toEqual([{ model: "assist", kind: "no_pipeline" }]);
  });
});

describe("placement plan for engines that hold layers", () => {
  it("moves nothing when nothing has changed", async () => {
    const property = fc.asyncProperty(engineList, async (engines) => {
      const input = { engines, models: [model] };
      const held = applyPlan(engines, await planDomain(input));
      const replanned = await planDomain({ ...input, engines: held });
      expect(replanned.movedMegabytes).toBe(0);
    });
    await fc.assert(property, { seed: SEED, numRuns: 40 });
  });

  it("keeps the other pipelines in place when an engine is lost", async () => {
    // A plan from scratch would also move layers of other engines, and stop
    // whole pipelines until their weights are loaded.
    const engines = createEngines(Array.from({ length: 10 }, () => 0));
    const plan = await planDomain({ engines, models: [model] });
    const lost = firstEngineOf(plan);
    const held = removeEngine(applyPlan(engines, plan), lost);
    const next = await planDomain({ engines: held, models: [model] });
    expect(next.pipelines).toHaveLength(4);
    expect(next.movedMegabytes).toBe(0);
  });

  it("moves no more than a plan from scratch, and is nearly as fast", async () => {
    const property = fc.asyncProperty(engineList, async (engines) => {
      const plan = await planDomain({ engines, models: [model] });
      if (plan.pipelines.length === 0) return;
      const held = removeEngine(applyPlan(engines, plan), firstEngineOf(plan));
      const next = await planDomain({ engines: held, models: [model] });
      const empty = held.map((engine) => ({ ...engine, holds: [] }));
      const fresh = await planDomain({ engines: empty, models: [model] });
      expect(next.shortages).toEqual(fresh.shortages);
      expect(next.movedMegabytes).toBeLessThanOrEqual(fresh.movedMegabytes);
      expect(rateOf(next) * (1 + GAIN_THRESHOLD) + 1e-9).toBeGreaterThanOrEqual(
        rateOf(fresh),
      );
    });
    await fc.assert(property, { seed: SEED, numRuns: 60 });
  });

  it("assigns a lost engine's layers to an idle engine", async () => {
    const engines = createEngines([0, 0, 0, 0, 1]);
    const plan = await planDomain({ engines, models: [model] });
    const lost = firstEngineOf(plan);
    const lostStage = plan.pipelines[0]?.stages[0];
    const idleEngine = { ...kinds[0], id: "spare", holds: [] };
    const held = [...removeEngine(applyPlan(engines, plan), lost), idleEngine];
    const next = await planDomain({ engines: held, models: [model] });
    const layers = (lostStage?.to ?? 0) - (lostStage?.from ?? 0);
    expect(next.movedMegabytes).toBe(layers * model.loadMegabytes);
    expect(next.pipelines).toHaveLength(plan.pipelines.length);
  });

  it("does not move weights for a small gain", async () => {
    // The best split is only a few percent faster than this equal split.
    // With transfers for such gains, weights would be moving most of the time.
    const holds = (from: number, to: number) => [
      { model: "assist", layers: { from, to } },
    ];
    const engines: PlanEngine[] = [
      { ...kinds[0], id: "a", layerMs: 1, holds: holds(0, 6) },
      { ...kinds[0], id: "b", layerMs: 1.1, holds: holds(6, 12) },
      { ...kinds[0], id: "c", layerMs: 1, holds: holds(0, 6) },
      { ...kinds[0], id: "d", layerMs: 1.1, holds: holds(6, 12) },
    ];
    const kept = await planDomain({ engines, models: [model] });
    expect(kept.movedMegabytes).toBe(0);
    const eager = await planDomain({
      engines,
      models: [model],
      gainThreshold: 0,
    });
    expect(eager.movedMegabytes).toBeGreaterThan(0);
  });

  it("drops a third pipeline for a model without a second one", async () => {
    // A release note adds a second model while all engines serve the first.
    // The first keeps two pipelines, and its other layers stay in place.
    const engines = createEngines(Array.from({ length: 8 }, () => 0));
    const plan = await planDomain({ engines, models: [model] });
    expect(plan.pipelines).toHaveLength(4);
    const second = { ...model, model: "drafts" };
    const next = await planDomain({
      engines: applyPlan(engines, plan),
      models: [model, second],
    });
    expect(next.shortages).toEqual([]);
    expect(next.movedMegabytes).toBe(2 * second.layers * model.loadMegabytes);
  });
});

function expectValidPipeline(
  { model: name, stages }: PlannedPipeline,
  engines: readonly PlanEngine[],
  models: readonly PlanModel[],
): void {
  const planned = models.find((candidate) => candidate.model === name);
  if (!planned) throw new Error(`the models do not include "${name}"`);

  const covered = stages.flatMap(({ from, to }) =>
    Array.from({ length: to - from }, (_, index) => from + index),
  );
  expect(covered).toEqual(Array.from({ length: planned.layers }, (_, i) => i));
  for (const { engine, from, to } of stages) {
    const memory = engines.find(({ id }) => id === engine)?.memoryMegabytes;
    const { layerMegabytes, fixedMegabytes } = planned;
    const neededMegabytes = fixedMegabytes + (to - from) * layerMegabytes;
    expect(neededMegabytes).toBeLessThanOrEqual(memory ?? 0);
  }
}
