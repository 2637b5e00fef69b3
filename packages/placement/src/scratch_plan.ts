/** Pipelines as they are best, whatever engines hold already. */

import type { EngineGroup } from "./engine_choice.ts";
import { toSplitEngine } from "./engine_kinds.ts";
import { type GroupSearchOptions, searchGroups } from "./group_search.ts";
import { splitPipeline } from "./layer_split.ts";
import type { PlanEngine, PlannedPipeline } from "./plan_types.ts";

/** The best pipelines that these engines can form beside `existing` ones. */
export async function planFromScratch(
  engines: readonly PlanEngine[],
  options: GroupSearchOptions,
): Promise<readonly PlannedPipeline[]> {
  const groups = await searchGroups(engines, options);
  return groups.map(splitGroup);
}

/** Orders the stages as their engines hold layers now, and divides these. */
function splitGroup({ model, engines }: EngineGroup): PlannedPipeline {
  const heldFrom = ({ holds }: PlanEngine) =>
    Math.min(
      ...holds
        .filter((held) => held.model === model.model)
        .map(({ layers }) => layers.from),
    );
  const ordered = [...engines].sort((a, b) => {
    const x = heldFrom(a);
    const y = heldFrom(b);
    if (x !== y) return x < y ? -1 : 1;
    return a.id < b.id ? -1 : 1;
  });
  const split = splitPipeline(
    ordered.map((engine) => toSplitEngine(engine, model)),
    model.layers,
  );
  return { model: model.model, ...split };
}
