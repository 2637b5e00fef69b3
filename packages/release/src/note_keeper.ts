/** Keeps the note that this instance applies, and never goes back. */

import type { Membership, PeerCaller } from "@rosemarypin/membership";
import type { ObjectStore } from "@rosemarypin/platform";
import {
  type Address,
  emptyCatalogue,
  type InstanceReference,
  type NoteRecord,
  type NoteReply,
  type NoteRequest,
  noteReplySchema,
  storedKeys,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { jittered, pause } from "./backoff.ts";
import { createContact, UNLISTED_ALLOWANCE_MS } from "./contact.ts";
import { followHead, type HeadNews, readHead } from "./head_follower.ts";
import { elapsedMs, type Moment, readMoment } from "./moment.ts";
import { createPauseDetector } from "./pause_detector.ts";
import { choosePeersToAsk, isReader } from "./refresh_roles.ts";

/** How often a reader of the store renews the contact. */
const READ_EVERY_MS = 1_000;
/** How often the others renew theirs from a reader. */
const ASK_EVERY_MS = 5_000;
/** The contact is renewed this many times before it would lapse. */
const RENEWALS_PER_ALLOWANCE = 4;
/** How long an answer waits for a look around after a pause. */
const RECHECK_WITHIN_MS = 1_000;
const CHECK_CONTACT_EVERY_MS = 250;
/** Peers fetch from the first to know over at most this span. */
const LARGEST_FETCH_DELAY_MS = 200;
const DEFAULT_ALLOWANCE_MS = 3_600_000;

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

/** Starts to follow the head object and the peers. */
export function createNoteKeeper(options: NoteKeeperOptions): NoteKeeper {
  const { store, membership, peers, metrics } = options;
  const allowanceMs = options.allowanceMs ?? DEFAULT_ALLOWANCE_MS;
  const startedAt = readMoment();
  const listedSince = options.listedSince ?? (() => startedAt);
  const contact = createContact({ allowanceMs, listedSince });
  const listeners = new Set<(record: NoteRecord) => void>();
  const askers = new Map<string, { from: InstanceReference; at: Moment }>();
  const stopping = new AbortController();
  const { signal } = stopping;
  const headKey = storedKeys.head(options.deployment);
  const fetching = new Set<string>();
  let applied: NoteRecord | null = null;
  let mayAnswer = false;
  let recheck: Promise<void> | null = null;

  const pauses = createPauseDetector({
    onPause(gapMs) {
      log.warn("process_paused", { gap_ms: Math.round(gapMs) });
      recheck = lookAround();
    },
  });
  const contactTimer = setInterval(checkContact, CHECK_CONTACT_EVERY_MS);
  const stopNews = membership.onNews((record) => {
    if (record.left || record.shared.note <= appliedNumber()) return;
    void fetchSoon(record.id);
  });
  void followHead({ store, headKey, signal, take: takeHead });
  void refreshRepeatedly();

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

  /** Cuts what runs when the allowance has lapsed. */
  function checkContact(): void {
    const may = contact.holds();
    if (may === mayAnswer) return;
    mayAnswer = may;
    log.warn(may ? "contact_made" : "contact_lapsed", {
      note: appliedNumber(),
    });
    if (!may && applied) {
      tellListeners({ ...applied, catalogue: emptyCatalogue });
    }
  }

  function current(): NoteRecord | null {
    return contact.holds() ? applied : null;
  }

  async function refreshRepeatedly(): Promise<void> {
    while (!signal.aborted) {
      await pause(jittered(refreshEveryMs()), signal);
      if (!signal.aborted) await refresh();
    }
  }

  function refreshEveryMs(): number {
    if (!listedSince()) return UNLISTED_ALLOWANCE_MS / RENEWALS_PER_ALLOWANCE;
    const everyMs = isReader(membership) ? READ_EVERY_MS : ASK_EVERY_MS;
    return Math.min(everyMs, allowanceMs / RENEWALS_PER_ALLOWANCE);
  }

  async function refresh(): Promise<void> {
    const isBehind = (options.hintedNumber?.() ?? 0) > appliedNumber();
    if (isReader(membership) || isBehind) {
      if (!(await readStore()) || !listedSince()) await askPeers();
    } else if (!(await askPeers())) {
      await readStore();
    }
    checkContact();
  }

  async function readStore(): Promise<boolean> {
    const news = await readHead({ store, headKey, signal });
    if (news) takeHead(news);
    return news !== null;
  }

  /** Asks a few peers; resolves to whether one answered. */
  async function askPeers(): Promise<boolean> {
    const answered = await Promise.all(
      choosePeersToAsk(membership).map((address) => askPeer(address)),
    );
    return answered.includes(true);
  }

  async function askPeer(address: Address): Promise<boolean> {
    const asked = readMoment();
    const { id, failureDomain, incarnation, peer } = membership.self();
    const from = { id, failureDomain, incarnation, peer };
    const params: NoteRequest = { from, above: appliedNumber() };
    const result = await peers.call(address, "note.current", { params });
    if (result.kind !== "ok") return false;
    const parsed = noteReplySchema.safeParse(result.value);
    if (!parsed.success) return false;
    const { record, number, contactAgeMs } = parsed.data;
    if (record) offer(record);
    // The age vouches for `number`: it says nothing about a lower note.
    if (contactAgeMs !== null && number <= appliedNumber()) {
      contact.heardFromPeer(asked, contactAgeMs);
      checkContact();
    }
    return true;
  }

  /**
   * News of a note comes to all at once; most have it from their watch
   * already. The rest ask over a span that grows with the fleet, so that one
   * instance is not asked for the record by 340 others in the same moment.
   */
  async function fetchSoon(id: string): Promise<void> {
    const members = membership.peers();
    const peer = members.find(({ record }) => record.id === id);
    if (!peer || fetching.has(id)) return;
    fetching.add(id);
    const spanMs = Math.min(members.length, LARGEST_FETCH_DELAY_MS);
    await pause(Math.random() * spanMs, signal);
    if (peer.record.shared.note > appliedNumber()) {
      await askPeer(peer.record.peer);
    }
    fetching.delete(id);
  }

  /**
   * A process that was frozen across a recall wakes up with requests and
   * tokens queued; its clock shows the gap, its note does not. It answers
   * nothing before it has read the store or heard peers, unless it is cut off
   * from both: then its allowance decides, as for any cut-off instance.
   */
  async function lookAround(): Promise<void> {
    const deadline = pause(RECHECK_WITHIN_MS, signal);
    const store = readStore();
    const asked = askPeers();
    const eitherHelped = Promise.all([store, asked]);
    const storeRead = store.then((read) => (read ? undefined : eitherHelped));
    await Promise.race([storeRead, deadline]);
  }

  async function fresh(): Promise<NoteRecord | null> {
    pauses.look();
    if (recheck) {
      const mine = recheck;
      await mine;
      if (recheck === mine) recheck = null;
    }
    return current();
  }

  function pruneAskers(): void {
    for (const [key, { at }] of askers) {
      if (elapsedMs(at) > 2 * allowanceMs) askers.delete(key);
    }
  }

  return {
    current,
    fresh,
    applied: () => applied,
    offer,
    refresh,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    answer({ from, above }) {
      pruneAskers();
      const key = `${from.id}/${from.incarnation}`;
      askers.set(key, { from, at: readMoment() });
      return {
        number: appliedNumber(),
        record: appliedNumber() > above ? applied : null,
        contactAgeMs: contact.ageMs(),
      };
    },
    askers: () => [...askers.values()].map(({ from }) => from),
    contactAgeMs: contact.ageMs,
    stop() {
      stopNews();
      stopping.abort();
      clearInterval(contactTimer);
      pauses.stop();
    },
  };
}
