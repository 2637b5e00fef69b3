import type { LayerRange } from "@rosemarypin/pipelines";
import { pause } from "@rosemarypin/timing";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer, EngineReport } from "../backend_server.ts";
import { createBackendFleet } from "../backends/mod.ts";
import type { EngineShape } from "../configuration.ts";
import type { ConfigurationKeeper } from "../following/mod.ts";
import type { EngineCalls, OrderOutcome, PlaceOrder } from "../protocol.ts";
import { startPlacement } from "./placement_loop.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const SHAPE = {
  model: {
    name: "m",
    layerCount: 8,
    layerMb: 100,
    tokenLayerBytes: 1_000,
    stepMs: 1,
    prefillTokensPerMs: 100,
    meanPromptTokens: 10,
    meanAnswerTokens: 10,
    maxConcurrentAnswers: 4,
  },
  kinds: new Map([
    ["card", { name: "card", memoryMb: 900, stepFactor: 1, prefillFactor: 1 }],
    ["half", { name: "half", memoryMb: 450, stepFactor: 1, prefillFactor: 1 }],
  ]),
};

const ENGINE = {
  id: "e-1",
  service: "model",
  address: "e-1:1",
  failureDomain: "a",
  kind: "card",
  startedAt: 1,
  renewal: 1,
  leaving: false,
  held: null,
  orderCount: null,
} as unknown as BackendServer;

/** Starts the placement loop with a fake engine and all leases held. */
function setUp({
  canConnect = true,
  shape = SHAPE as EngineShape,
  holdsLease = true,
} = {}) {
  const controller = new AbortController();
  const { signal } = controller;
  const report = {
    startedAt: 1,
    orderCount: 3,
    busy: false,
    held: null as LayerRange | null,
  };
  const orders: PlaceOrder[] = [];
  let orderDurationMs = 0;
  let isAnswering = true;
  const engines = {
    report: async () => ({ ...report }) as unknown as EngineReport,
    async place(_: BackendServer, order: PlaceOrder): Promise<OrderOutcome> {
      orders.push(order);
      if (orderDurationMs > 0) await pause(orderDurationMs);
      if (!isAnswering) return { kind: "unknown", detail: "timed out" };
      if (report.busy) return { kind: "conflict", detail: "busy" };
      return { kind: "accepted" };
    },
  } as unknown as EngineCalls;
  const fleet = createBackendFleet({
    engines,
    canConnect: async () => canConnect,
    countInstances: () => 1,
    failureDomain: "a",
    signal,
  });
  const service = { name: "model", engine: shape };
  const keeper = {
    applied: () => ({ services: new Map([["model", service]]) }),
  } as unknown as ConfigurationKeeper;
  const lease = { isHeld: holdsLease, onAcquired: () => {} };
  startPlacement({
    keeper,
    fleet,
    engines,
    signal,
    fencingNumberFor: () => (lease.isHeld ? 1 : null),
    onLeaseAcquired(callback) {
      lease.onAcquired = callback;
    },
  });
  return {
    fleet,
    acquireLease() {
      lease.isHeld = true;
      lease.onAcquired();
    },
    report,
    orders,
    setOrderDuration(ms: number) {
      orderDurationMs = ms;
    },
    loseAnswers() {
      isAnswering = false;
    },
    end: () => controller.abort(),
  };
}

describe("placement loop", () => {
  it("sends one order to an engine without layers", async () => {
    const { fleet, orders, end } = setUp();
    fleet.put(ENGINE);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(orders.map(({ range }) => range)).toEqual([{ from: 0, to: 8 }]);
    end();
  });

  // Guards against a start in which all loads slow each other down, so that no
  // pipeline is complete before the last load has ended.
  it("orders the next layers when earlier loads have ended", async () => {
    const shape = { ...SHAPE, maxParallelLoads: 1 };
    const { fleet, report, orders, end } = setUp({ shape });
    const half = { ...ENGINE, kind: "half", orderCount: 3 };
    const ids = ["e-1", "e-2", "e-3", "e-4", "e-5", "e-6"];
    for (const id of ids) fleet.put({ ...half, id });
    await vi.advanceTimersByTimeAsync(500);
    report.busy = true;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(orders.map(({ range }) => range)).toEqual([
      { from: 0, to: 4 },
      { from: 4, to: 8 },
    ]);
    report.busy = false;
    report.held = { from: 0, to: 4 };
    await vi.advanceTimersByTimeAsync(300);
    expect(orders[2]?.range).toEqual({ from: 0, to: 4 });
    end();
  });

  // Guards against engines that appear one after the other for as long as none
  // is ordered.
  it("doesn't wait for more engines for longer than 3 s", async () => {
    const { fleet, orders, end } = setUp();
    for (let at = 0; at < 40; at += 1) {
      fleet.put({ ...ENGINE, id: `e-${at}` });
      await vi.advanceTimersByTimeAsync(100);
    }
    expect(orders.length).toBeGreaterThan(0);
    end();
  });

  // Guards against layers that wait for the next interval after a takeover.
  it("plans at once when a lease is acquired", async () => {
    const { fleet, orders, acquireLease, end } = setUp({ holdsLease: false });
    fleet.put(ENGINE);
    await vi.advanceTimersByTimeAsync(1_700);
    expect(orders).toEqual([]);
    acquireLease();
    await vi.advanceTimersByTimeAsync(50);
    expect(orders).toHaveLength(1);
    end();
  });

  // Guards against a new lease holder that aborts a load in progress.
  it("sends no order to an engine that executes another instance's order", async () => {
    const { fleet, report, orders, end } = setUp();
    report.busy = true;
    fleet.put(ENGINE);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(orders).toEqual([]);
    report.busy = false;
    await vi.advanceTimersByTimeAsync(2_000);
    expect(orders).toHaveLength(1);
    end();
  });

  // Guards against missing layers that wait for the next planning interval.
  it("replans at once after a change while an order was being sent", async () => {
    const { fleet, orders, setOrderDuration, end } = setUp();
    const half = { ...ENGINE, kind: "half" };
    fleet.put({ ...half, id: "e-0", held: { from: 4, to: 6 } });
    fleet.put({ ...half, id: "e-1", held: { from: 0, to: 4 } });
    fleet.put({ ...half, id: "e-2" });
    setOrderDuration(300);
    await vi.advanceTimersByTimeAsync(200);
    fleet.remove("e-1");
    fleet.put({ ...half, id: "e-3" });
    await vi.advanceTimersByTimeAsync(250);
    expect(orders.map(({ range }) => range)).toEqual([
      { from: 6, to: 8 },
      { from: 0, to: 4 },
    ]);
    end();
  });

  // Guards against orders that are refused with a conflict ten times a second.
  it("waits for the end of a load after an order is refused as busy", async () => {
    const { fleet, report, orders, end } = setUp();
    fleet.put({ ...ENGINE, orderCount: 3 });
    report.busy = true;
    await vi.advanceTimersByTimeAsync(5_000);
    expect(orders).toHaveLength(1);
    end();
  });

  // Guards against a lease that stays with an instance that reaches no engine,
  // and has no requests by whose failures it would notice.
  it("checks whether engines can be reached after an order without an answer", async () => {
    const { fleet, loseAnswers, end } = setUp({ canConnect: false });
    loseAnswers();
    fleet.put(ENGINE);
    await vi.advanceTimersByTimeAsync(2_000);
    expect(fleet.reachability.isCutOff("model")).toBe(true);
    end();
  });
});
