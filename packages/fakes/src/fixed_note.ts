/** A release note that tests set by hand. */
import type { NoteRecord } from "@rosemarypin/schemas";

/** Keeps the record that was set last. */
export interface FixedNote {
  current(): NoteRecord | null;
  /** The same: a note set by hand is never stale. */
  fresh(): Promise<NoteRecord | null>;
  onChange(listener: (record: NoteRecord) => void): () => void;
  set(record: NoteRecord): void;
}

/** Creates a keeper of one record. */
export function createFixedNote(first: NoteRecord | null): FixedNote {
  const listeners = new Set<(record: NoteRecord) => void>();
  let current = first;
  return {
    current: () => current,
    fresh: async () => current,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    set(record) {
      current = record;
      for (const listener of listeners) listener(record);
    },
  };
}

/** A record that serves the versions of one model, the first one first. */
export function serveVersions(options: {
  readonly number: number;
  readonly model: string;
  readonly versions: readonly string[];
  readonly layers: number;
}): NoteRecord {
  const { number, model, versions, layers } = options;
  const described = versions.map((version) => ({
    version,
    layers,
    layerSets: [{ name: `all-${version}`, from: 0, to: layers }],
    addedBy: number,
  }));
  return {
    number,
    note: {
      supersedes: number - 1,
      publishId: `by-hand-${number}`,
      reason: "set by hand",
      added: [],
      changed: [],
      withdrawn: [],
    },
    catalogue: {
      models: {
        [model]: {
          versions: Object.fromEntries(
            described.map((version) => [version.version, version]),
          ),
          serve: [...versions],
          adapters: [],
        },
      },
      services: [],
      withdrawn: [],
    },
    recordedAt: 0,
    recordedBy: "test",
  };
}
