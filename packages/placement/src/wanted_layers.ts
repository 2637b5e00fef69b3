/** What an engine is to hold under a note. */
import type {
  EngineOrder,
  EngineSettings,
  NoteRecord,
} from "@rosemarypin/schemas";

/** The whole wanted state of one engine, without its fencing number. */
export function wantedState(
  engine: EngineSettings,
  record: NoteRecord,
): Omit<EngineOrder, "fencingNumber"> {
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
