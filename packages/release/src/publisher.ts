/** Publishes a note by a conditional update of the head object. */

import type { ObjectStore, StoredObject } from "@rosemarypin/platform";
import {
  emptyCatalogue,
  headObjectSchema,
  type NoteRecord,
  type ReleaseNote,
  storedKeys,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { foldNote, type NoteProblem } from "./fold.ts";
import type { NoteKeeper } from "./note_keeper.ts";

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
  /** The store cannot be reached; nothing was recorded. */
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
  /** Notes that are recorded, newest first; `null` if the store is away. */
  history(): Promise<readonly NoteRecord[] | null>;
}

/** Creates the publisher of one instance. */
export function createPublisher(options: PublisherOptions): Publisher {
  const { deployment, store, keeper } = options;
  const headKey = storedKeys.head(deployment);

  async function publish(note: ReleaseNote): Promise<PublishResult> {
    const read = await store.read(headKey);
    if (read.kind !== "ok") return { kind: "unavailable", detail: read.kind };
    const head = parseHead(read.value);
    if (head?.note.publishId === note.publishId) return recorded(head, true);
    if ((head?.number ?? 0) !== note.supersedes) {
      const earlier = await findInHistory(note.publishId);
      return earlier ? recorded(earlier, true) : { kind: "conflict", head };
    }
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
    const next: NoteRecord = {
      number,
      note,
      catalogue: folded.catalogue,
      recordedAt: Date.now(),
      recordedBy: options.instance,
    };
    // The old head goes to history first: once the head is overwritten, no
    // other object would hold it.
    if (base.head && !(await keepInHistory(base.head))) {
      return { kind: "unavailable", detail: "history could not be written" };
    }
    const written = await store.write(headKey, next, {
      expectedVersion: base.version,
    });
    if (written.kind === "ok") return recorded(next, false);
    if (written.kind === "conflict") return lost(note, written.actual);
    if (written.kind === "reply_lost") return resolveLostReply(note);
    return { kind: "unavailable", detail: written.kind };
  }

  /**
   * A lost reply hides whether the write took effect. The publish id in the
   * head tells: it is ours, or another note's, or still the old one.
   */
  async function resolveLostReply(note: ReleaseNote): Promise<PublishResult> {
    const read = await store.read(headKey);
    if (read.kind !== "ok") {
      return { kind: "unknown", detail: "the store's answer was lost" };
    }
    const head = parseHead(read.value);
    if (head?.note.publishId === note.publishId) return recorded(head, true);
    if ((head?.number ?? 0) > note.supersedes) return lost(note, read.value);
    return { kind: "unknown", detail: "the write may still arrive" };
  }

  async function lost(
    note: ReleaseNote,
    actual: StoredObject | null,
  ): Promise<PublishResult> {
    const head = parseHead(actual);
    if (head?.note.publishId === note.publishId) return recorded(head, true);
    const earlier = await findInHistory(note.publishId);
    return earlier ? recorded(earlier, true) : { kind: "conflict", head };
  }

  function recorded(record: NoteRecord, repeated: boolean): PublishResult {
    log.info("note_recorded", { note: record.number, repeated });
    keeper.offer(record);
    return { kind: "recorded", record, repeated };
  }

  async function keepInHistory(head: NoteRecord): Promise<boolean> {
    const key = storedKeys.history(deployment, head.number);
    const written = await store.write(key, head, { expectedVersion: null });
    return written.kind === "ok" || written.kind === "conflict";
  }

  async function findInHistory(
    publishId: string,
  ): Promise<NoteRecord | undefined> {
    const notes = await history();
    return notes?.find(({ note }) => note.publishId === publishId);
  }

  async function history(): Promise<readonly NoteRecord[] | null> {
    const listed = await store.list(`${deployment}/notes/history/`);
    const head = await store.read(headKey);
    if (listed.kind !== "ok" || head.kind !== "ok") return null;
    const records = [...listed.value, head.value]
      .map(parseHead)
      .filter((record) => record !== null);
    return records.sort((a, b) => b.number - a.number);
  }

  return { publish, history };
}

function parseHead(object: StoredObject | null): NoteRecord | null {
  const parsed = headObjectSchema.safeParse(object?.value);
  return parsed.success ? parsed.data : null;
}
