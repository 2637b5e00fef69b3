import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import { createReachability } from "./reachability.ts";

/** Every third server is in the own failure domain. */
const DEPLOYED = Array.from(
  { length: 30 },
  (_, index) =>
    ({
      id: `e-${index}`,
      address: `e-${index}`,
      failureDomain: ["a", "b", "c"][index % 3],
    }) as BackendServer,
);
const OWN = DEPLOYED.filter(({ failureDomain }) => failureDomain === "a");
const CONNECT_MS = 2;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function setUp() {
  const down = new Set<string>();
  const controller = new AbortController();
  let connects = 0;
  let reconnects = 0;
  const reachability = createReachability({
    failureDomain: "a",
    serversOf: () => DEPLOYED,
    canConnect: async (address, timeoutMs) => {
      connects += 1;
      const isDown = down.has(address);
      const tookMs = isDown ? timeoutMs : CONNECT_MS;
      await new Promise((resolve) => setTimeout(resolve, tookMs));
      return !isDown;
    },
    onReconnected: async () => {
      reconnects += 1;
    },
    signal: controller.signal,
  });
  return {
    reachability,
    cutAll() {
      for (const { address } of DEPLOYED) down.add(address);
    },
    cutFromOthers() {
      for (const server of DEPLOYED)
        if (!OWN.includes(server)) down.add(server.address);
    },
    heal: () => down.clear(),
    down,
    connects: () => connects,
    reconnects: () => reconnects,
  };
}

describe("reachability of a service", () => {
  it("is lost when no server of a sample accepts a connection", async () => {
    const { reachability, cutAll } = setUp();
    cutAll();
    reachability.check("model");
    expect(reachability.isCutOff("model")).toBe(false);
    expect(reachability.mayBeCutOff("model")).toBe(true);
    await vi.advanceTimersByTimeAsync(300);
    expect(await reachability.settled("model")).toBe(true);
    expect(reachability.cutOffServices()).toEqual(["model"]);
  });

  it("is not lost while one server of the sample accepts connections", async () => {
    // Guards against an instance that stops to place layers, and sends its
    // requests to others, because a few servers have failed.
    const { reachability, down } = setUp();
    for (const { address } of DEPLOYED.slice(0, 5)) down.add(address);
    reachability.check("model");
    await vi.advanceTimersByTimeAsync(300);
    expect(await reachability.settled("model")).toBe(false);
  });

  it("is not lost while the own failure domain is cut off from the others", async () => {
    // Guards against an instance that hands its requests off, and stops to place
    // layers, though it reaches the engines beside it.
    const { reachability, cutFromOthers, down } = setUp();
    cutFromOthers();
    for (const { address } of OWN.slice(0, 3)) down.add(address);
    for (let failure = 0; failure < 100; failure += 1) {
      reachability.check("model");
      await vi.advanceTimersByTimeAsync(600);
      expect(reachability.isCutOff("model")).toBe(false);
    }
  });

  it("is found again once the servers of the own failure domain are reached", async () => {
    // Guards against an instance that stays cut off for as long as its failure
    // domain does.
    const { reachability, cutAll, down } = setUp();
    cutAll();
    reachability.check("model");
    await vi.advanceTimersByTimeAsync(500);
    expect(reachability.isCutOff("model")).toBe(true);
    for (const { address } of OWN) down.delete(address);
    await vi.advanceTimersByTimeAsync(3_000);
    expect(reachability.isCutOff("model")).toBe(false);
  });

  it("is found again within 1.5 s, after servers were probed", async () => {
    const { reachability, cutAll, heal, reconnects } = setUp();
    cutAll();
    reachability.check("model");
    await vi.advanceTimersByTimeAsync(5_000);
    expect(reachability.isCutOff("model")).toBe(true);
    expect(reconnects()).toBe(0);
    heal();
    await vi.advanceTimersByTimeAsync(1_500);
    expect(reachability.isCutOff("model")).toBe(false);
    expect(reconnects()).toBe(1);
  });

  it("stays lost while links recover for less than a second", async () => {
    // Guards against requests that alternate between two ways, each of which
    // has to be detected as broken first.
    const { reachability, cutAll, heal } = setUp();
    cutAll();
    reachability.check("model");
    await vi.advanceTimersByTimeAsync(300);
    for (let flap = 0; flap < 10; flap += 1) {
      heal();
      await vi.advanceTimersByTimeAsync(350);
      cutAll();
      await vi.advanceTimersByTimeAsync(350);
      expect(reachability.isCutOff("model")).toBe(true);
    }
  });

  it("costs a few connections however many failures there are", async () => {
    const { reachability, connects } = setUp();
    for (let failure = 0; failure < 1_000; failure += 1) {
      reachability.check("model");
      await vi.advanceTimersByTimeAsync(1);
    }
    expect(connects()).toBeLessThanOrEqual(12);
  });
});
