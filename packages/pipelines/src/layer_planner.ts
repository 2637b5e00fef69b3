/** Caches the layer plan until its inputs change. */
import { planLayers } from "./layer_plan.ts";
import type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
import type { ModelShape } from "./types.ts";

/** Returns the orders of `planLayers` for engines and a model. */
export type LayerPlanner = (
  engines: readonly PlannedEngine[],
  model: ModelShape,
) => readonly LayerOrder[];

/**
 * Creates a planner that caches its last plan. Planning a hundred engines
 * blocks the event loop of the instance for tens of milliseconds, whereas plans
 * are requested several times a second, mostly with unchanged inputs.
 */
export function createLayerPlanner(): LayerPlanner {
  let plannedInput = "";
  let orders: readonly LayerOrder[] = [];
  return (engines, model) => {
    const input = JSON.stringify([engines, model]);
    if (input !== plannedInput) {
      orders = planLayers(engines, model);
      plannedInput = input;
    }
    return orders;
  };
}
