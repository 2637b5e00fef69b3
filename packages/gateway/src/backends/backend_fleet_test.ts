import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer, EngineReport } from "../backend_server.ts";
import type { EngineCalls } from "../protocol.ts";
import { createBackendFleet } from "./backend_fleet.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function engine(id: string, failureDomain: string): BackendServer {
  return {
    id,
    service: "model",
    address: id,
    failureDomain,
    kind: "fast",
    startedAt: 1,
    renewal: 1,
    leaving: false,
    held: null,
    orderCount: 0,
  } as BackendServer;
}

/** Fleet of an instance in domain `a`; engines in `cut` don't answer. */
function setUp(cut: ReadonlySet<string>) {
  const probed: string[] = [];
  const controller = new AbortController();
  const report = { held: null, orderCount: 0, startedAt: 1 };
  const engines = {
    report: async (address: string) => {
      probed.push(address);
      return cut.has(address) ? null : (report as EngineReport);
    },
  } as unknown as EngineCalls;
  const fleet = createBackendFleet({
    engines,
    countInstances: () => 1,
    failureDomain: "a",
    signal: controller.signal,
  });
  for (const id of ["a1", "a2", "a3"]) fleet.put(engine(id, "a"));
  for (const id of ["b1", "b2", "b3", "b4"]) fleet.put(engine(id, "b"));
  return { fleet, probed, end: () => controller.abort() };
}

describe("suspicion of a failure domain", () => {
  it("covers all its engines when two of them stop answering", async () => {
    // A domain is cut off while requests use two of its engines. If the others
    // counted as alive until requests failed there too, their layers would not
    // be loaded elsewhere, and callers would be refused meanwhile.
    const { fleet, end } = setUp(new Set(["b1", "b2", "b3", "b4"]));
    fleet.detector.reportFailure("b1", "silent");
    fleet.detector.reportFailure("b2", "silent");
    await vi.advanceTimersByTimeAsync(1_000);
    const dead = ["b1", "b2", "b3", "b4"].filter(fleet.detector.isDead);
    expect(dead).toEqual(["b1", "b2", "b3", "b4"]);
    end();
  });

  it("excludes engines that answer a probe", async () => {
    const { fleet, end } = setUp(new Set(["b1", "b2"]));
    fleet.detector.reportFailure("b1", "silent");
    fleet.detector.reportFailure("b2", "silent");
    await vi.advanceTimersByTimeAsync(1_000);
    expect(fleet.detector.isAvoided("b3")).toBe(false);
    end();
  });

  it.each([
    ["one engine of another domain", ["b1"]],
    ["engines of the local domain", ["a1", "a2"]],
  ])("is not caused by %s", async (_name, silent) => {
    const { fleet, probed, end } = setUp(new Set(silent));
    for (const id of silent) fleet.detector.reportFailure(id, "silent");
    await vi.advanceTimersByTimeAsync(1_000);
    expect(probed.filter((id) => !silent.includes(id))).toEqual([]);
    end();
  });
});

describe("reported load of an engine", () => {
  it("is valid for a second after the report", async () => {
    // Other instances fill an engine. Without the reported load, this instance
    // would count only its own answers and retry there right after a refusal.
    const { fleet, end } = setUp(new Set());
    expect(fleet.reportedLoad("a1")).toBeNull();
    const report = { held: null, orderCount: 0, startedAt: 1 };
    const memory = { usedTokenLayers: 95, totalTokenLayers: 100 };
    fleet.putReport("a1", { ...report, ...memory } as EngineReport);
    expect(fleet.reportedLoad("a1")).toBe(0.95);
    await vi.advanceTimersByTimeAsync(1_500);
    expect(fleet.reportedLoad("a1")).toBeNull();
    end();
  });
});

describe("reported slowdown of an engine", () => {
  it("is dropped when the engine starts again", () => {
    // The new process is as fast as its kind, and would otherwise get no
    // answers until its next report is read.
    const { fleet, end } = setUp(new Set());
    const report = { held: null, orderCount: 0, startedAt: 1, slowdown: 8 };
    fleet.putReport("a1", report as EngineReport);
    expect(fleet.slowdownOf("a1")).toBe(8);
    fleet.put({ ...engine("a1", "a"), startedAt: 2 });
    expect(fleet.slowdownOf("a1")).toBe(1);
    end();
  });
});

describe("renewal of a list entry", () => {
  it("triggers callbacks only if another field changes", () => {
    // Forty servers renew their entries every second. If each renewal woke the
    // layer planner, it would plan the whole fleet each time.
    const { fleet, end } = setUp(new Set());
    const changedIds: string[] = [];
    fleet.onChanged((id) => changedIds.push(id));
    fleet.put({ ...engine("a1", "a"), renewal: 2 });
    expect(changedIds).toEqual([]);
    fleet.put({ ...engine("a1", "a"), renewal: 3, held: { from: 0, to: 4 } });
    fleet.put({ ...engine("a1", "a"), renewal: 4, leaving: true });
    expect(changedIds).toEqual(["a1", "a1"]);
    end();
  });
});
