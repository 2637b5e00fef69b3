/** Assigns engines to groups of kinds so that few weights are moved. */
import type { EngineKind } from "./engine_kinds.ts";
import type { KindGroup } from "./group_local_search.ts";
import { findHeldPipelines } from "./held_pipelines.ts";
import type { PlanEngine, PlanModel } from "./plan_types.ts";

/** Engines that form one planned pipeline. */
export interface EngineGroup {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}

/** Engines that already hold a whole pipeline of a model. */
interface HeldGroup {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}

/**
 * Chooses engines of the listed kinds for each group. A group reuses the
 * engines of a held pipeline if it lists the kinds of all of them. For its
 * other kinds it gets engines that hold layers of the model, or else any.
 */
export function assignEngines(
  groups: readonly KindGroup[],
  kinds: readonly EngineKind[],
): readonly EngineGroup[] {
  const available = kinds.map(({ engines }) => [...engines]);
  const kindOf = new Map(
    kinds.flatMap(({ engines }, kind) =>
      engines.map((engine) => [engine, kind] as const),
    ),
  );
  const held = listHeldGroups(groups, [...kindOf.keys()]);
  const reused = groups.map(({ model, kinds: groupKinds }): PlanEngine[] => {
    const index = findReusable(held, { model, groupKinds, kindOf });
    return [...(index < 0 ? [] : (held.splice(index, 1)[0]?.engines ?? []))];
  });
  for (const engine of reused.flat())
    removeOnce(available[kindOf.get(engine) ?? -1], engine);
  return groups.map(({ model, kinds: groupKinds }, index) => {
    const engines = reused[index] ?? [];
    const missing = [...groupKinds];
    for (const engine of engines) removeOnce(missing, kindOf.get(engine) ?? -1);
    const added = missing.flatMap((kind) => takeEngine(available[kind], model));
    return { model, engines: [...engines, ...added] };
  });
}

function listHeldGroups(
  groups: readonly KindGroup[],
  engines: readonly PlanEngine[],
): HeldGroup[] {
  const byId = new Map(engines.map((engine) => [engine.id, engine]));
  const models = [...new Set(groups.map(({ model }) => model))];
  return models.flatMap((model) =>
    findHeldPipelines(engines, model).map(({ stages }) => ({
      model,
      engines: stages.flatMap(({ engine }) => byId.get(engine) ?? []),
    })),
  );
}

/** Index of the largest held pipeline whose kinds the group contains, or -1. */
function findReusable(
  held: readonly HeldGroup[],
  group: {
    readonly model: PlanModel;
    readonly groupKinds: readonly number[];
    readonly kindOf: ReadonlyMap<PlanEngine, number>;
  },
): number {
  let best = -1;
  held.forEach(({ model, engines }, index) => {
    if (model !== group.model) return;
    const remaining = [...group.groupKinds];
    const fits = engines.every((engine) =>
      removeOnce(remaining, group.kindOf.get(engine) ?? -1),
    );
    const size = held[best]?.engines.length ?? 0;
    if (fits && engines.length > size) best = index;
  });
  return best;
}

/** Takes an engine that holds layers of the model, or else the first one. */
function takeEngine(
  engines: PlanEngine[] | undefined,
  { model }: PlanModel,
): PlanEngine[] {
  if (!engines) return [];
  const index = engines.findIndex(({ holds }) =>
    holds.some((held) => held.model === model),
  );
  return engines.splice(Math.max(0, index), 1);
}

/** Removes the first occurrence; returns whether there was one. */
function removeOnce<T>(values: T[] | undefined, value: T): boolean {
  const index = values?.indexOf(value) ?? -1;
  if (index >= 0) values?.splice(index, 1);
  return index >= 0;
}
