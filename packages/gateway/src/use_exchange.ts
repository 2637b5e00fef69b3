/**
 * Instances tell each other which engines their answers use, in datagrams: one
 * that is lost is made good by the next.
 */
import type { DatagramTransport } from "@rosemarypin/membership";
import { HEADER_BYTES } from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { z } from "zod";
import type { EngineUse, UseByEngine } from "./engine_use.ts";

const METHOD = "engines.use";
/** What an instance sends at most, over all its peers, in bytes a second. */
const BYTES_PER_SECOND = 2_500;
/** No peer is told more often than this. */
const SHORTEST_PERIOD_MS = 150;
/** Engines beyond these, the least used ones, are not told. */
const MOST_ENGINES = 40;
/** Datagrams that can't be read are logged once in so long. */
const LOG_EVERY_MS = 5_000;

const log = createLogger("peers");

const datagramSchema = z.object({
  method: z.literal(METHOD),
  params: z.object({
    from: z.string(),
    /** Grows with each datagram of one start. */
    sequence: z.number(),
    startedAt: z.number(),
    use: z.array(z.tuple([z.string(), z.number().nonnegative()])),
  }),
});

export interface UseExchangeOptions {
  readonly transport: DatagramTransport;
  readonly instance: string;
  readonly use: EngineUse;
  /** Where other live instances are reached. */
  readonly peers: () => readonly Address[];
  readonly signal: AbortSignal;
}

/** Starts to tell and to listen; ends with the signal. */
export function startUseExchange(options: UseExchangeOptions): void {
  const { transport, instance, use, peers, signal } = options;
  const startedAt = Date.now();
  const order = createArrivalOrder();
  let sequence = 0;
  let loggedAt = -Infinity;
  transport.onDatagram(receive);
  void run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      const targets = peers();
      const datagram = encode();
      for (const target of targets) transport.send(datagram, target);
      const bytes = targets.length * (datagram.length + HEADER_BYTES);
      const periodMs = (bytes / BYTES_PER_SECOND) * 1_000;
      await pause(Math.max(SHORTEST_PERIOD_MS, periodMs), signal);
    }
    await transport.close();
  }

  function encode(): Buffer {
    sequence += 1;
    const params = {
      from: instance,
      sequence,
      startedAt,
      use: mostUsed(use.own()),
    };
    return Buffer.from(
      JSON.stringify({ jsonrpc: "2.0", method: METHOD, params }),
    );
  }

  function receive(datagram: Uint8Array): void {
    const params = decode(datagram);
    if (!params) return logUnreadable(datagram.length);
    if (params.from === instance || !order.isNewest(params)) return;
    use.told(params.from, new Map(params.use));
  }

  function logUnreadable(bytes: number): void {
    const now = performance.now();
    if (now - loggedAt < LOG_EVERY_MS) return;
    loggedAt = now;
    log.warn("peer_datagram_unreadable", { bytes });
  }
}

type UseNews = z.infer<typeof datagramSchema>["params"];

function decode(datagram: Uint8Array): UseNews | null {
  try {
    const value: unknown = JSON.parse(Buffer.from(datagram).toString());
    const parsed = datagramSchema.safeParse(value);
    return parsed.success ? parsed.data.params : null;
  } catch {
    return null;
  }
}

function mostUsed(use: UseByEngine): [string, number][] {
  return [...use].sort((a, b) => b[1] - a[1]).slice(0, MOST_ENGINES);
}

/** Creates a record by which datagrams that come late are left out. */
function createArrivalOrder() {
  const newest = new Map<string, UseNews>();
  return {
    isNewest(news: UseNews): boolean {
      const last = newest.get(news.from);
      const isOlder =
        last !== undefined &&
        (news.startedAt < last.startedAt ||
          (news.startedAt === last.startedAt &&
            news.sequence <= last.sequence));
      if (!isOlder) newest.set(news.from, news);
      return !isOlder;
    },
  };
}
