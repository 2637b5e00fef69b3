/** Chooses the engines of groups of kinds, so that little has to move. */
import type { EngineKind } from "./engine_kinds.ts";
import type { KindGroup } from "./group_moves.ts";
import { findHeldPipelines } from "./held_chains.ts";
import type { PlanEngine, PlanModel } from "./plan_types.ts";

/** Engines that are to form one pipeline. */
export interface EngineGroup {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}

/** A whole pipeline that engines of these kinds hold. */
interface HeldGroup {
  readonly model: PlanModel;
  readonly engines: readonly PlanEngine[];
}

/**
 * Puts engines in the place of kinds. A group gets the engines of a pipeline
 * that is held, if one is of its kinds or of some of them; what is missing
 * comes from engines that hold layers of the model, and then from any.
 */
export function chooseEngines(
  groups: readonly KindGroup[],
  kinds: readonly EngineKind[],
): readonly EngineGroup[] {
  const left = kinds.map(({ engines }) => [...engines]);
  const kindOf = new Map(
    kinds.flatMap(({ engines }, kind) =>
      engines.map((engine) => [engine, kind] as const),
    ),
  );
  const held = listHeld(groups, [...kindOf.keys()]);
  const begun = groups.map(({ model, kinds: wanted }): PlanEngine[] => {
    const index = bestFit(held, { model, wanted, kindOf });
    return [...(index < 0 ? [] : (held.splice(index, 1)[0]?.engines ?? []))];
  });
  for (const engine of begun.flat())
    remove(left[kindOf.get(engine) ?? -1], engine);
  return groups.map(({ model, kinds: wanted }, index) => {
    const engines = begun[index] ?? [];
    const missing = [...wanted];
    for (const engine of engines) remove(missing, kindOf.get(engine) ?? -1);
    const added = missing.flatMap((kind) => takeNearest(left[kind], model));
    return { model, engines: [...engines, ...added] };
  });
}

function listHeld(
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

/** The largest held pipeline whose kinds the group has all; -1 if none. */
function bestFit(
  held: readonly HeldGroup[],
  group: {
    readonly model: PlanModel;
    readonly wanted: readonly number[];
    readonly kindOf: ReadonlyMap<PlanEngine, number>;
  },
): number {
  let best = -1;
  held.forEach(({ model, engines }, index) => {
    if (model !== group.model) return;
    const rest = [...group.wanted];
    const fits = engines.every((engine) =>
      remove(rest, group.kindOf.get(engine) ?? -1),
    );
    const size = held[best]?.engines.length ?? 0;
    if (fits && engines.length > size) best = index;
  });
  return best;
}

function takeNearest(
  engines: PlanEngine[] | undefined,
  { model }: PlanModel,
): PlanEngine[] {
  if (!engines) return [];
  const index = engines.findIndex(({ holds }) =>
    holds.some((held) => held.model === model),
  );
  return engines.splice(Math.max(0, index), 1);
}

/** Removes a value once; returns whether it was there. */
function remove<T>(values: T[] | undefined, value: T): boolean {
  const index = values?.indexOf(value) ?? -1;
  if (index >= 0) values?.splice(index, 1);
  return index >= 0;
}
