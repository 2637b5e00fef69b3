import type { DatagramTransport } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDemandBoard } from "./demand_board.ts";
import { createEngineUsage, type EngineUsage } from "./engine_usage.ts";
import { encodeUsageReport } from "./usage_datagram.ts";
import { startUsageExchange } from "./usage_exchange.ts";
import { createHashIndex } from "./usage_records.ts";

const abortController = new AbortController();

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Creates a network that delivers datagrams at once and counts bytes sent. */
function createNetwork() {
  const receivers = new Map<string, (datagram: Uint8Array) => void>();
  const sentBytes = new Map<string, number>();
  return {
    sentBytes,
    deliver: (host: string, bytes: Uint8Array) => receivers.get(host)?.(bytes),
    transport(host: string): DatagramTransport {
      return {
        send(datagram, target) {
          const bytes = sentBytes.get(host) ?? 0;
          sentBytes.set(host, bytes + datagram.length);
          receivers.get(target.host)?.(datagram);
        },
        onDatagram(receiver) {
          receivers.set(host, receiver);
        },
        close: async () => {},
      };
    },
  };
}

const ENGINE_IDS = [
  "e-1",
  ...Array.from({ length: 60 }, (_, at) => `i-engine-${at}`),
];

/** Failure domain of a host: the part of its name before a slash. */
function domainOf(host: string): string {
  return host.split("/")[0] ?? "";
}

function start(
  hosts: readonly string[],
  isNear: (host: string, other: string) => boolean = () => true,
) {
  const network = createNetwork();
  const usages = hosts.map((instance) => {
    const usage = createEngineUsage();
    const others = hosts.filter((host) => host !== instance);
    const addresses = (near: boolean) =>
      others
        .filter((other) => isNear(instance, other) === near)
        .map((host) => ({ host, port: 1 }));
    startUsageExchange({
      transport: network.transport(instance),
      instance,
      address: { host: instance, port: 1 },
      failureDomain: domainOf(instance),
      usage,
      demand: createDemandBoard({
        failureDomain: domainOf(instance),
        liveOthers: () => [],
      }),
      destinations: () => ({
        ownUsage: addresses(true),
        domainUsage: addresses(false),
      }),
      engineIds: () => ENGINE_IDS,
      serviceNames: () => [],
      countDomainInstances: () =>
        hosts.filter((host) => domainOf(host) === domainOf(instance)).length,
      signal: abortController.signal,
    });
    return usage;
  });
  return { network, usages };
}

/** Hosts of which each reports its own usage within its domain only. */
function startDomains(sizes: Readonly<Record<string, number>>) {
  const hosts = Object.entries(sizes).flatMap(([domain, size]) =>
    Array.from({ length: size }, (_, at) => `${domain}/${at}`),
  );
  return start(hosts, (host, other) => domainOf(host) === domainOf(other));
}

/** Reserves `tokens` tokens for an answer at engines of one layer each. */
function reserveAt(
  usage: EngineUsage | undefined,
  engineIds: readonly string[],
  tokens: number,
) {
  const stages = engineIds.map((engineId, from) => ({
    engineId,
    address: "x",
    range: { from, to: from + 1 },
  }));
  return usage?.reserve({
    stages,
    tokens,
    unreadTokens: 1,
    unreadStages: stages,
  });
}

function notification(params: unknown, method = "engines.use"): Buffer {
  return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

function datagramWithUse(use: unknown): Buffer {
  return notification({ from: "b", sequence: 1, startedAt: 1, use });
}

describe("usage exchange", () => {
  it("reports a burst to all peers within 50 ms", async () => {
    const { usages } = start(["a", "b", "c"]);
    await vi.advanceTimersByTimeAsync(1_500);
    reserveAt(usages[0], ["e-1"], 1_000);
    reserveAt(usages[1], ["e-1"], 100);
    await vi.advanceTimersByTimeAsync(50);
    const held = usages.map((usage) => usage.peerLoadOf("e-1").held);
    expect(held).toEqual([100, 1_000, 1_100]);
  });

  it("reports small changes within about one second", async () => {
    const { usages } = start(["a", "b"]);
    reserveAt(usages[0], ["e-1"], 1_000);
    await vi.advanceTimersByTimeAsync(100);
    reserveAt(usages[0], ["e-1"], 10);
    await vi.advanceTimersByTimeAsync(1_050);
    expect(usages[1]?.peerLoadOf("e-1")).toEqual({ held: 1_010, unread: 2 });
  });

  it("stays within its byte budget with many instances", async () => {
    const hosts = Array.from({ length: 40 }, (_, index) => `i-${index}`);
    const { network, usages } = start(hosts);
    const engineIds = Array.from({ length: 60 }, (_, at) => `i-engine-${at}`);
    for (let second = 0; second < 60; second += 1) {
      reserveAt(usages[0], engineIds, 1_000 * (second + 1));
      await vi.advanceTimersByTimeAsync(1_000);
    }
    const perSecond = (network.sentBytes.get("i-0") ?? 0) / 60;
    expect(perSecond).toBeLessThan(3_000);
    expect(perSecond).toBeGreaterThan(500);
  });

  it("wakes up no more often than its byte budget allows sending", async () => {
    const hosts = Array.from({ length: 40 }, (_, index) => `i-${index}`);
    const { usages } = start(hosts);
    const engineIds = Array.from({ length: 60 }, (_, at) => `i-engine-${at}`);
    for (const usage of usages) reserveAt(usage, engineIds, 1_000);
    await vi.advanceTimersByTimeAsync(5_000);
    const timers = vi.spyOn(globalThis, "setTimeout");
    for (const usage of usages) reserveAt(usage, engineIds, 100_000);
    await vi.advanceTimersByTimeAsync(10_000);
    const perSecond = timers.mock.calls.length / 10 / hosts.length;
    timers.mockRestore();
    expect(perSecond).toBeLessThan(5);
  });

  // Guards against treating the engines of another domain as full or as free
  // because its instances, which are many, don't report to this one.
  it("reports the sum over each domain to the other domains", async () => {
    const { usages } = startDomains({ a: 3, b: 2 });
    for (const usage of usages.slice(0, 3)) reserveAt(usage, ["e-1"], 1_000);
    reserveAt(usages[3], ["e-1"], 50);
    await vi.advanceTimersByTimeAsync(6_000);
    const held = usages.map((usage) => usage.domainLoadOf("e-1").held);
    expect(held).toEqual([50, 50, 50, 3_000, 3_000]);
  });

  // Control traffic of an instance is bounded at 3 KB/s.
  it("reports to its own and to other domains within 3 KB/s", async () => {
    const { network, usages } = startDomains({ a: 12, b: 30 });
    const engineIds = Array.from({ length: 60 }, (_, at) => `i-engine-${at}`);
    for (let second = 0; second < 30; second += 1) {
      reserveAt(usages[0], engineIds, 1_000 * (second + 1));
      await vi.advanceTimersByTimeAsync(1_000);
    }
    const perSecond = (network.sentBytes.get("a/0") ?? 0) / 30;
    expect(perSecond).toBeLessThan(3_000);
    expect(perSecond).toBeGreaterThan(2_000);
  });

  it("ignores datagrams that arrive out of order", () => {
    const { network, usages } = start(["a"]);
    const usageDatagram = (sequence: number, tokens: number, startedAt = 5) =>
      encodeUsageReport(
        {
          from: "b",
          sequence,
          startedAt,
          loads: new Map([["e-1", { held: tokens, unread: 0 }]]),
        },
        {
          engines: createHashIndex(() => ENGINE_IDS),
          services: createHashIndex(() => []),
        },
      );
    network.deliver("a", usageDatagram(2, 20));
    network.deliver("a", usageDatagram(1, 10));
    expect(usages[0]?.peerLoadOf("e-1").held).toBe(20);
    network.deliver("a", usageDatagram(1, 30, 6));
    expect(usages[0]?.peerLoadOf("e-1").held).toBe(30);
    network.deliver("a", usageDatagram(9, 40, 5));
    expect(usages[0]?.peerLoadOf("e-1").held).toBe(30);
  });

  it.each([
    ["invalid JSON", Buffer.from([0xff, 0x00])],
    ["another method", notification({}, "engines.other")],
    ["usage of another form", datagramWithUse([["e-1", 20, 0]])],
    ["usage that is cut off", datagramWithUse("AQIDBIE=")],
    [
      "a sequence that isn't a number",
      notification({ from: "b", sequence: "1", startedAt: 1, use: "" }),
    ],
  ])("ignores a datagram with %s", (_, datagram) => {
    const { network, usages } = start(["a"]);
    network.deliver("a", datagram);
    expect(usages[0]?.peerLoadOf("e-1").held).toBe(0);
  });
});
