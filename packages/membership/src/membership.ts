/** Which instances are alive, and what they share: probes and gossip. */
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
import { createDatagramAnswers } from "./datagram_answers.ts";
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

/** A new instance syncs faster until its table had time to fill. */
const NEW_FOR_MS = 12_000;
/** Records of who joined, fell silent or left, along with other datagrams. */
const LIVENESS_BUDGET = { bytesPerSecond: 400, burstBytes: 2_500 };
/**
 * Answers to syncs and shared state; a budget apart, as they can wait. A new
 * instance has a few tables' worth once: after a start of the whole fleet
 * everyone has to learn of everyone.
 */
const SYNC_BUDGET = {
  bytesPerSecond: 300,
  burstBytes: 2_500,
  initial: { bytes: 100_000, forMs: NEW_FOR_MS },
};
/** Addresses that are tried before the first step. */
const FIRST_PINGS = 6;
/** Instances that hear a goodbye from the one that leaves. */
const GOODBYES = 12;
/** Longer than an instance may serve without contact, by default. */
const FORGET_SILENT_AFTER_MS = 2 * 3_600_000;

const log = createLogger("membership");

export interface MembershipOptions {
  readonly id: string;
  readonly failureDomain: string;
  /** Where peers reach this instance; they learn it from its record. */
  readonly peer: Address;
  /** Where it listens; at `peer` by default. */
  readonly listen?: Address | undefined;
  readonly incarnation: number;
  /** Where to look for the first peers. */
  readonly seeds: readonly PeerSettings[];
  readonly metrics?: Metrics;
  /** How datagrams travel; UDP at `listen` by default. */
  readonly transport?: DatagramTransport;
  /** Addresses to try, from the platform's list, which may be wrong. */
  readonly hints?: ReadHints;
  readonly random?: Random;
  /** Longer than an instance may serve without contact, in milliseconds. */
  readonly forgetSilentAfterMs?: number;
}

/** The instances of a deployment, as one of them sees it. */
export interface Membership {
  readonly self: () => MemberRecord;
  /** All known instances other than this one. */
  readonly peers: () => readonly Member[];
  /** Changes this instance's shared state; a higher note goes out at once. */
  readonly share: (change: Partial<SharedState>) => void;
  /** Called with each peer that is heard of; returns how to stop. */
  readonly onNews: (listener: (record: MemberRecord) => void) => () => void;
  /** Says goodbye to the peers and closes. */
  readonly leave: () => Promise<void>;
}

/** Opens the transport and starts to look for peers. */
export async function createMembership(
  options: MembershipOptions,
): Promise<Membership> {
  const { id, metrics, random = Math.random } = options;
  const transport =
    options.transport ??
    (await createUdpTransport(options.listen ?? options.peer));
  const own = createOwnRecord(options);
  const table = createMemberTable({
    forgetSilentAfterMs: options.forgetSilentAfterMs ?? FORGET_SILENT_AFTER_MS,
  });
  const budgets = {
    liveness: createByteBudget(LIVENESS_BUDGET),
    shared_state: createByteBudget(SYNC_BUDGET),
  };
  const dissemination = createDissemination({ table, budgets });
  const sync = createTableSync({
    table,
    self: own.current,
    budget: budgets.shared_state,
    random,
  });
  const acknowledgements = createAcknowledgements();
  const listeners = new Set<(record: MemberRecord) => void>();
  const stopping = new AbortController();
  const { signal } = stopping;
  const startedAt = performance.now();
  const book = createAddressBook({
    table,
    own: options.peer,
    seeds: options.seeds.map(({ address }) => address),
    hints: options.hints,
    signal,
  });
  const urgent = createUrgentNews({
    failureDomain: options.failureDomain,
    table,
    random,
    send: (news, target) => send({ method: "news" }, target, news),
    signal,
  });
  const answers = createDatagramAnswers({
    table,
    sync,
    acknowledgements,
    isNew,
    send,
    sendPortion,
    drop: (reason) => drop(reason, 0),
  });

  transport.onDatagram(receive);
  for (const address of sample(book.strangers(), FIRST_PINGS, { random })) {
    send({ method: "ping", sequence: 0 }, address);
  }
  startProber({
    self: options,
    table,
    acknowledgements,
    random,
    send,
    judge,
    strangers: book.strangers,
    signal,
  });

  function send(
    body: DatagramBody,
    target: Address,
    news: readonly MemberNews[] = [],
  ): void {
    const record = own.current();
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
    takeIn(from);
    if (from.record.id === id) return drop("own_id", bytes.length);
    table.hear(from.record);
    for (const each of news) takeIn(each);
    answers.answer(datagram);
    if (!from.record.left) tellListeners(from.record);
  }

  function drop(reason: string, bytes: number): void {
    metrics?.peerDatagramsDropped.inc({ reason });
    log.detail("datagram_dropped", { reason, bytes });
  }

  function isNew(): boolean {
    return performance.now() - startedAt < NEW_FOR_MS;
  }

  /**
   * One that stops right after its start may know nobody yet, while those that
   * it pinged know it and would take it for silent. They are among the seeds.
   */
  function goodbyeTargets(): readonly Address[] {
    const known = table.allNews().filter(({ status }) => !hasEnded(status));
    const peers = sample(known, GOODBYES, { random });
    const strangers = sample(book.strangers(), GOODBYES, { random });
    const all = [...peers.map(({ record }) => record.peer), ...strangers];
    return all.slice(0, GOODBYES);
  }

  function sendPortion(news: readonly MemberNews[], target: Address): void {
    const from = { record: own.current(), status: "alive" } as const;
    const head = { from, hash: sync.hash(), news };
    sendEncoded(encodeDatagram({ method: "news" }, head), target);
  }

  function takeIn(news: MemberNews): void {
    const { record, status } = news;
    if (record.id === id) return hearOfSelf(news);
    const before = table.news(record.id);
    if (!table.merge(news)) return;
    const restarted = before?.record.incarnation !== record.incarnation;
    const changed = restarted || before.status !== status;
    // What is new to a new instance is mostly known to the others.
    if (before || !isNew()) {
      dissemination.enqueue(record.id, urgencyOf(news, before));
    }
    if (changed) logChange(news, { restarted });
    if (hasEnded(status)) table.setReach(record.id, "none");
    urgent.passOn(news);
    tellListeners(record);
  }

  /** Those told at once spread it much faster than the probes alone would. */
  function judge(news: MemberNews): void {
    takeIn(news);
    if (news.status === "suspect") urgent.tell([news]);
  }

  function logChange(
    { record, status }: MemberNews,
    { restarted }: { readonly restarted: boolean },
  ): void {
    const event = restarted && status === "alive" ? "joined" : status;
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

  function tellListeners(record: MemberRecord): void {
    for (const listener of listeners) listener(record);
  }

  function hearOfSelf(news: MemberNews): void {
    if (own.hear(news) === "refuted") urgent.tell([]);
  }

  return {
    self: own.current,
    peers: () => table.all(),
    share(change) {
      own.share(change);
      const told = urgent.tellOwnNote(own.current().shared.note);
      if (!told && change.draining !== undefined) urgent.tell([]);
    },
    onNews(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    async leave() {
      if (signal.aborted) return;
      own.leave();
      for (const address of goodbyeTargets()) send({ method: "news" }, address);
      stopping.abort();
      acknowledgements.cancel();
      await transport.close();
    },
  };
}

/**
 * Whoever knows of a suspicion declares the death by itself, and a table's
 * sync brings those that joined, a whole fleet of them if need be.
 */
function urgencyOf(news: MemberNews, before: MemberNews | undefined): Urgency {
  if (!before || news.status === "dead") return "shared_state";
  const { record, status } = news;
  const restarted = before.record.incarnation !== record.incarnation;
  const drains = before.record.shared.draining !== record.shared.draining;
  const urgent = restarted || drains || before.status !== status;
  return urgent ? "liveness" : "shared_state";
}
