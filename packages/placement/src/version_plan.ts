/** Plans with memory for several versions of a model where it suffices. */
import { planDomain } from "./plan.ts";
import type { Plan, PlanEngine, PlanModel } from "./plan_types.ts";

/** A model with the memory requirements of its layers, in megabytes. */
export type VersionedModel = Omit<PlanModel, "layerMegabytes"> & {
  /** KV cache of one layer. */
  readonly kvMegabytes: number;
  /** Versions whose weights should fit into memory at the same time. */
  readonly versionsAtOnce: number;
};

/** A plan with the number of versions that it has memory for. */
export interface VersionedPlan extends Plan {
  /** Versions whose weights fit into memory at the same time, by model. */
  readonly versionsAtOnce: ReadonlyMap<string, number>;
}

/**
 * Plans with memory for `versionsAtOnce` versions of each model. A model that
 * gets no pipeline this way is planned with memory for one version: serving
 * requests now takes precedence over a seamless change of version later.
 */
export async function planVersions(
  engines: readonly PlanEngine[],
  models: readonly VersionedModel[],
): Promise<VersionedPlan> {
  const plan = await planDomain({ engines, models: models.map(toPlanModel) });
  const withoutPipeline = new Set(
    plan.shortages
      .filter(({ kind }) => kind === "no_pipeline")
      .map(({ model }) => model),
  );
  const reduced = models.map((model) =>
    withoutPipeline.has(model.model) ? { ...model, versionsAtOnce: 1 } : model,
  );
  const isUnchanged = reduced.every(
    ({ versionsAtOnce }, index) =>
      versionsAtOnce === models[index]?.versionsAtOnce,
  );
  const finalPlan = isUnchanged
    ? plan
    : await planDomain({ engines, models: reduced.map(toPlanModel) });
  const versionsAtOnce = new Map(
    reduced.map((model) => [model.model, model.versionsAtOnce]),
  );
  return { ...finalPlan, versionsAtOnce };
}

function toPlanModel(model: VersionedModel): PlanModel {
  const { versionsAtOnce, loadMegabytes, kvMegabytes } = model;
  const layerMegabytes = versionsAtOnce * loadMegabytes + kvMegabytes;
  return { ...model, layerMegabytes };
}
