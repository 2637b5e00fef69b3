/** Keeps the note that this instance applies, and never goes back. */

import type { Membership, PeerCaller } from "@rosemarypin/membership";
import {
  emptyCatalogue,
  type InstanceReference,
  type NoteRecord,
  type NoteReply,
  type NoteRequest,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { createContact } from "./contact.ts";
import type { HeadNews } from "./head_follower.ts";
import { type Moment, readMoment, surelyElapsedMs } from "./moment.ts";
import { createNoteSources } from "./note_sources.ts";
import { createPauseDetector } from "./pause_detector.ts";

const CHECK_CONTACT_EVERY_MS = 250;
const DEFAULT_ALLOWANCE_MS = 3_600_000;
/** An asker is remembered this many allowances, more than it can live on. */
const ALLOWANCES_REMEMBERED = 2;

const log = createLogger("release");

export interface NoteKeeperOptions {
  readonly deployment: string;
  readonly store: ObjectStore;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  /** How long to serve with no contact to store or peers. */
  readonly allowanceMs?: number;
  /** Since when the store lists this instance; unset: since the start. */
  readonly listedSince?: () => Moment | null;
  /** The highest note number that an engine reported. */
  readonly hintedNumber?: () => number;
  readonly metrics?: Metrics;
}

/** The note in use here. */
export interface NoteKeeper {
  /** The note to answer from; `null` without one or without contact. */
  current(): NoteRecord | null;
  /** The same, after a look around if this process was paused. */
  fresh(): Promise<NoteRecord | null>;
  /** The highest note known, whether or not it may answer. */
  applied(): NoteRecord | null;
  /** Applies a record if its number is higher; returns whether it did. */
  offer(record: NoteRecord): boolean;
  /**
   * Called after each change of the note, and with a record that allows
   * nothing when the contact lapses; returns how to stop.
   */
  onChange(listener: (record: NoteRecord) => void): () => void;
  /** Answers a peer's `note.current`. */
  answer(request: NoteRequest): NoteReply;
  /** Instances that asked, until none can still live on the answer. */
  askers(): readonly InstanceReference[];
  /** Looks at the store, or at peers, now. */
  refresh(): Promise<void>;
  /** Age of the contact; `null` before the first. */
  contactAgeMs(): number | null;
  stop(): void;
}

/** Starts to keep the note. */
export function createNoteKeeper(options: NoteKeeperOptions): NoteKeeper {
  const { membership, metrics } = options;
  const allowanceMs = options.allowanceMs ?? DEFAULT_ALLOWANCE_MS;
  const startedAt = readMoment();
  const listedSince = options.listedSince ?? (() => startedAt);
  const contact = createContact({ allowanceMs, listedSince });
  const listeners = new Set<(record: NoteRecord) => void>();
  const askers = new Map<string, { from: InstanceReference; at: Moment }>();
  const stopping = new AbortController();
  let applied: NoteRecord | null = null;
  let mayAnswer = false;
  let lookingAround: Promise<void> | null = null;

  const sources = createNoteSources({
    ...options,
    headKey: storedKeys.head(options.deployment),
    signal: stopping.signal,
    allowanceMs,
    listedSince,
    hintedNumber: options.hintedNumber ?? (() => 0),
    appliedNumber,
    takeHead,
    takeReply,
  });
  const pauses = createPauseDetector({
    onPause(gapMs) {
      log.warn("process_paused", { gap_ms: Math.round(gapMs) });
      lookingAround = sources.lookAround();
    },
  });
  const contactTimer = setInterval(checkContact, CHECK_CONTACT_EVERY_MS);

  function appliedNumber(): number {
    return applied?.number ?? 0;
  }

  function offer(record: NoteRecord): boolean {
    if (record.number <= appliedNumber()) return false;
    applied = record;
    const delayMs = Math.max(0, Date.now() - record.recordedAt);
    metrics?.noteNumber.set(record.number);
    metrics?.noteApplyDelay.observe(delayMs / 1_000);
    log.info("note_applied", { note: record.number, delay_ms: delayMs });
    // Answers are cut before anyone is told: to apply is to confirm.
    tellListeners(record);
    membership.share({ note: record.number });
    return true;
  }

  function tellListeners(record: NoteRecord): void {
    for (const listener of [...listeners]) listener(record);
  }

  function takeHead({ record, began }: HeadNews): void {
    if (record) offer(record);
    contact.heardFromStore(began);
    checkContact();
  }

  function takeReply(reply: NoteReply, asked: Moment): void {
    if (reply.record) offer(reply.record);
    // The age vouches for the peer's number: it says nothing about a lower.
    if (reply.contactAgeMs === null || reply.number > appliedNumber()) return;
    contact.heardFromPeer(asked, reply.contactAgeMs);
    checkContact();
  }

  function checkContact(): void {
    const may = contact.holds();
    if (may === mayAnswer) return;
    mayAnswer = may;
    if (may) log.info("contact_made", { note: appliedNumber() });
    else void lapse();
  }

  /**
   * Cuts what runs when the allowance has lapsed. A wall clock that is set
   * forward looks the same, so there is one look around first. No token gets
   * out meanwhile: each asks for the note by itself.
   */
  async function lapse(): Promise<void> {
    await sources.lookAround();
    if (contact.holds() || !applied) return;
    log.warn("contact_lapsed", { note: appliedNumber() });
    tellListeners({ ...applied, catalogue: emptyCatalogue });
  }

  function current(): NoteRecord | null {
    return contact.holds() ? applied : null;
  }

  /**
   * A process that was frozen across a recall wakes up with requests and
   * tokens queued; its clock shows the gap, its note does not. It answers
   * nothing before it has read the store or heard peers, unless it is cut off
   * from both: then its allowance decides, as for any cut-off instance.
   */
  async function fresh(): Promise<NoteRecord | null> {
    pauses.look();
    const pending = lookingAround;
    if (pending) {
      await pending;
      if (lookingAround === pending) lookingAround = null;
    }
    return current();
  }

  function answer({ from, above }: NoteRequest): NoteReply {
    for (const [key, { at }] of askers) {
      const isOver = surelyElapsedMs(at) > ALLOWANCES_REMEMBERED * allowanceMs;
      if (isOver) askers.delete(key);
    }
    const key = `${from.id}/${from.incarnation}`;
    askers.set(key, { from, at: readMoment() });
    return {
      number: appliedNumber(),
      record: appliedNumber() > above ? applied : null,
      contactAgeMs: contact.ageMs(),
    };
  }

  return {
    current,
    fresh,
    applied: () => applied,
    offer,
    answer,
    refresh: sources.refresh,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    askers: () => [...askers.values()].map(({ from }) => from),
    contactAgeMs: contact.ageMs,
    stop() {
      stopping.abort();
      clearInterval(contactTimer);
      pauses.stop();
    },
  };
}
