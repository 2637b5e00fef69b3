/** Stores and finds recorded notes by number. */

import {
  headObjectSchema,
  type NoteRecord,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";

/** The parsed content of a stored note object. */
export type StoredNote =
  | { readonly kind: "none" }
  | { readonly kind: "note"; readonly record: NoteRecord }
  /** Written by a later release, or damaged: it must not be overwritten. */
  | { readonly kind: "unreadable" };

/** Number of notes that are listed by default. */
const DEFAULT_LIST_LIMIT = 20;

export interface NoteHistory {
  /** Stores a note that was the head; resolves to whether it is stored. */
  save(head: NoteRecord): Promise<boolean>;
  /** Finds a recorded note; `undefined` if the store is unreachable. */
  find(number: number): Promise<NoteRecord | null | undefined>;
  /** Lists the latest notes, newest first; `null` if the store fails. */
  list(limit?: number): Promise<readonly NoteRecord[] | null>;
}

/**
 * Creates the history of a deployment. It stores only notes that were read from
 * the head. Writes of the head are conditional, so there is one head for each
 * number, and a note that lost the race is never stored. Two publishers that
 * store the same head write the same value, and the second one finds it there.
 */
export function createNoteHistory(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): NoteHistory {
  const { deployment, store } = options;

  async function find(number: number): Promise<NoteRecord | null | undefined> {
    // The head must be read before the history. A head is copied to the
    // history before the next one is written, so an older note is found there.
    // In the opposite order, a note could move between the two reads.
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
    async save(head) {
      const key = storedKeys.history(deployment, head.number);
      const written = await store.write(key, toHistoryRecord(head), {
        expectedVersion: null,
      });
      if (written.kind === "ok" || written.kind === "conflict") return true;
      if (written.kind !== "reply_lost") return false;
      const read = await store.read(key);
      return read.kind === "ok" && read.value !== null;
    },
    async list(limit = DEFAULT_LIST_LIMIT) {
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
 * Reduces a note to what the history stores: it omits the withdrawals of earlier
 * notes, which their own records hold. In full, each record would repeat up to
 * 256 withdrawals, 90 % of its size. An instance must not apply a reduced
 * record, because it would report withdrawn names as unknown.
 */
export function toHistoryRecord(head: NoteRecord): NoteRecord {
  const { catalogue, number } = head;
  const withdrawn = catalogue.withdrawn.filter(
    (withdrawal) => withdrawal.number === number,
  );
  return { ...head, catalogue: { ...catalogue, withdrawn } };
}

/** Parses a stored object as a note. */
export function parseStoredNote(object: StoredObject | null): StoredNote {
  if (object === null) return { kind: "none" };
  const parsed = headObjectSchema.safeParse(object.value);
  return parsed.success
    ? { kind: "note", record: parsed.data }
    : { kind: "unreadable" };
}
