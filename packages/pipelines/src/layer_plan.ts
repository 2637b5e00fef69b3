/**
 * Assigns layers to engines. The planner is stateless: each plan is computed
 * from the layers on the engines, so any instance can compute the next one.
 */

import { planGroup } from "./group_plan.ts";
import { maxGroupLayers, minCapacityTokens } from "./group_sizing.ts";
import { countHolders } from "./layer_coverage.ts";
import type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
import type { ModelShape } from "./types.ts";

/**
 * Returns the orders to own engines that give each group of engines a complete
 * and balanced set of layers. A failure domain with enough memory for the whole
 * model forms its own group, so that its pipelines need no other domain. The
 * engines of smaller domains form one group together, or join a complete group
 * if they can't hold the whole model.
 */
export function planLayers(
  engines: readonly PlannedEngine[],
  model: ModelShape,
): LayerOrder[] {
  return groupEngines(engines, model).flatMap((group) => {
    const isOrderable = group.some(
      ({ acceptsOrders, isOwn }) => acceptsOrders && isOwn,
    );
    if (!isOrderable) return [];
    const others = engines.filter((engine) => !group.includes(engine));
    const servedElsewhere = countHolders(
      others.flatMap(({ serving }) => serving ?? []),
      model.layerCount,
    );
    const own = new Set(group.flatMap(({ id, isOwn }) => (isOwn ? id : [])));
    return planGroup(group, { model, servedElsewhere }).filter(({ engineId }) =>
      own.has(engineId),
    );
  });
}

function groupEngines(
  engines: readonly PlannedEngine[],
  model: ModelShape,
): PlannedEngine[][] {
  const domains = new Map<string, PlannedEngine[]>();
  for (const engine of engines) {
    const group = domains.get(engine.failureDomain) ?? [];
    group.push(engine);
    domains.set(engine.failureDomain, group);
  }
  const names = [...domains.keys()].sort();
  const groups = names.map((name) => domains.get(name) ?? []);
  const completeGroups = groups.filter((group) => canHoldModel(group, model));
  const undersized = groups
    .filter((group) => !canHoldModel(group, model))
    .flat();
  if (undersized.length === 0) return completeGroups;
  const [first] = completeGroups;
  if (canHoldModel(undersized, model) || !first)
    return [...completeGroups, undersized];
  // These engines can't form a pipeline alone; in a complete group they
  // replicate layers.
  return [[...first, ...undersized], ...completeGroups.slice(1)];
}

function canHoldModel(
  group: readonly PlannedEngine[],
  model: ModelShape,
): boolean {
  return (
    maxGroupLayers(group, model, minCapacityTokens(model)) >= model.layerCount
  );
}
