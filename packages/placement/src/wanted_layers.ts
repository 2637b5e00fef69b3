/** The layers and adapters that an engine must hold under a note. */
import type {
  EngineOrder,
  EngineSettings,
  NoteRecord,
} from "@rosemarypin/schemas";

/** Complete wanted state of an engine; an order adds a fencing number. */
export type WantedState = Omit<EngineOrder, "fencingNumber">;

/**
 * The wanted state of an engine with roles. Withdrawn versions and adapters
 * are not in the catalogue, so the engine drops them on the next order.
 */
export function wantedState(
  engine: EngineSettings,
  record: NoteRecord,
): WantedState {
  const { models } = record.catalogue;
  const hold = engine.roles.flatMap(({ model, layers }) =>
    Object.values(models[model]?.versions ?? {})
      .filter((version) => layers.from < version.layers)
      .map((version) => ({
        model,
        version: version.version,
        layers: {
          from: layers.from,
          to: Math.min(layers.to, version.layers),
        },
      })),
  );
  const adapters = engine.roles.flatMap(({ model }) =>
    (models[model]?.adapters ?? []).map((adapter) => ({ model, adapter })),
  );
  return { noteNumber: record.number, hold, adapters };
}
