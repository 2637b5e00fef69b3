/**
 * Exchanges the engine usage and the demand of instances in datagrams. Each
 * carries the current state of its sender or its failure domain and not a
 * change, so a lost one isn't resent.
 */
import { createHash } from "node:crypto";
import type { Demand } from "@rosemarypin/admission";
import {
  createByteBudget,
  type DatagramTransport,
  HEADER_BYTES,
} from "@rosemarypin/membership";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import type { DemandBoard } from "./demand_board.ts";
import { hasSignificantDemandChange } from "./demand_sums.ts";
import type { EngineUsage, LoadByEngine } from "./engine_usage.ts";
import {
  decodeUsageReport,
  encodeUsageReport,
  type UsageReport,
} from "./usage_datagram.ts";
import type { UsageDestinations } from "./usage_destinations.ts";
import { createHashIndex } from "./usage_records.ts";

/** Budget of an instance for the reports of its own usage to all peers. */
const MAX_BYTES_PER_SECOND = 1_600;
/** Upper bound on the unused budget that accumulates for a burst. */
const MAX_BURST_BYTES = 6_000;
const MIN_SEND_INTERVAL_MS = 40;
/**
 * Interval at which a peer receives a report even of unchanged usage. When the
 * byte budget is too small for that, the peers with the oldest report go first.
 */
const MAX_SEND_INTERVAL_MS = 1_000;
/**
 * Change of one engine's memory that triggers a report at once, as a share of
 * the most used engine's. Peers learn of a burst within milliseconds, and of
 * single answers that begin or end with the next regular report.
 */
const SIGNIFICANT_CHANGE_SHARE = 0.15;
/** Budget for the reports of the domain's usage to other domains. */
const MAX_DOMAIN_BYTES_PER_SECOND = 1_300;
const MIN_DOMAIN_SEND_INTERVAL_MS = 250;
/** Interval at which an instance without peers elsewhere looks for them. */
const NO_DOMAIN_PEERS_INTERVAL_MS = 2_000;
/** Senders that are remembered; the one not heard for longest is forgotten. */
const MAX_SENDERS = 4_096;
/** Rate limit for log lines about datagrams that are ignored. */
const MIN_LOG_INTERVAL_MS = 5_000;

const log = createLogger("peers");

export interface UsageExchangeOptions {
  readonly transport: DatagramTransport;
  readonly instance: string;
  /** The address at which peers know this instance. */
  readonly address: Address;
  readonly usage: EngineUsage;
  readonly demand: DemandBoard;
  readonly failureDomain: string;
  readonly destinations: () => UsageDestinations;
  /** Ids of all engines whose loads are reported. */
  readonly engineIds: () => Iterable<string>;
  /** Names of all services whose demand is reported. */
  readonly serviceNames: () => Iterable<string>;
  /** Number of instances in this failure domain, including this one. */
  readonly countDomainInstances: () => number;
  readonly signal: AbortSignal;
}

/** A peer that receives reports of this instance's own usage. */
interface Receiver {
  /** Time of the last report. */
  sentAt: number;
  /**
   * Order among peers whose last reports went out together: the distance from
   * this instance on a ring of all addresses. In a common order, instances that
   * start together would report to the same peers at the same time, and a random
   * one leaves some peer unheard by chance until all reports to it have expired.
   */
  readonly order: number;
}

/** Sends and receives reports until the signal aborts. */
export function startUsageExchange(options: UsageExchangeOptions): void {
  const { transport, instance, usage, demand, destinations, signal } = options;
  const startedAt = Date.now();
  const indexes = {
    engines: createHashIndex(options.engineIds),
    services: createHashIndex(options.serviceNames),
  };
  const sequenceFilter = createSequenceFilter();
  const budget = createByteBudget({
    bytesPerSecond: MAX_BYTES_PER_SECOND,
    burstBytes: MAX_BURST_BYTES,
  });
  /** Not pruned, since the instances of a deployment have few addresses. */
  const receivers = new Map<string, Receiver>();
  let loadsAtLastChange: LoadByEngine = new Map();
  let demandAtLastChange: Demand = new Map();
  let lastChangeAt = -Infinity;
  let sequence = 0;
  let ignoredLoggedAt = -Infinity;
  const localChange = createInterruptibleTimer();
  transport.onDatagram(receive);
  usage.onChanged(localChange.interrupt);
  demand.onChanged((kind) => {
    if (kind === "own") localChange.interrupt();
  });
  void Promise.all([runSendLoop(), runDomainSendLoop()]).then(() =>
    transport.close(),
  );

  async function runSendLoop(): Promise<void> {
    while (!signal.aborted) {
      const missingBytes = sendToDuePeers();
      const refillMs = (missingBytes / MAX_BYTES_PER_SECOND) * 1_000;
      // Ends early when the local loads or demand change.
      const idleMs = MAX_SEND_INTERVAL_MS - MIN_SEND_INTERVAL_MS;
      if (missingBytes === 0) await localChange.wait(idleMs, signal);
      await pause(Math.max(MIN_SEND_INTERVAL_MS, refillMs), signal);
    }
  }

  /**
   * Reports the domain's usage to instances of other domains, one at a time.
   * They are drawn at random, so that the instances of this domain don't report
   * to the same one at the same time.
   */
  async function runDomainSendLoop(): Promise<void> {
    while (!signal.aborted) {
      const targets = destinations().domainUsage;
      const target = targets[Math.floor(Math.random() * targets.length)];
      if (!target) {
        await pause(NO_DOMAIN_PEERS_INTERVAL_MS, signal);
        continue;
      }
      const sentBytes = sendDomainUsage(target);
      const refillMs = (sentBytes / MAX_DOMAIN_BYTES_PER_SECOND) * 1_000;
      await pause(Math.max(MIN_DOMAIN_SEND_INTERVAL_MS, refillMs), signal);
    }
  }

  /** Returns the bytes sent. */
  function sendDomainUsage(target: Address): number {
    const instanceCount = options.countDomainInstances();
    const datagram = encodeReport({
      domain: options.failureDomain,
      loads: usage.domainLoads(instanceCount),
      demand: demand.ownDomain(instanceCount),
    });
    transport.send(datagram, target);
    return datagram.length + HEADER_BYTES;
  }

  /**
   * Sends to due peers while the budget lasts. Returns the size of a datagram
   * that the budget did not allow, or 0 when all were sent.
   */
  function sendToDuePeers(): number {
    const ownDemand = demand.own();
    const hasChanged =
      hasSignificantChange(usage.localLoads(), loadsAtLastChange) ||
      hasSignificantDemandChange(ownDemand, demandAtLastChange);
    if (hasChanged) {
      loadsAtLastChange = new Map(usage.localLoads());
      demandAtLastChange = ownDemand;
      lastChangeAt = performance.now();
    }
    const dueTargets = findDuePeers();
    if (dueTargets.length === 0) return 0;
    const datagram = encodeReport({
      loads: usage.localLoads(),
      demand: ownDemand,
    });
    const bytes = datagram.length + HEADER_BYTES;
    for (const { target, receiver } of dueTargets) {
      if (!budget.take(bytes)) return bytes;
      receiver.sentAt = performance.now();
      transport.send(datagram, target);
    }
    return 0;
  }

  /**
   * Peers that have received no report since the last significant change, or
   * for the maximum interval; the one with the oldest report comes first.
   */
  function findDuePeers() {
    const now = performance.now();
    return destinations()
      .ownUsage.map((target) => ({ target, receiver: receiverAt(target) }))
      .filter(
        ({ receiver: { sentAt } }) =>
          sentAt < lastChangeAt || now - sentAt >= MAX_SEND_INTERVAL_MS,
      )
      .sort(
        ({ receiver: a }, { receiver: b }) =>
          a.sentAt - b.sentAt || a.order - b.order,
      );
  }

  function receiverAt(target: Address): Receiver {
    const key = formatAddress(target);
    const receiver = receivers.get(key) ?? {
      sentAt: Number.MIN_SAFE_INTEGER,
      order: ringDistance(options.address, target),
    };
    receivers.set(key, receiver);
    return receiver;
  }

  function encodeReport(
    content: Pick<UsageReport, "domain" | "loads" | "demand">,
  ): Buffer {
    sequence += 1;
    const header = { from: instance, sequence, startedAt };
    return encodeUsageReport({ ...header, ...content }, indexes);
  }

  function receive(datagram: Uint8Array): void {
    const bytes = datagram.length;
    const report = decodeUsageReport(datagram, indexes);
    if (!report) return logIgnored("peer_datagram_unreadable", bytes);
    if (report.from === instance) return;
    const order = sequenceFilter.check(report);
    if (order === "earlier_start") logIgnored("peer_datagram_outdated", bytes);
    if (order !== "newest") return;
    const { from, domain, loads } = report;
    if (domain === undefined) usage.recordPeerLoads(from, loads);
    else usage.recordDomainLoads(domain, loads);
    if (report.demand === undefined) return;
    if (domain === undefined) demand.recordPeer(from, report.demand);
    else demand.recordDomain(domain, report.demand);
  }

  function logIgnored(
    event: "peer_datagram_unreadable" | "peer_datagram_outdated",
    bytes: number,
  ): void {
    const now = performance.now();
    if (now - ignoredLoggedAt < MIN_LOG_INTERVAL_MS) return;
    ignoredLoggedAt = now;
    log.warn(event, { bytes });
  }
}

/** Distance from one address to another on a ring of all, below 1. */
function ringDistance(from: Address, to: Address): number {
  return (1 + ringPosition(to) - ringPosition(from)) % 1;
}

function ringPosition(address: Address): number {
  const digest = createHash("sha256").update(formatAddress(address)).digest();
  return digest.readUInt32BE() / 2 ** 32;
}

/** Whether the memory held at some engine differs by the significant share. */
function hasSignificantChange(
  current: LoadByEngine,
  previous: LoadByEngine,
): boolean {
  const maxHeld = Math.max(...[...current.values()].map(({ held }) => held), 0);
  for (const id of new Set([...current.keys(), ...previous.keys()])) {
    const difference =
      (current.get(id)?.held ?? 0) - (previous.get(id)?.held ?? 0);
    if (Math.abs(difference) > SIGNIFICANT_CHANGE_SHARE * maxHeld) return true;
  }
  return false;
}

/** Creates a filter that finds duplicate, reordered and outdated datagrams. */
function createSequenceFilter() {
  const newestByInstance = new Map<
    string,
    Pick<UsageReport, "startedAt" | "sequence">
  >();
  return {
    check({
      from,
      startedAt,
      sequence,
    }: UsageReport): "newest" | "out_of_order" | "earlier_start" {
      const newest = newestByInstance.get(from);
      if (newest && startedAt < newest.startedAt) return "earlier_start";
      const isOutOfOrder =
        newest?.startedAt === startedAt && sequence <= newest.sequence;
      if (isOutOfOrder) return "out_of_order";
      newestByInstance.delete(from);
      newestByInstance.set(from, { startedAt, sequence });
      const [oldest] = newestByInstance.keys();
      if (newestByInstance.size > MAX_SENDERS && oldest !== undefined)
        newestByInstance.delete(oldest);
      return "newest";
    },
  };
}
