/**
 * Decides which engines are to hold which layers. The plan is made anew from
 * what engines hold, so whoever makes it needs no memory of earlier plans.
 */
import { planGroup } from "./group_plan.ts";
import { groupLayers, tightRoom } from "./group_room.ts";
import { countHolders } from "./layer_coverage.ts";
import type { LayerOrder, PlannedEngine } from "./plan_draft.ts";
import type { ModelShape } from "./types.ts";

/**
 * Gives the orders that fill gaps in the layers of each group of engines. A
 * group is a failure domain that can hold the whole model: its answers then
 * cross to no other domain. Domains that are too small form one group.
 */
export function planLayers(
  engines: readonly PlannedEngine[],
  model: ModelShape,
): LayerOrder[] {
  return groupEngines(engines, model).flatMap((group) => {
    if (!group.some(({ orderable }) => orderable)) return [];
    const others = engines.filter((engine) => !group.includes(engine));
    const counts = countHolders(
      others.flatMap(({ serving }) => serving ?? []),
      model.layerCount,
    );
    return planGroup(group, { model, servedElsewhere: counts });
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
  const whole = groups.filter((group) => canHoldModel(group, model));
  const rest = groups.filter((group) => !canHoldModel(group, model)).flat();
  if (rest.length === 0) return whole;
  const [first] = whole;
  if (canHoldModel(rest, model) || !first) return [...whole, rest];
  // Alone they are of no use; beside a whole group they hold layers twice.
  return [[...first, ...rest], ...whole.slice(1)];
}

function canHoldModel(
  group: readonly PlannedEngine[],
  model: ModelShape,
): boolean {
  return groupLayers(group, model, tightRoom(model)) >= model.layerCount;
}
