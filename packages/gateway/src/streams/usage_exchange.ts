/**
 * Exchanges the engine usage of instances in datagrams. Each carries the
 * current usage of its sender and not a change, so a lost one isn't resent.
 */
import {
  createByteBudget,
  type DatagramTransport,
  HEADER_BYTES,
} from "@rosemarypin/membership";
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer, pause } from "@rosemarypin/timing";
import { z } from "zod";
import type { EngineLoad, EngineUsage, LoadByEngine } from "./engine_usage.ts";

const METHOD = "engines.use";
/** Budget of an instance for its datagrams to all peers. */
const MAX_BYTES_PER_SECOND = 2_500;
/** Upper bound on the unused budget that accumulates for a burst. */
const MAX_BURST_BYTES = 7_500;
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
/** Engines in one datagram; the least used ones are left out. */
const MAX_ENGINES_SENT = 40;
/** Rate limit for log lines about unreadable datagrams. */
const MIN_LOG_INTERVAL_MS = 5_000;

const log = createLogger("peers");

const datagramSchema = z.object({
  method: z.literal(METHOD),
  params: z.object({
    from: z.string(),
    /** Increases with each datagram after the sender's start. */
    sequence: z.number(),
    /** Start of the sender, in Unix milliseconds. */
    startedAt: z.number(),
    /** Engine id, held memory and unread prompts, in tokens times layers. */
    use: z.array(
      z.tuple([z.string(), z.number().nonnegative(), z.number().nonnegative()]),
    ),
  }),
});

export interface UsageExchangeOptions {
  readonly transport: DatagramTransport;
  readonly instance: string;
  readonly usage: EngineUsage;
  /** Addresses of the peers that receive reports. */
  readonly peers: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Sends and receives reports until the signal aborts. */
export function startUsageExchange(options: UsageExchangeOptions): void {
  const { transport, instance, usage, peers, signal } = options;
  const startedAt = Date.now();
  const sequenceFilter = createSequenceFilter();
  const budget = createByteBudget({
    bytesPerSecond: MAX_BYTES_PER_SECOND,
    burstBytes: MAX_BURST_BYTES,
  });
  /**
   * Time of the last report to each address. Not pruned, since the instances of
   * a deployment have few addresses.
   */
  const sentAtByAddress = new Map<string, number>();
  let loadsAtLastChange: LoadByEngine = new Map();
  let lastChangeAt = -Infinity;
  let sequence = 0;
  let unreadableLoggedAt = -Infinity;
  const localChange = createInterruptibleTimer();
  transport.onDatagram(receive);
  usage.onChanged(localChange.interrupt);
  void runSendLoop();

  async function runSendLoop(): Promise<void> {
    while (!signal.aborted) {
      const missingBytes = sendToDuePeers();
      const refillMs = (missingBytes / MAX_BYTES_PER_SECOND) * 1_000;
      // Ends early when the local loads change.
      const idleMs = MAX_SEND_INTERVAL_MS - MIN_SEND_INTERVAL_MS;
      if (missingBytes === 0) await localChange.wait(idleMs, signal);
      await pause(Math.max(MIN_SEND_INTERVAL_MS, refillMs), signal);
    }
    await transport.close();
  }

  /**
   * Sends to due peers while the budget lasts. Returns the size of a datagram
   * that the budget did not allow, or 0 when all were sent.
   */
  function sendToDuePeers(): number {
    if (hasSignificantChange(usage.localLoads(), loadsAtLastChange)) {
      loadsAtLastChange = new Map(usage.localLoads());
      lastChangeAt = performance.now();
    }
    const dueTargets = findDuePeers();
    if (dueTargets.length === 0) return 0;
    const datagram = encode();
    const bytes = datagram.length + HEADER_BYTES;
    for (const { target, key } of dueTargets) {
      if (!budget.take(bytes)) return bytes;
      sentAtByAddress.set(key, performance.now());
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
    return peers()
      .map((target) => {
        const key = formatAddress(target);
        return { target, key, sentAt: sentAtByAddress.get(key) ?? -Infinity };
      })
      .filter(
        ({ sentAt }) =>
          sentAt < lastChangeAt || now - sentAt >= MAX_SEND_INTERVAL_MS,
      )
      .sort((a, b) => a.sentAt - b.sentAt);
  }

  function encode(): Buffer {
    sequence += 1;
    const params = {
      from: instance,
      sequence,
      startedAt,
      use: selectMostUsed(usage.localLoads()),
    };
    return Buffer.from(
      JSON.stringify({ jsonrpc: "2.0", method: METHOD, params }),
    );
  }

  function receive(datagram: Uint8Array): void {
    const params = decode(datagram);
    if (!params) return logUnreadableDatagram(datagram.length);
    if (params.from === instance || !sequenceFilter.accept(params)) return;
    const loads = params.use.map(([id, held, unread]): [string, EngineLoad] => [
      id,
      { held, unread },
    ]);
    usage.recordPeerLoads(params.from, new Map(loads));
  }

  function logUnreadableDatagram(bytes: number): void {
    const now = performance.now();
    if (now - unreadableLoggedAt < MIN_LOG_INTERVAL_MS) return;
    unreadableLoggedAt = now;
    log.warn("peer_datagram_unreadable", { bytes });
  }
}

type UsageParams = z.infer<typeof datagramSchema>["params"];

function decode(datagram: Uint8Array): UsageParams | null {
  try {
    const value: unknown = JSON.parse(Buffer.from(datagram).toString());
    const parsed = datagramSchema.safeParse(value);
    return parsed.success ? parsed.data.params : null;
  } catch {
    return null;
  }
}

function selectMostUsed(loads: LoadByEngine): [string, number, number][] {
  return [...loads]
    .sort(([, a], [, b]) => b.held - a.held)
    .slice(0, MAX_ENGINES_SENT)
    .map(([id, { held, unread }]) => [
      id,
      Math.round(held),
      Math.round(unread),
    ]);
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

/** Creates a filter that rejects duplicate and reordered datagrams. */
function createSequenceFilter() {
  const newestByInstance = new Map<string, UsageParams>();
  return {
    accept(params: UsageParams): boolean {
      const newest = newestByInstance.get(params.from);
      const isOlder =
        newest !== undefined &&
        (params.startedAt < newest.startedAt ||
          (params.startedAt === newest.startedAt &&
            params.sequence <= newest.sequence));
      if (!isOlder) newestByInstance.set(params.from, params);
      return !isOlder;
    },
  };
}
