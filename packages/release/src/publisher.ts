/** Publishes a note by a conditional update of the head object. */

import {
  emptyCatalogue,
  type NoteRecord,
  type ReleaseNote,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { mergeNote, type NoteProblem } from "./merge_note.ts";
import { createNoteHistory, parseStoredNote } from "./note_history.ts";
import type { NoteKeeper } from "./note_keeper.ts";
import { createWithdrawnNames, splitWithdrawals } from "./withdrawn_names.ts";

/** The store limits a value to 1 MB; the rest is left for its overhead. */
const MAX_RECORD_BYTES = 950_000;

const log = createLogger("release");

/** The outcome of an attempt to publish a note. */
export type PublishResult =
  | {
      readonly kind: "recorded";
      readonly record: NoteRecord;
      /** Whether an earlier attempt with the same publish id recorded it. */
      readonly repeated: boolean;
    }
  /** Another note was recorded first; `head` is the one to supersede. */
  | { readonly kind: "conflict"; readonly head: NoteRecord | null }
  | { readonly kind: "invalid"; readonly problems: readonly NoteProblem[] }
  /** The store cannot be reached; this call recorded nothing. */
  | { readonly kind: "unavailable"; readonly detail: string }
  /** The write may have taken effect; publish again with the same id. */
  | { readonly kind: "unknown"; readonly detail: string };

export interface PublisherOptions {
  readonly deployment: string;
  readonly instance: string;
  readonly store: ObjectStore;
  readonly keeper: NoteKeeper;
}

export interface Publisher {
  publish(note: ReleaseNote): Promise<PublishResult>;
  /** Finds a recorded note; `undefined` if the store is unreachable. */
  find(number: number): Promise<NoteRecord | null | undefined>;
  /** Lists the latest notes, newest first; `null` if the store fails. */
  history(limit?: number): Promise<readonly NoteRecord[] | null>;
}

/** Creates the publisher of one instance. */
export function createPublisher(options: PublisherOptions): Publisher {
  const { deployment, store, keeper } = options;
  const headKey = storedKeys.head(deployment);
  const history = createNoteHistory({ deployment, store });
  const withdrawnNames = createWithdrawnNames({ deployment, store });

  async function publish(note: ReleaseNote): Promise<PublishResult> {
    const read = await store.read(headKey);
    if (read.kind !== "ok") return unavailable(read.kind);
    const stored = parseStoredNote(read.value);
    // Treating an unreadable head as a missing one would restart from an empty
    // catalogue and lose all withdrawals.
    if (stored.kind === "unreadable") return unreadableHead();
    const head = stored.kind === "note" ? stored.record : null;
    if (head?.note.publishId === note.publishId)
      return applyRecorded(head, true);
    if ((head?.number ?? 0) !== note.supersedes)
      return resolveSuperseded(note, head);
    return record(note, { head, version: read.value?.version ?? null });
  }

  async function record(
    note: ReleaseNote,
    base: { readonly head: NoteRecord | null; readonly version: number | null },
  ): Promise<PublishResult> {
    const number = note.supersedes + 1;
    const catalogue = base.head?.catalogue ?? emptyCatalogue;
    const merged = mergeNote(catalogue, note, { number });
    if (merged.kind === "invalid") return merged;
    const { kept: keptWithdrawals, moved: movedWithdrawals } = splitWithdrawals(
      merged.catalogue.withdrawn,
      { before: number },
    );
    const nextRecord: NoteRecord = {
      number,
      note,
      catalogue: { ...merged.catalogue, withdrawn: keptWithdrawals },
      recordedAt: Date.now(),
      recordedBy: options.instance,
    };
    const size = Buffer.byteLength(JSON.stringify(nextRecord));
    if (size > MAX_RECORD_BYTES) return tooLarge(size);
    const problems = await withdrawnNames.findReused(note);
    if (problems === null)
      return unavailable("the withdrawn names could not be read");
    if (problems.length > 0) return { kind: "invalid", problems };
    // Before the head is overwritten, its note is copied to the history and
    // the withdrawals that the next head drops to objects of their own. No
    // other object holds them.
    const [isInHistory, areMoved] = await Promise.all([
      base.head === null || history.save(base.head),
      withdrawnNames.save(movedWithdrawals),
    ]);
    if (!isInHistory) return unavailable("history could not be written");
    if (!areMoved) return unavailable("old withdrawals could not be written");
    const written = await store.write(headKey, nextRecord, {
      expectedVersion: base.version,
    });
    if (written.kind === "ok") return applyRecorded(nextRecord, false);
    if (written.kind === "conflict")
      return resolveConflict(written.actual, note);
    if (written.kind === "reply_lost") return resolveLostReply(note);
    return unavailable(written.kind);
  }

  /**
   * Finds out after a lost reply whether the write took effect: the head then
   * holds this note, another one, or still the previous one.
   */
  async function resolveLostReply(note: ReleaseNote): Promise<PublishResult> {
    const read = await store.read(headKey);
    if (read.kind !== "ok") return unknown("the store's answer was lost");
    const stored = parseStoredNote(read.value);
    const number = stored.kind === "note" ? stored.record.number : 0;
    if (number > note.supersedes) return resolveConflict(read.value, note);
    return unknown("the write may still take effect");
  }

  function resolveConflict(
    actual: StoredObject | null,
    note: ReleaseNote,
  ): PublishResult | Promise<PublishResult> {
    const stored = parseStoredNote(actual);
    if (stored.kind === "unreadable") return unreadableHead();
    const head = stored.kind === "note" ? stored.record : null;
    if (head?.note.publishId === note.publishId)
      return applyRecorded(head, true);
    return resolveSuperseded(note, head);
  }

  /**
   * Handles a head that holds another note: this note lost the race, or was
   * recorded earlier and has been superseded. If it was recorded, its number
   * is `supersedes + 1`.
   */
  async function resolveSuperseded(
    note: ReleaseNote,
    head: NoteRecord | null,
  ): Promise<PublishResult> {
    const number = note.supersedes + 1;
    if ((head?.number ?? 0) < number) return { kind: "conflict", head };
    const recordedNote =
      head?.number === number ? head : await history.find(number);
    if (recordedNote === undefined) {
      return unknown(
        "the history cannot be read to determine which note was recorded",
      );
    }
    if (recordedNote?.note.publishId !== note.publishId) {
      return { kind: "conflict", head };
    }
    // The head is applied instead of the recorded note, because records in the
    // history lack the withdrawals of earlier notes.
    if (head) keeper.offer(head);
    return reportRecorded(recordedNote, true);
  }

  function applyRecorded(record: NoteRecord, repeated: boolean): PublishResult {
    keeper.offer(record);
    return reportRecorded(record, repeated);
  }

  return { publish, find: history.find, history: history.list };
}

function reportRecorded(record: NoteRecord, repeated: boolean): PublishResult {
  log.info("note_recorded", { note: record.number, repeated });
  return { kind: "recorded", record, repeated };
}

function unknown(detail: string): PublishResult {
  return { kind: "unknown", detail };
}

function unavailable(detail: string): PublishResult {
  return { kind: "unavailable", detail };
}

function unreadableHead(): PublishResult {
  return unavailable("the head object cannot be read by this release");
}

function tooLarge(size: number): PublishResult {
  const message = `the record would have ${size} bytes, more than the ${MAX_RECORD_BYTES} that the store accepts; withdraw unused names or split the note`;
  return { kind: "invalid", problems: [{ line: "note", message }] };
}
