/** Plans layers anew only when what the plan depends on has changed. */
import { planLayers } from "./layer_plan.ts";
import type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
import type { ModelShape } from "./types.ts";

/** Gives the orders of `planLayers` for engines and a model. */
export type LayerPlanner = (
  engines: readonly PlannedEngine[],
  model: ModelShape,
) => readonly LayerOrder[];

/**
 * Creates a planner for one model. It is asked several times a second, while a
 * plan for a hundred engines takes tens of milliseconds, in which an instance
 * passes nothing on; most times nothing has changed.
 */
export function createLayerPlanner(): LayerPlanner {
  let known = "";
  let orders: readonly LayerOrder[] = [];
  return (engines, model) => {
    const asked = JSON.stringify([engines, model]);
    if (asked !== known) {
      orders = planLayers(engines, model);
      known = asked;
    }
    return orders;
  };
}
