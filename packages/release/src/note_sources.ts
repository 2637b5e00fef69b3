/** Reads notes from the store and from peers. */

import type { Membership, PeerCaller } from "@rosemarypin/membership";
import {
  type Address,
  type NoteReply,
  type NoteRequest,
  noteReplySchema,
} from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { pause } from "@rosemarypin/timing";
import { jittered } from "./backoff.ts";
import { UNLISTED_ALLOWANCE_MS } from "./contact.ts";
import { followHead, type HeadRead, readHead } from "./head_follower.ts";
import { type Moment, readMoment } from "./moment.ts";
import { choosePeersToQuery, isReader } from "./refresh_roles.ts";

/** How often an instance that reads the store renews its contact. */
const STORE_READ_INTERVAL_MS = 1_000;
/** How often other instances renew their contact from peers. */
const PEER_REQUEST_INTERVAL_MS = 5_000;
/** Minimum number of renewals within one contact allowance. */
const RENEWALS_PER_ALLOWANCE = 4;
/** Maximum time that an answer waits for a refresh after a pause. */
const REFRESH_TIMEOUT_MS = 1_000;
/** Maximum random delay before a newer note is fetched from a peer. */
const MAX_FETCH_DELAY_MS = 200;
/** Concurrent fetches; if all fail, the next heartbeat starts new ones. */
const MAX_CONCURRENT_FETCHES = 3;

export interface NoteSourcesOptions {
  readonly store: ObjectStore;
  readonly headKey: string;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly signal: AbortSignal;
  readonly allowanceMs: number;
  /** When the store listed this instance; `null` if it does not. */
  readonly listedSince: () => Moment | null;
  /** The highest note number that an engine reported. */
  readonly highestReportedNumber: () => number;
  readonly appliedNumber: () => number;
  readonly handleHead: (read: HeadRead) => void;
  /** Handles a peer's reply to a request that was sent at `requestedAt`. */
  readonly handleReply: (reply: NoteReply, requestedAt: Moment) => void;
}

export interface NoteSources {
  /** Reads the note from the store or from peers now. */
  refresh(): Promise<void>;
  /**
   * Reads from the store and from peers at once. Resolves once the store is
   * read or, if that fails, once peers have replied too; after a second in any
   * case.
   */
  refreshFromAll(): Promise<void>;
}

/** Starts to follow the head object and the peers. */
export function createNoteSources(options: NoteSourcesOptions): NoteSources {
  const { store, headKey, membership, signal, appliedNumber } = options;
  const fetching = new Set<string>();

  const unsubscribe = membership.onNews((record) => {
    if (record.left || record.shared.note <= appliedNumber()) return;
    void fetchAfterDelay(record.id);
  });
  signal.addEventListener("abort", unsubscribe, { once: true });
  void followHead({ store, headKey, signal, onRead: options.handleHead });
  void refreshRepeatedly();

  async function refreshRepeatedly(): Promise<void> {
    while (!signal.aborted) {
      await pause(jittered(refreshEveryMs()), signal);
      if (!signal.aborted) await refresh();
    }
  }

  function refreshEveryMs(): number {
    if (!options.listedSince()) {
      return UNLISTED_ALLOWANCE_MS / RENEWALS_PER_ALLOWANCE;
    }
    const everyMs = isReader(membership)
      ? STORE_READ_INTERVAL_MS
      : PEER_REQUEST_INTERVAL_MS;
    return Math.min(everyMs, options.allowanceMs / RENEWALS_PER_ALLOWANCE);
  }

  async function refresh(): Promise<void> {
    const isBehind = options.highestReportedNumber() > appliedNumber();
    if (isReader(membership) || isBehind) {
      if (!(await readStore()) || !options.listedSince()) await askPeers();
    } else if (!(await askPeers())) {
      await readStore();
    }
  }

  async function readStore(): Promise<boolean> {
    const headRead = await readHead({ store, headKey, signal });
    if (headRead) options.handleHead(headRead);
    return headRead !== null;
  }

  /** Requests the note from a few peers; resolves to whether one replied. */
  async function askPeers(): Promise<boolean> {
    const answered = await Promise.all(
      choosePeersToQuery(membership).map((address) => askPeer(address)),
    );
    return answered.includes(true);
  }

  async function askPeer(address: Address): Promise<boolean> {
    const requestedAt = readMoment();
    const { id, failureDomain, incarnation, peer } = membership.self();
    const from = { id, failureDomain, incarnation, peer };
    const params: NoteRequest = { from, above: appliedNumber() };
    const result = await options.peers.call(address, "note.current", {
      params,
    });
    if (result.kind !== "ok") return false;
    const parsed = noteReplySchema.safeParse(result.value);
    if (parsed.success) options.handleReply(parsed.data, requestedAt);
    return parsed.success;
  }

  /**
   * Fetches a newer note from a peer after a random delay. All instances learn
   * of the number at about the same time, and most already have the record from
   * their watch. The delay grows with the size of the fleet, so that 340
   * instances do not request the record from one peer at the same time.
   */
  async function fetchAfterDelay(id: string): Promise<void> {
    const members = membership.peers();
    const peer = members.find(({ record }) => record.id === id);
    if (!peer || fetching.has(id) || fetching.size >= MAX_CONCURRENT_FETCHES)
      return;
    fetching.add(id);
    const spanMs = Math.min(members.length, MAX_FETCH_DELAY_MS);
    await pause(Math.random() * spanMs, signal);
    if (peer.record.shared.note > appliedNumber()) {
      await askPeer(peer.record.peer);
    }
    fetching.delete(id);
  }

  async function refreshFromAll(): Promise<void> {
    const storeRead = readStore();
    const bothRefreshes = Promise.all([storeRead, askPeers()]);
    const refreshed = storeRead.then((read) =>
      read ? undefined : bothRefreshes,
    );
    await Promise.race([refreshed, pause(REFRESH_TIMEOUT_MS, signal)]);
  }

  return { refresh, refreshFromAll };
}
