/** Plans with room for a new version beside the old, where there is some. */
import { planDomain } from "./plan.ts";
import type { Plan, PlanEngine, PlanModel } from "./plan_types.ts";

/** A model with what its memory is made of, in megabytes. */
export type RoomModel = Omit<PlanModel, "layerMegabytes"> & {
  /** Room for KV caches with each layer. */
  readonly kvMegabytes: number;
  /** Versions for whose weights there should be room. */
  readonly versionsAtOnce: number;
};

/** A plan, with the models that have room for one version only. */
export interface RoomPlan extends Plan {
  /** Versions that each model has room for. */
  readonly versionsAtOnce: ReadonlyMap<string, number>;
}

/**
 * A model that gets no pipeline with room for several versions is planned
 * with room for one: an answer now goes before a smooth change later.
 */
export async function planWithRoom(
  engines: readonly PlanEngine[],
  models: readonly RoomModel[],
): Promise<RoomPlan> {
  const plan = await planDomain({ engines, models: models.map(withRoom) });
  const lacking = new Set(
    plan.shortages
      .filter(({ kind }) => kind === "no_pipeline")
      .map(({ model }) => model),
  );
  const lessRoom = models.map((model) =>
    lacking.has(model.model) ? { ...model, versionsAtOnce: 1 } : model,
  );
  const isSame = lessRoom.every(
    ({ versionsAtOnce }, index) =>
      versionsAtOnce === models[index]?.versionsAtOnce,
  );
  const final = isSame
    ? plan
    : await planDomain({ engines, models: lessRoom.map(withRoom) });
  const versionsAtOnce = new Map(
    lessRoom.map((model) => [model.model, model.versionsAtOnce]),
  );
  return { ...final, versionsAtOnce };
}

function withRoom(model: RoomModel): PlanModel {
  const { versionsAtOnce, loadMegabytes, kvMegabytes } = model;
  const layerMegabytes = versionsAtOnce * loadMegabytes + kvMegabytes;
  return { ...model, layerMegabytes };
}
