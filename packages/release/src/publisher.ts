/** Publishes a note by a conditional update of the head object. */

import {
  emptyCatalogue,
  type NoteRecord,
  type ReleaseNote,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { foldNote, type NoteProblem } from "./fold.ts";
import { createNoteHistory, parseStoredNote } from "./note_history.ts";
import type { NoteKeeper } from "./note_keeper.ts";
import { createWithdrawnNames, splitWithdrawals } from "./withdrawn_names.ts";

/** The store takes values up to a megabyte; some room is left for its own. */
const LARGEST_RECORD_BYTES = 950_000;

const log = createLogger("release");

/** Why a note was not published, or that nobody knows yet. */
export type PublishResult =
  | {
      readonly kind: "recorded";
      readonly record: NoteRecord;
      /** An earlier try with the same publish id had recorded it. */
      readonly repeated: boolean;
    }
  /** Another note came first; `head` is the one to supersede. */
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
  /** One recorded note; `undefined` if the store is away. */
  find(number: number): Promise<NoteRecord | null | undefined>;
  /** The latest notes, newest first; `null` if the store is away. */
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
    // Taking a head that cannot be read for no head would start again from
    // nothing, and everything withdrawn would be forgotten.
    if (stored.kind === "unreadable") return unreadableHead();
    const head = stored.kind === "note" ? stored.record : null;
    if (head?.note.publishId === note.publishId) return recorded(head, true);
    if ((head?.number ?? 0) !== note.supersedes) return settle(note, head);
    return record(note, { head, version: read.value?.version ?? null });
  }

  async function record(
    note: ReleaseNote,
    base: { readonly head: NoteRecord | null; readonly version: number | null },
  ): Promise<PublishResult> {
    const number = note.supersedes + 1;
    const catalogue = base.head?.catalogue ?? emptyCatalogue;
    const folded = foldNote(catalogue, note, { number });
    if (folded.kind === "invalid") return folded;
    const { kept, moved } = splitWithdrawals(folded.catalogue.withdrawn, {
      before: number,
    });
    const next: NoteRecord = {
      number,
      note,
      catalogue: { ...folded.catalogue, withdrawn: kept },
      recordedAt: Date.now(),
      recordedBy: options.instance,
    };
    const size = Buffer.byteLength(JSON.stringify(next));
    if (size > LARGEST_RECORD_BYTES) return tooLarge(size);
    const problems = await withdrawnNames.findReused(note);
    if (problems === null) return unavailable("withdrawn names not read");
    if (problems.length > 0) return { kind: "invalid", problems };
    // The old head goes to history first, and withdrawals that it alone holds
    // to their own objects: once it is overwritten, no other object would
    // hold them.
    const [isInHistory, areMoved] = await Promise.all([
      base.head === null || history.keep(base.head),
      withdrawnNames.keep(moved),
    ]);
    if (!isInHistory) return unavailable("history could not be written");
    if (!areMoved) return unavailable("old withdrawals could not be written");
    const written = await store.write(headKey, next, {
      expectedVersion: base.version,
    });
    if (written.kind === "ok") return recorded(next, false);
    if (written.kind === "conflict") return lostTo(written.actual, note);
    if (written.kind === "reply_lost") return resolveLostReply(note);
    return unavailable(written.kind);
  }

  /**
   * A lost reply hides whether the write took effect. The publish id in the
   * head tells: it is ours, or another note's, or still the old one.
   */
  async function resolveLostReply(note: ReleaseNote): Promise<PublishResult> {
    const read = await store.read(headKey);
    if (read.kind !== "ok") return unknown("the store's answer was lost");
    const stored = parseStoredNote(read.value);
    const number = stored.kind === "note" ? stored.record.number : 0;
    if (number > note.supersedes) return lostTo(read.value, note);
    return unknown("the write may still arrive");
  }

  function lostTo(
    actual: StoredObject | null,
    note: ReleaseNote,
  ): PublishResult | Promise<PublishResult> {
    const stored = parseStoredNote(actual);
    if (stored.kind === "unreadable") return unreadableHead();
    const head = stored.kind === "note" ? stored.record : null;
    if (head?.note.publishId === note.publishId) return recorded(head, true);
    return settle(note, head);
  }

  /**
   * Another note is the head: this one lost, or it won earlier and has been
   * superseded since. If it won, its number is the one after `supersedes`.
   */
  async function settle(
    note: ReleaseNote,
    head: NoteRecord | null,
  ): Promise<PublishResult> {
    const number = note.supersedes + 1;
    if ((head?.number ?? 0) < number) return { kind: "conflict", head };
    const winner = head?.number === number ? head : await history.find(number);
    if (winner === undefined) {
      return unknown("the history cannot be read to see which note won");
    }
    if (winner?.note.publishId !== note.publishId) {
      return { kind: "conflict", head };
    }
    // The head is applied, not the winner: what the history keeps of a note
    // lacks what was withdrawn before it.
    if (head) keeper.offer(head);
    return reportRecorded(winner, true);
  }

  function recorded(record: NoteRecord, repeated: boolean): PublishResult {
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
  const message = `the record would have ${size} bytes, more than the ${LARGEST_RECORD_BYTES} that the store takes; withdraw what is not used any more or split the note`;
  return { kind: "invalid", problems: [{ line: "note", message }] };
}
