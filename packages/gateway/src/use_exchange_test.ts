import type { DatagramTransport } from "@rosemarypin/membership";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createEngineUse } from "./engine_use.ts";
import { startUseExchange } from "./use_exchange.ts";

const END = new AbortController();

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** A network that hands datagrams over at once and counts their bytes. */
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
  const uses = hosts.map((instance) => {
    const use = createEngineUse();
    startUseExchange({
      transport: network.transport(instance),
      instance,
      use,
      peers: () =>
        hosts
          .filter((host) => host !== instance)
          .map((host) => ({ host, port: 1 })),
      signal: END.signal,
    });
    return use;
  });
  return { network, uses };
}

function notification(params: unknown, method = "engines.use"): Buffer {
  return Buffer.from(JSON.stringify({ jsonrpc: "2.0", method, params }));
}

describe("the exchange of engines' use", () => {
  it("brings each instance's use to the others within a second", async () => {
    const { uses } = start(["a", "b", "c"]);
    const range = { from: 0, to: 10 };
    uses[0]?.take([{ engineId: "e-1", address: "x", range }], 100);
    uses[1]?.take([{ engineId: "e-1", address: "x", range }], 10);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(uses.map((use) => use.byOthers("e-1"))).toEqual([100, 1_000, 1_100]);
  });

  it("keeps to its bytes a second among many instances", async () => {
    const hosts = Array.from({ length: 40 }, (_, index) => `i-${index}`);
    const { network, uses } = start(hosts);
    const stages = Array.from({ length: 60 }, (_, index) => ({
      engineId: `i-engine-${index}`,
      address: "x",
      range: { from: index, to: index + 1 },
    }));
    uses[0]?.take(stages, 1_000);
    await vi.advanceTimersByTimeAsync(60_000);
    const perSecond = (network.sentBytes.get("i-0") ?? 0) / 60;
    expect(perSecond).toBeLessThan(3_000);
    expect(perSecond).toBeGreaterThan(500);
  });

  it("takes nothing from a datagram that came late", () => {
    const { network, uses } = start(["a"]);
    const news = (sequence: number, tokens: number, startedAt = 5) =>
      notification({ from: "b", sequence, startedAt, use: [["e-1", tokens]] });
    network.deliver("a", news(2, 20));
    network.deliver("a", news(1, 10));
    expect(uses[0]?.byOthers("e-1")).toBe(20);
    network.deliver("a", news(1, 30, 6));
    expect(uses[0]?.byOthers("e-1")).toBe(30);
    network.deliver("a", news(9, 40, 5));
    expect(uses[0]?.byOthers("e-1")).toBe(30);
  });

  it.each([
    ["no JSON", Buffer.from([0xff, 0x00])],
    ["another method", notification({}, "engines.other")],
    ["a use below zero", notification({ from: "b", use: [["e-1", -1]] })],
    [
      "a use that is no number",
      notification({
        from: "b",
        sequence: 1,
        startedAt: 1,
        use: [["e-1", "x"]],
      }),
    ],
  ])("changes nothing for %s", (_, datagram) => {
    const { network, uses } = start(["a"]);
    network.deliver("a", datagram);
    expect(uses[0]?.byOthers("e-1")).toBe(0);
  });
});
