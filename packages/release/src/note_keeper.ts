/** Holds the note that this instance applies; its number never decreases. */

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
import type { HeadRead } from "./head_follower.ts";
import { type Moment, readMoment, surelyElapsedMs } from "./moment.ts";
import { createNoteSources } from "./note_sources.ts";
import { createPauseDetector } from "./pause_detector.ts";

const CONTACT_CHECK_INTERVAL_MS = 250;
const DEFAULT_ALLOWANCE_MS = 3_600_000;
/**
 * How long a requester of the note is listed, in contact allowances. A reply
 * lets an instance serve for one allowance at most.
 */
const REQUESTER_RETENTION_ALLOWANCES = 2;

const log = createLogger("release");

export interface NoteKeeperOptions {
  readonly deployment: string;
  readonly store: ObjectStore;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  /** How long to serve without contact to the store or to peers. */
  readonly allowanceMs?: number;
  /**
   * When the store listed this instance; `null` if it does not. Defaults to
   * the creation of the keeper.
   */
  readonly listedSince?: () => Moment | null;
  /** The highest note number that an engine reported. */
  readonly highestReportedNumber?: () => number;
  readonly metrics?: Metrics;
}

/** The note in use on this instance. */
export interface NoteKeeper {
  /** The note to answer from; `null` if there is none or contact lapsed. */
  current(): NoteRecord | null;
  /**
   * Resolves to `current()`, after a refresh from the store and peers if this
   * process was paused.
   */
  fresh(): Promise<NoteRecord | null>;
  /** The highest note received, even if the contact has lapsed. */
  applied(): NoteRecord | null;
  /** Applies a record if its number is higher; returns whether it did. */
  offer(record: NoteRecord): boolean;
  /**
   * Calls `listener` after each change of the note, and with a record whose
   * catalogue is empty when the contact lapses. Returns a function that
   * unsubscribes.
   */
  onChange(listener: (record: NoteRecord) => void): () => void;
  /** Answers a `note.current` call of a peer. */
  answer(request: NoteRequest): NoteReply;
  /** Instances that requested the note and may still serve from the reply. */
  requesters(): readonly InstanceReference[];
  /** Reads the note from the store or from peers now. */
  refresh(): Promise<void>;
  /** Age of the last contact; `null` before the first one. */
  contactAgeMs(): number | null;
  stop(): void;
}

/** Creates a keeper, which follows the store and the peers until stopped. */
export function createNoteKeeper(options: NoteKeeperOptions): NoteKeeper {
  const { membership, metrics } = options;
  const allowanceMs = options.allowanceMs ?? DEFAULT_ALLOWANCE_MS;
  const createdAt = readMoment();
  const listedSince = options.listedSince ?? (() => createdAt);
  const contact = createContact({ allowanceMs, listedSince });
  const listeners = new Set<(record: NoteRecord) => void>();
  const requesters = new Map<string, { from: InstanceReference; at: Moment }>();
  const stopping = new AbortController();
  let applied: NoteRecord | null = null;
  let wasInContact = false;
  let pendingRefresh: Promise<void> | null = null;

  const sources = createNoteSources({
    ...options,
    headKey: storedKeys.head(options.deployment),
    signal: stopping.signal,
    allowanceMs,
    listedSince,
    highestReportedNumber: options.highestReportedNumber ?? (() => 0),
    appliedNumber,
    handleHead,
    handleReply,
  });
  const pauses = createPauseDetector({
    onPause(gapMs) {
      log.warn("process_paused", { gap_ms: Math.round(gapMs) });
      pendingRefresh = sources.refreshFromAll();
    },
  });
  const contactTimer = setInterval(checkContact, CONTACT_CHECK_INTERVAL_MS);

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
    // Listeners cut the answers that the note no longer allows. They run
    // before another process can see the new number, which confirms the note.
    notifyListeners(record);
    membership.share({ note: record.number });
    return true;
  }

  function notifyListeners(record: NoteRecord): void {
    for (const listener of [...listeners]) listener(record);
  }

  function handleHead({ record, startedAt }: HeadRead): void {
    if (record) offer(record);
    contact.recordStoreRead(startedAt);
    checkContact();
  }

  function handleReply(reply: NoteReply, requestedAt: Moment): void {
    if (reply.record) offer(reply.record);
    // The contact age holds for the peer's note number. It does not show that
    // a higher number, applied here, is still the latest.
    if (reply.contactAgeMs === null || reply.number > appliedNumber()) return;
    contact.recordPeerContact(requestedAt, reply.contactAgeMs);
    checkContact();
  }

  function checkContact(): void {
    const isInContact = contact.isValid();
    if (isInContact === wasInContact) return;
    wasInContact = isInContact;
    if (isInContact) log.info("contact_made", { note: appliedNumber() });
    else void handleLapsedContact();
  }

  /**
   * Cuts running answers once the allowance has lapsed. A wall clock that is
   * set forward has the same effect, so the store and peers are read first.
   * No token is sent meanwhile, because each one awaits `fresh()` first.
   */
  async function handleLapsedContact(): Promise<void> {
    await sources.refreshFromAll();
    if (contact.isValid() || !applied) return;
    log.warn("contact_lapsed", { note: appliedNumber() });
    notifyListeners({ ...applied, catalogue: emptyCatalogue });
  }

  function current(): NoteRecord | null {
    return contact.isValid() ? applied : null;
  }

  /**
   * A process that was frozen during a recall resumes with queued requests and
   * tokens and an outdated note. The pause detector sees the gap in the clock,
   * and nothing is answered until the store or a peer has been read. If neither
   * can be reached in time, the contact allowance decides, as for any instance
   * that is cut off.
   */
  async function fresh(): Promise<NoteRecord | null> {
    pauses.check();
    const pending = pendingRefresh;
    if (pending) {
      await pending;
      if (pendingRefresh === pending) pendingRefresh = null;
    }
    return current();
  }

  function answer({ from, above }: NoteRequest): NoteReply {
    for (const [key, { at }] of requesters) {
      const isExpired =
        surelyElapsedMs(at) > REQUESTER_RETENTION_ALLOWANCES * allowanceMs;
      if (isExpired) requesters.delete(key);
    }
    const key = `${from.id}/${from.incarnation}`;
    requesters.set(key, { from, at: readMoment() });
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
    requesters: () => [...requesters.values()].map(({ from }) => from),
    contactAgeMs: contact.ageMs,
    stop() {
      stopping.abort();
      clearInterval(contactTimer);
      pauses.stop();
    },
  };
}
