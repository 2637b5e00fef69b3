/** Where notes come from: the store, peers, and hints of engines. */
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
import { followHead, type HeadNews, readHead } from "./head_follower.ts";
import { type Moment, readMoment } from "./moment.ts";
import { choosePeersToAsk, isReader } from "./refresh_roles.ts";

/** How often a reader of the store renews the contact. */
const READ_EVERY_MS = 1_000;
/** How often the others renew theirs from a reader. */
const ASK_EVERY_MS = 5_000;
/** The contact is renewed this many times before it would lapse. */
const RENEWALS_PER_ALLOWANCE = 4;
/** How long an answer waits for a look around after a pause. */
const LOOK_AROUND_WITHIN_MS = 1_000;
/** Peers fetch from the first to know over at most this span. */
const LARGEST_FETCH_DELAY_MS = 200;
/** Peers asked at once; the next heartbeat asks again if none helped. */
const LARGEST_FETCHES = 3;

export interface NoteSourcesOptions {
  readonly store: ObjectStore;
  readonly headKey: string;
  readonly membership: Membership;
  readonly peers: PeerCaller;
  readonly signal: AbortSignal;
  readonly allowanceMs: number;
  readonly listedSince: () => Moment | null;
  /** The highest note number that an engine reported. */
  readonly hintedNumber: () => number;
  readonly appliedNumber: () => number;
  readonly takeHead: (news: HeadNews) => void;
  /** Takes a peer's answer to a question that was sent at `asked`. */
  readonly takeReply: (reply: NoteReply, asked: Moment) => void;
}

export interface NoteSources {
  /** Looks at the store, or at peers, now. */
  refresh(): Promise<void>;
  /** Looks at both; ends with the first that helps, or after a second. */
  lookAround(): Promise<void>;
}

/** Starts to follow the head object and the peers. */
export function createNoteSources(options: NoteSourcesOptions): NoteSources {
  const { store, headKey, membership, signal, appliedNumber } = options;
  const fetching = new Set<string>();

  const stopNews = membership.onNews((record) => {
    if (record.left || record.shared.note <= appliedNumber()) return;
    void fetchSoon(record.id);
  });
  signal.addEventListener("abort", stopNews, { once: true });
  void followHead({ store, headKey, signal, take: options.takeHead });
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
    const everyMs = isReader(membership) ? READ_EVERY_MS : ASK_EVERY_MS;
    return Math.min(everyMs, options.allowanceMs / RENEWALS_PER_ALLOWANCE);
  }

  async function refresh(): Promise<void> {
    const isBehind = options.hintedNumber() > appliedNumber();
    if (isReader(membership) || isBehind) {
      if (!(await readStore()) || !options.listedSince()) await askPeers();
    } else if (!(await askPeers())) {
      await readStore();
    }
  }

  async function readStore(): Promise<boolean> {
    const news = await readHead({ store, headKey, signal });
    if (news) options.takeHead(news);
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
    const result = await options.peers.call(address, "note.current", {
      params,
    });
    if (result.kind !== "ok") return false;
    const parsed = noteReplySchema.safeParse(result.value);
    if (parsed.success) options.takeReply(parsed.data, asked);
    return parsed.success;
  }

  /**
   * News of a note comes to all at once; most have it from their watch
   * already. The rest ask over a span that grows with the fleet, so that one
   * instance is not asked for the record by 340 others in the same moment.
   */
  async function fetchSoon(id: string): Promise<void> {
    const members = membership.peers();
    const peer = members.find(({ record }) => record.id === id);
    if (!peer || fetching.has(id) || fetching.size >= LARGEST_FETCHES) return;
    fetching.add(id);
    const spanMs = Math.min(members.length, LARGEST_FETCH_DELAY_MS);
    await pause(Math.random() * spanMs, signal);
    if (peer.record.shared.note > appliedNumber()) {
      await askPeer(peer.record.peer);
    }
    fetching.delete(id);
  }

  async function lookAround(): Promise<void> {
    const store = readStore();
    const both = Promise.all([store, askPeers()]);
    const helped = store.then((read) => (read ? undefined : both));
    await Promise.race([helped, pause(LOOK_AROUND_WITHIN_MS, signal)]);
  }

  return { refresh, lookAround };
}
