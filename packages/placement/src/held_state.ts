/** Compares the reported state of an engine with its wanted state. */
import type { EngineState, HeldLayers, NoteRecord } from "@rosemarypin/schemas";
import type { WantedState } from "./wanted_layers.ts";

/** Whether the engine holds exactly what is wanted and runs nothing else. */
export function holdsExactly(state: EngineState, wanted: WantedState): boolean {
  const isSameNote = state.noteNumber === wanted.noteNumber;
  const hasSameLayers = areSetsEqual(
    state.held.map(layersKey),
    wanted.hold.map(layersKey),
  );
  const hasSameAdapters = areSetsEqual(
    state.adapters.map(adapterKey),
    wanted.adapters.map(adapterKey),
  );
  return (
    isSameNote &&
    hasSameLayers &&
    hasSameAdapters &&
    !runsUnwantedVersion(state, wanted)
  );
}

/**
 * Whether the engine reports the note's number, and holds and runs only what
 * the note allows.
 */
export function conformsToNote(
  state: EngineState,
  record: NoteRecord,
): boolean {
  const { models } = record.catalogue;
  const isAllowed = (entry: { model: string; version: string }) =>
    models[entry.model]?.versions[entry.version] !== undefined;
  return (
    state.noteNumber === record.number &&
    state.held.every(isAllowed) &&
    state.running.every(isAllowed) &&
    state.adapters.every(({ model, adapter }) =>
      models[model]?.adapters.includes(adapter),
    )
  );
}

function runsUnwantedVersion(state: EngineState, wanted: WantedState): boolean {
  return state.running.some(
    ({ model, version }) =>
      !wanted.hold.some(
        (layers) => layers.model === model && layers.version === version,
      ),
  );
}

function layersKey({ model, version, layers }: HeldLayers): string {
  return `${model}/${version}/${layers.from}-${layers.to}`;
}

function adapterKey(held: EngineState["adapters"][number]): string {
  return `${held.model}/${held.adapter}`;
}

function areSetsEqual(a: readonly string[], b: readonly string[]): boolean {
  const names = new Set(a);
  return names.size === new Set(b).size && b.every((name) => names.has(name));
}
