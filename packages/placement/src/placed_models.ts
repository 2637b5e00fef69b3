/** Input for plans: models that are placed automatically, and engines. */
import type {
  AcceleratorSettings,
  EngineSettings,
  HeldLayers,
  NoteRecord,
  PlacedModelSettings,
  PlacementSettings,
} from "@rosemarypin/schemas";
import type { PlanEngine } from "./plan_types.ts";
import type { VersionedModel } from "./version_plan.ts";

/** The models placed automatically of which the note serves a version. */
export function listPlacedModels(
  record: NoteRecord,
  settings: PlacementSettings,
): readonly VersionedModel[] {
  return settings.models.flatMap((placed) => {
    const layers = servedVersions(record, placed.model).map(
      (version) => version.layers,
    );
    if (layers.length === 0) return [];
    const adapters = record.catalogue.models[placed.model]?.adapters ?? [];
    return [
      {
        model: placed.model,
        layers: Math.max(...layers),
        loadMegabytes: placed.layerMegabytes,
        kvMegabytes: placed.kvMegabytes,
        fixedMegabytes: adapters.length * placed.adapterMegabytes,
        versionsAtOnce: placed.versionsAtOnce,
        layerCost: placed.layerCost,
        weight: placed.weight,
      },
    ];
  });
}

/** Versions of a model that the note serves, the most preferred first. */
export function servedVersions(record: NoteRecord, model: string) {
  const catalogueModel = record.catalogue.models[model];
  return (catalogueModel?.serve ?? []).flatMap(
    (name) => catalogueModel?.versions[name] ?? [],
  );
}

/**
 * Describes engines for a plan; `heldBy` returns the layers an engine holds.
 * Engines of accelerators without settings are left out.
 */
export function listPlanEngines(
  engines: readonly EngineSettings[],
  options: {
    readonly accelerators: readonly AcceleratorSettings[];
    readonly heldBy: (engine: string) => readonly HeldLayers[];
  },
): readonly PlanEngine[] {
  return engines.flatMap((engine) => {
    const kind = options.accelerators.find(
      ({ name }) => name === engine.accelerator,
    );
    if (!kind) return [];
    return [
      {
        id: engine.id,
        layerMs: kind.layerMs,
        fixedMs: kind.batchMs + (engine.linkMs ?? 0),
        memoryMegabytes: kind.memoryMegabytes,
        holds: options.heldBy(engine.id),
      },
    ];
  });
}

/** The placement settings of a model. */
export function placedModelOf(
  settings: PlacementSettings,
  model: string,
): PlacedModelSettings | undefined {
  return settings.models.find((placed) => placed.model === model);
}
