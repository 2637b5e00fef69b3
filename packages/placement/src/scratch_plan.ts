/**
 * Plans new pipelines for the best score. Held layers affect only the choice
 * among equivalent engines and the order of the stages.
 */

import type { EngineGroup } from "./engine_assignment.ts";
import { toSplitEngine } from "./engine_kinds.ts";
import { type GroupSearchOptions, searchGroups } from "./group_search.ts";
import { splitPipeline } from "./layer_split.ts";
import type { PlanEngine, PlannedPipeline } from "./plan_types.ts";

/** Plans the best pipelines of these engines beside `existing` ones. */
export async function planFromScratch(
  engines: readonly PlanEngine[],
  options: GroupSearchOptions,
): Promise<readonly PlannedPipeline[]> {
  const groups = await searchGroups(engines, options);
  return groups.map(splitGroup);
}

/** Orders the engines by the layers that they hold and splits the layers. */
function splitGroup({ model, engines }: EngineGroup): PlannedPipeline {
  const firstHeldLayer = ({ holds }: PlanEngine) =>
    Math.min(
      ...holds
        .filter((held) => held.model === model.model)
        .map(({ layers }) => layers.from),
    );
  const ordered = [...engines].sort((a, b) => {
    const firstLayerA = firstHeldLayer(a);
    const firstLayerB = firstHeldLayer(b);
    if (firstLayerA !== firstLayerB) return firstLayerA < firstLayerB ? -1 : 1;
    return a.id < b.id ? -1 : 1;
  });
  const split = splitPipeline(
    ordered.map((engine) => toSplitEngine(engine, model)),
    model.layers,
  );
  return { model: model.model, ...split };
}
