/** Membership by probes and gossip: live instances and their shared state. */
import type {
  Address,
  MemberNews,
  MemberRecord,
  PeerSettings,
  SharedState,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { createAcknowledgements } from "./acknowledgements.ts";
import { createAddressBook, type ReadHints } from "./address_book.ts";
import { createByteBudget } from "./byte_budget.ts";
import { createDatagramHandler } from "./datagram_handler.ts";
import {
  createUdpTransport,
  type DatagramTransport,
} from "./datagram_transport.ts";
import { createDissemination, type Urgency } from "./dissemination.ts";
import { createMemberTable, hasEnded, type Member } from "./member_table.ts";
import { createOwnRecord } from "./own_record.ts";
import { type Random, sample } from "./probe_order.ts";
import { startProber } from "./prober.ts";
import { createTableSync } from "./table_sync.ts";
import { createUrgentNews } from "./urgent_news.ts";
import {
  type DatagramBody,
  decodeDatagram,
  encodeDatagram,
  HEADER_BYTES,
} from "./wire.ts";

/** Time for which an instance counts as new, while its table fills. */
const NEW_INSTANCE_PERIOD_MS = 12_000;
/** Budget for piggybacked records of members whose liveness changed. */
const LIVENESS_BUDGET = { bytesPerSecond: 400, burstBytes: 2_500 };
/**
 * Budget for answers to syncs and for shared state, which can be deferred. A
 * new instance starts with enough for a few whole tables, as after a start of
 * the whole fleet all instances have to learn of all others.
 */
const SYNC_BUDGET = {
  bytesPerSecond: 300,
  burstBytes: 2_500,
  initial: { bytes: 100_000, forMs: NEW_INSTANCE_PERIOD_MS },
};
/** Addresses that are pinged at the start, before the first probe. */
const INITIAL_PINGS = 6;
/** Number of addresses that a leaving instance sends its goodbye to. */
const GOODBYE_FANOUT = 12;
/** Exceeds the default time that an instance may serve without contact. */
const DEFAULT_FORGET_SILENT_AFTER_MS = 2 * 3_600_000;

const log = createLogger("membership");

export interface MembershipOptions {
  readonly id: string;
  readonly failureDomain: string;
  /** Address at which peers reach this instance, sent in its record. */
  readonly peer: Address;
  /** Address to bind; `peer` by default. */
  readonly listen?: Address | undefined;
  readonly incarnation: number;
  /** Instances to join through. */
  readonly seeds: readonly PeerSettings[];
  readonly metrics?: Metrics;
  /** Transport of datagrams; UDP at `listen` by default. */
  readonly transport?: DatagramTransport;
  /** More addresses to join through, from the platform's list; may be wrong. */
  readonly hints?: ReadHints;
  readonly random?: Random;
  /** Must exceed the time that an instance may serve without contact. */
  readonly forgetSilentAfterMs?: number;
}

/** The instances of a deployment as seen by one of them. */
export interface Membership {
  readonly self: () => MemberRecord;
  /** All other instances in the table, including those that have ended. */
  readonly peers: () => readonly Member[];
  /** Changes the shared state; a higher note or draining is sent at once. */
  readonly share: (change: Partial<SharedState>) => void;
  /** Subscribes to news of peers; returns the unsubscribe function. */
  readonly onNews: (listener: (record: MemberRecord) => void) => () => void;
  /** Sends a goodbye to peers and closes the transport. */
  readonly leave: () => Promise<void>;
}

/** Opens the transport and starts to join peers. */
export async function createMembership(
  options: MembershipOptions,
): Promise<Membership> {
  const { id, metrics, random = Math.random } = options;
  const transport =
    options.transport ??
    (await createUdpTransport(options.listen ?? options.peer));
  const ownRecord = createOwnRecord(options);
  const table = createMemberTable({
    forgetSilentAfterMs:
      options.forgetSilentAfterMs ?? DEFAULT_FORGET_SILENT_AFTER_MS,
  });
  const budgets = {
    liveness: createByteBudget(LIVENESS_BUDGET),
    shared_state: createByteBudget(SYNC_BUDGET),
  };
  const dissemination = createDissemination({ table, budgets });
  const sync = createTableSync({
    table,
    self: ownRecord.current,
    budget: budgets.shared_state,
    random,
  });
  const acknowledgements = createAcknowledgements();
  const listeners = new Set<(record: MemberRecord) => void>();
  const abortController = new AbortController();
  const { signal } = abortController;
  const startedAt = performance.now();
  const addressBook = createAddressBook({
    table,
    own: options.peer,
    seeds: options.seeds.map(({ address }) => address),
    hints: options.hints,
    signal,
  });
  const urgentNews = createUrgentNews({
    failureDomain: options.failureDomain,
    table,
    random,
    send: (news, target) => send({ method: "news" }, target, news),
    signal,
  });
  const datagramHandler = createDatagramHandler({
    table,
    sync,
    acknowledgements,
    isNew,
    send,
    sendBatch,
    drop: (reason) => drop(reason, 0),
  });

  transport.onDatagram(receive);
  for (const address of sample(addressBook.joinCandidates(), INITIAL_PINGS, {
    random,
  })) {
    send({ method: "ping", sequence: 0 }, address);
  }
  startProber({
    self: options,
    table,
    acknowledgements,
    random,
    send,
    onVerdict: applyVerdict,
    joinCandidates: addressBook.joinCandidates,
    signal,
  });

  function send(
    body: DatagramBody,
    target: Address,
    news: readonly MemberNews[] = [],
  ): void {
    const record = ownRecord.current();
    const head = {
      from: { record, status: record.left ? "left" : "alive" } as const,
      hash: sync.hash(),
      news: [...news, ...dissemination.take()],
    };
    sendEncoded(encodeDatagram(body, head), target);
  }

  function sendEncoded(datagram: Uint8Array, target: Address): void {
    if (signal.aborted) return;
    const bytes = datagram.length + HEADER_BYTES;
    metrics?.peerBytes.inc({ direction: "sent" }, bytes);
    transport.send(datagram, target);
  }

  function receive(bytes: Uint8Array): void {
    if (signal.aborted) return;
    const size = bytes.length + HEADER_BYTES;
    metrics?.peerBytes.inc({ direction: "received" }, size);
    const datagram = decodeDatagram(bytes);
    if (!datagram) return drop("malformed", bytes.length);
    const { from, news } = datagram.params;
    applyNews(from);
    if (from.record.id === id) return drop("own_id", bytes.length);
    table.recordContact(from.record);
    for (const memberNews of news) applyNews(memberNews);
    datagramHandler.answer(datagram);
    if (!from.record.left) notifyListeners(from.record);
  }

  function drop(reason: string, bytes: number): void {
    metrics?.peerDatagramsDropped.inc({ reason });
    log.detail("datagram_dropped", { reason, bytes });
  }

  function isNew(): boolean {
    return performance.now() - startedAt < NEW_INSTANCE_PERIOD_MS;
  }

  /**
   * Members and join candidates. An instance that stops right after its start
   * has no members yet, but the candidates that it pinged have its record and
   * would suspect it if they got no goodbye.
   */
  function goodbyeTargets(): readonly Address[] {
    const active = table.allNews().filter(({ status }) => !hasEnded(status));
    const peers = sample(active, GOODBYE_FANOUT, { random });
    const candidates = sample(addressBook.joinCandidates(), GOODBYE_FANOUT, {
      random,
    });
    const all = [...peers.map(({ record }) => record.peer), ...candidates];
    return all.slice(0, GOODBYE_FANOUT);
  }

  function sendBatch(news: readonly MemberNews[], target: Address): void {
    const from = { record: ownRecord.current(), status: "alive" } as const;
    const head = { from, hash: sync.hash(), news };
    sendEncoded(encodeDatagram({ method: "news" }, head), target);
  }

  function applyNews(news: MemberNews): void {
    const { record, status } = news;
    if (record.id === id) return handleNewsOfSelf(news);
    const previous = table.news(record.id);
    if (!table.merge(news)) return;
    const isRestarted = previous?.record.incarnation !== record.incarnation;
    const isChanged = isRestarted || previous.status !== status;
    // Other instances already have most members that a new instance learns of.
    if (previous || !isNew()) {
      dissemination.enqueue(record.id, urgencyOf(news, previous));
    }
    if (isChanged) logChange(news, { isRestarted });
    if (hasEnded(status)) table.setReach(record.id, "none");
    urgentNews.forwardNote(news);
    notifyListeners(record);
  }

  /** Gossips a new suspicion at once, as piggybacking alone would be slow. */
  function applyVerdict(news: MemberNews): void {
    applyNews(news);
    if (news.status === "suspect") urgentNews.gossip([news]);
  }

  function logChange(
    { record, status }: MemberNews,
    { isRestarted }: { readonly isRestarted: boolean },
  ): void {
    const event = isRestarted && status === "alive" ? "joined" : status;
    log.info(`peer_${event}`, {
      peer: record.id,
      domain: record.failureDomain,
      incarnation: record.incarnation,
    });
    updateGauge();
  }

  function updateGauge(): void {
    if (!metrics) return;
    const counts = { alive: 0, suspect: 0, left: 0 };
    for (const { state } of table.all()) counts[state] += 1;
    for (const [state, count] of Object.entries(counts)) {
      metrics.peers.set({ state }, count);
    }
  }

  function notifyListeners(record: MemberRecord): void {
    for (const listener of listeners) listener(record);
  }

  function handleNewsOfSelf(news: MemberNews): void {
    if (ownRecord.handleNews(news) === "refuted") urgentNews.gossip([]);
  }

  return {
    self: ownRecord.current,
    peers: () => table.all(),
    share(change) {
      ownRecord.share(change);
      const isSent = urgentNews.gossipOwnNote(ownRecord.current().shared.note);
      if (!isSent && change.draining !== undefined) urgentNews.gossip([]);
    },
    onNews(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async leave() {
      if (signal.aborted) return;
      ownRecord.leave();
      for (const address of goodbyeTargets()) send({ method: "news" }, address);
      abortController.abort();
      acknowledgements.cancel();
      await transport.close();
    },
  };
}

/**
 * New and dead members are not urgent: each instance that has a suspicion
 * declares the death itself, and table syncs spread the records of new members,
 * even those of a whole fleet.
 */
function urgencyOf(
  news: MemberNews,
  previous: MemberNews | undefined,
): Urgency {
  if (!previous || news.status === "dead") return "shared_state";
  const { record, status } = news;
  const isRestarted = previous.record.incarnation !== record.incarnation;
  const isDrainingChanged =
    previous.record.shared.draining !== record.shared.draining;
  const isUrgent =
    isRestarted || isDrainingChanged || previous.status !== status;
  return isUrgent ? "liveness" : "shared_state";
}
