/** What an engine is to hold under a note. */
import type {
  EngineOrder,
  EngineSettings,
  NoteRecord,
} from "@rosemarypin/schemas";

/** Everything an engine is to hold; an order adds a fencing number. */
export type WantedState = Omit<EngineOrder, "fencingNumber">;

/**
 * The whole wanted state of one engine. Layers and adapters of a withdrawn
 * batch are not in the catalogue, so an order leaves no trace of them.
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
