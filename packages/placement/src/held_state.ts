/** Compares what an engine reports with what it is to hold. */
import type { EngineState, HeldLayers, NoteRecord } from "@rosemarypin/schemas";
import type { WantedState } from "./wanted_layers.ts";

/** Whether the engine holds all it must, and nothing else runs on it. */
export function holdsExactly(state: EngineState, wanted: WantedState): boolean {
  const sameNote = state.noteNumber === wanted.noteNumber;
  const sameLayers = isSameSet(
    state.held.map(nameLayers),
    wanted.hold.map(nameLayers),
  );
  const sameAdapters = isSameSet(
    state.adapters.map(nameAdapter),
    wanted.adapters.map(nameAdapter),
  );
  return sameNote && sameLayers && sameAdapters && !runsOther(state, wanted);
}

/** Whether the engine was ordered under the note and has only what it allows. */
export function keepsToNote(state: EngineState, record: NoteRecord): boolean {
  const { models } = record.catalogue;
  const isAllowed = (one: { model: string; version: string }) =>
    models[one.model]?.versions[one.version] !== undefined;
  return (
    state.noteNumber === record.number &&
    state.held.every(isAllowed) &&
    state.running.every(isAllowed) &&
    state.adapters.every(({ model, adapter }) =>
      models[model]?.adapters.includes(adapter),
    )
  );
}

function runsOther(state: EngineState, wanted: WantedState): boolean {
  return state.running.some(
    ({ model, version }) =>
      !wanted.hold.some(
        (layers) => layers.model === model && layers.version === version,
      ),
  );
}

function nameLayers({ model, version, layers }: HeldLayers): string {
  return `${model}/${version}/${layers.from}-${layers.to}`;
}

function nameAdapter(held: EngineState["adapters"][number]): string {
  return `${held.model}/${held.adapter}`;
}

function isSameSet(a: readonly string[], b: readonly string[]): boolean {
  const names = new Set(a);
  return names.size === new Set(b).size && b.every((name) => names.has(name));
}
