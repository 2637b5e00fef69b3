/** The notes that were recorded, by number. */

import {
  headObjectSchema,
  type NoteRecord,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";

/** What a stored note object holds. */
export type StoredNote =
  | { readonly kind: "none" }
  | { readonly kind: "note"; readonly record: NoteRecord }
  /** Written by a later release, or damaged: it must not be overwritten. */
  | { readonly kind: "unreadable" };

/** Notes that one call lists, unless it asks for more. */
const LISTED_NOTES = 20;

export interface NoteHistory {
  /** Keeps a note that was the head; resolves to whether it is kept. */
  keep(head: NoteRecord): Promise<boolean>;
  /** One recorded note; `undefined` if the store is away. */
  find(number: number): Promise<NoteRecord | null | undefined>;
  /** The latest notes, newest first; `null` if the store is away. */
  list(limit?: number): Promise<readonly NoteRecord[] | null>;
}

/**
 * Creates the history of a deployment. Only a note that was read from the
 * head is kept, so one that lost its race never gets in: the head is written
 * under a condition, and there is one head for each number. Two publishers
 * that keep the same head write the same value, and the second finds it there.
 */
export function createNoteHistory(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): NoteHistory {
  const { deployment, store } = options;

  async function find(number: number): Promise<NoteRecord | null | undefined> {
    // The head is read first. It moves to the history before the next head
    // is written, so what was not the head then is in the history now; the
    // other way round, a note could pass from one to the other unseen.
    const head = await readNote(storedKeys.head(deployment));
    if (!head || head.number === number) return head;
    return readNote(storedKeys.history(deployment, number));
  }

  async function readNote(key: string): Promise<NoteRecord | null | undefined> {
    const read = await store.read(key);
    if (read.kind !== "ok") return undefined;
    const stored = parseStoredNote(read.value);
    return stored.kind === "note" ? stored.record : null;
  }

  return {
    find,
    async keep(head) {
      const key = storedKeys.history(deployment, head.number);
      const written = await store.write(key, keptForm(head), {
        expectedVersion: null,
      });
      if (written.kind === "ok" || written.kind === "conflict") return true;
      if (written.kind !== "reply_lost") return false;
      const read = await store.read(key);
      return read.kind === "ok" && read.value !== null;
    },
    async list(limit = LISTED_NOTES) {
      const head = await readNote(storedKeys.head(deployment));
      if (head === undefined) return null;
      if (head === null) return [];
      const count = Math.min(limit, head.number) - 1;
      const older = await Promise.all(
        Array.from({ length: count }, (_, index) =>
          readNote(storedKeys.history(deployment, head.number - 1 - index)),
        ),
      );
      if (older.includes(undefined)) return null;
      return [head, ...older.flatMap((record) => record ?? [])];
    },
  };
}

/**
 * A note as the history keeps it: with the withdrawals of its own, and without
 * those of earlier notes, whose records have them. Whole, each record would
 * repeat up to 256 withdrawals, nine tenths of its size. It is not to be
 * applied: its instance would not know any more what it calls withdrawn.
 */
export function keptForm(head: NoteRecord): NoteRecord {
  const { catalogue, number } = head;
  const withdrawn = catalogue.withdrawn.filter((one) => one.number === number);
  return { ...head, catalogue: { ...catalogue, withdrawn } };
}

/** Reads a stored object as a note. */
export function parseStoredNote(object: StoredObject | null): StoredNote {
  if (object === null) return { kind: "none" };
  const parsed = headObjectSchema.safeParse(object.value);
  return parsed.success
    ? { kind: "note", record: parsed.data }
    : { kind: "unreadable" };
}
