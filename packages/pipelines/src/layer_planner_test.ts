import { expect, it } from "vitest";
import { planLayers } from "./layer_plan.ts";
import { createLayerPlanner } from "./layer_planner.ts";
import type { PlannedEngine } from "./plan_draft.ts";
import type { ModelShape } from "./types.ts";

const MODEL: ModelShape = {
  name: "assist",
  layerCount: 8,
  layerMb: 1_000,
  tokenLayerBytes: 1_000,
  stepMs: 8,
  prefillTokensPerMs: 10,
  meanPromptTokens: 100,
  meanAnswerTokens: 100,
  maxConcurrentAnswers: 10,
};

function createEngine(id: string, change: Partial<PlannedEngine> = {}) {
  return {
    id,
    failureDomain: "a",
    memoryMb: 6_000,
    stepFactor: 1,
    prefillFactor: 1,
    held: null,
    serving: null,
    acceptsOrders: true,
    isOwn: true,
    ...change,
  };
}

it("returns the cached layer plan while engines and model are unchanged", () => {
  const plan = createLayerPlanner();
  const engines = ["1", "2", "3"].map((id) => createEngine(id));
  const orders = plan(engines, MODEL);
  expect(orders).toEqual(planLayers(engines, MODEL));
  expect(orders.length).toBeGreaterThan(0);
  expect(plan(structuredClone(engines), MODEL)).toBe(orders);
});

it.each<[string, Partial<PlannedEngine>]>([
  ["holds other layers", { held: { from: 0, to: 2 } }],
  ["accepts no orders", { acceptsOrders: false }],
  ["has a different memory size", { memoryMb: 12_000 }],
])("computes a new layer plan when an engine %s", (_name, change) => {
  const plan = createLayerPlanner();
  const engines = ["1", "2", "3"].map((id) => createEngine(id));
  plan(engines, MODEL);
  const changed = [createEngine("1", change), ...engines.slice(1)];
  expect(plan(changed, MODEL)).toEqual(planLayers(changed, MODEL));
});

it("returns no orders for engines that accept none", () => {
  const engines = ["1", "2"].map((id) =>
    createEngine(id, { acceptsOrders: false }),
  );
  expect(planLayers(engines, MODEL)).toEqual([]);
});
