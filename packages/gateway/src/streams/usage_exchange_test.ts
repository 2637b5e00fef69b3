import type { DatagramTransport } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createEngineUsage, type EngineUsage } from "./engine_usage.ts";
import { startUsageExchange } from "./usage_exchange.ts";

const END = new AbortController();

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

function start(hosts: readonly string[]) {
  const network = createNetwork();
  const usages = hosts.map((instance) => {
    const usage = createEngineUsage();
    startUsageExchange({
      transport: network.transport(instance),
      instance,
      usage,
      peers: () =>
        hosts
          .filter((host) => host !== instance)
          .map((host) => ({ host, port: 1 })),
      signal: END.signal,
    });
    return usage;
  });
  return { network, usages };
}

/** Counts an answer with `tokens` tokens at engines of one layer each. */
function takeAt(
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

describe("usage exchange", () => {
  it("reports a burst to all peers within 50 ms", async () => {
    const { usages } = start(["a", "b", "c"]);
    await vi.advanceTimersByTimeAsync(1_500);
    takeAt(usages[0], ["e-1"], 1_000);
    takeAt(usages[1], ["e-1"], 100);
    await vi.advanceTimersByTimeAsync(50);
    const held = usages.map((usage) => usage.peerLoadOf("e-1").held);
    expect(held).toEqual([100, 1_000, 1_100]);
  });

  it("reports small changes within about one second", async () => {
    const { usages } = start(["a", "b"]);
    takeAt(usages[0], ["e-1"], 1_000);
    await vi.advanceTimersByTimeAsync(100);
    takeAt(usages[0], ["e-1"], 10);
    await vi.advanceTimersByTimeAsync(1_050);
    expect(usages[1]?.peerLoadOf("e-1")).toEqual({ held: 1_010, unread: 2 });
  });

  it("stays within its byte budget with many instances", async () => {
    const hosts = Array.from({ length: 40 }, (_, index) => `i-${index}`);
    const { network, usages } = start(hosts);
    const engineIds = Array.from({ length: 60 }, (_, at) => `i-engine-${at}`);
    for (let second = 0; second < 60; second += 1) {
      takeAt(usages[0], engineIds, 1_000 * (second + 1));
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
    for (const usage of usages) takeAt(usage, engineIds, 1_000);
    await vi.advanceTimersByTimeAsync(5_000);
    const timers = vi.spyOn(globalThis, "setTimeout");
    for (const usage of usages) takeAt(usage, engineIds, 100_000);
    await vi.advanceTimersByTimeAsync(10_000);
    const perSecond = timers.mock.calls.length / 10 / hosts.length;
    timers.mockRestore();
    expect(perSecond).toBeLessThan(5);
  });

  it("ignores datagrams that arrive out of order", () => {
    const { network, usages } = start(["a"]);
    const usageDatagram = (sequence: number, tokens: number, startedAt = 5) =>
      notification({
        from: "b",
        sequence,
        startedAt,
        use: [["e-1", tokens, 0]],
      });
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
    ["negative usage", notification({ from: "b", use: [["e-1", -1, 0]] })],
    [
      "non-numeric usage",
      notification({
        from: "b",
        sequence: 1,
        startedAt: 1,
        use: [["e-1", "x", 0]],
      }),
    ],
  ])("ignores a datagram with %s", (_, datagram) => {
    const { network, usages } = start(["a"]);
    network.deliver("a", datagram);
    expect(usages[0]?.peerLoadOf("e-1").held).toBe(0);
  });
});
