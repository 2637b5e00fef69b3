import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer, EngineReport } from "../backend_server.ts";
import type { EngineCalls } from "../protocol.ts";
import { type BackendFleet, createBackendFleet } from "./backend_fleet.ts";

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
    canConnect: async () => true,
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

const refusal = {
  isSigned: false,
  notRun: true,
  retryAfterSeconds: 3,
  requestLimitPerSecond: null,
  isLeaving: false,
};

function isUsable(fleet: BackendFleet, id: string): boolean {
  const server = fleet.get(id);
  return server !== null && fleet.isUsable(server);
}

describe("an entry that arrives late", () => {
  it("marks the engine as leaving if it is of the current start", () => {
    const { fleet, end } = setUp(new Set());
    fleet.put({ ...engine("a1", "a"), renewal: 3 });
    fleet.put({ ...engine("a1", "a"), renewal: 2, leaving: true });
    expect(fleet.get("a1")).toMatchObject({ renewal: 3, leaving: true });
    end();
  });

  // Guards against a restarted engine that gets no requests until its next renewal,
  // because its previous start had announced its end.
  it("changes nothing if it is of an earlier start", () => {
    const { fleet, end } = setUp(new Set());
    const current = { ...engine("a1", "a"), startedAt: 2 };
    fleet.put(current);
    fleet.put({ ...engine("a1", "a"), renewal: 9, leaving: true });
    expect(fleet.get("a1")).toEqual(current);
    end();
  });
});

describe("a backoff that an engine asks for", () => {
  // Guards against requests to an engine in the time for which it wants none,
  // because its probes are answered or its entry is renewed.
  it("lasts as long as it says, whatever else shows that it works", async () => {
    const { fleet, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.handleRefusal("a1");
    await vi.advanceTimersByTimeAsync(1_000);
    fleet.detector.reportFailure("a1", "silent");
    await vi.advanceTimersByTimeAsync(1_000);
    fleet.detector.reportSuccess("a1");
    fleet.put({ ...engine("a1", "a"), renewal: 2 });
    await vi.advanceTimersByTimeAsync(900);
    expect(isUsable(fleet, "a1")).toBe(false);
    await vi.advanceTimersByTimeAsync(101);
    expect(isUsable(fleet, "a1")).toBe(true);
    end();
  });

  it("is kept when the engine's entry is missing for a while", () => {
    const { fleet, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.remove("a1");
    fleet.put(engine("a1", "a"));
    expect(isUsable(fleet, "a1")).toBe(false);
    end();
  });

  // Guards against a backoff that is lost because the entry of its engine was
  // missing when the answer arrived.
  it("applies to an answer that arrives while the entry is missing", () => {
    const { fleet, end } = setUp(new Set());
    fleet.remove("a1");
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.put(engine("a1", "a"));
    expect(isUsable(fleet, "a1")).toBe(false);
    end();
  });

  it("does not apply to an engine that has restarted since the request", () => {
    const { fleet, end } = setUp(new Set());
    fleet.put({ ...engine("a1", "a"), startedAt: 2 });
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    expect(isUsable(fleet, "a1")).toBe(true);
    end();
  });

  it("ends with a restart of the engine", () => {
    const { fleet, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.put({ ...engine("a1", "a"), startedAt: 2 });
    expect(isUsable(fleet, "a1")).toBe(true);
    end();
  });

  it("is not shortened by a later answer", async () => {
    const { fleet, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.recordAnswer(engine("a1", "a"), 503, {
      ...refusal,
      retryAfterSeconds: 1,
    });
    fleet.recordAnswer(engine("a1", "a"), 200, {
      ...refusal,
      notRun: false,
      isSigned: true,
    });
    await vi.advanceTimersByTimeAsync(2_900);
    expect(isUsable(fleet, "a1")).toBe(false);
    end();
  });

  it("is not caused by another server that answers at its address", () => {
    const { fleet, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 421, refusal);
    expect(isUsable(fleet, "a1")).toBe(true);
    end();
  });

  it("saves the engine the probe that follows other refusals", async () => {
    const { fleet, probed, end } = setUp(new Set());
    fleet.recordAnswer(engine("a1", "a"), 503, refusal);
    fleet.handleRefusal("a1");
    fleet.recordAnswer(engine("a2", "a"), 503, {
      ...refusal,
      retryAfterSeconds: null,
    });
    fleet.handleRefusal("a2");
    await vi.advanceTimersByTimeAsync(100);
    expect(probed).toEqual(["a2"]);
    end();
  });
});

describe("an engine whose answer says that it is leaving", () => {
  const lastAnswer = { ...refusal, notRun: false, isSigned: true };

  function setUpLeaving() {
    const parts = setUp(new Set());
    parts.fleet.recordAnswer(engine("a1", "a"), 200, {
      ...lastAnswer,
      isLeaving: true,
    });
    return parts;
  }

  // Guards against requests to an engine that is about to end, because the
  // store lags behind its answers or is not available.
  it.each([
    ["is renewed", { renewal: 2 }],
    ["is delivered once more", {}],
  ])("gets no requests when its entry %s", (_name, change) => {
    const { fleet, end } = setUpLeaving();
    expect(isUsable(fleet, "a1")).toBe(false);
    fleet.put({ ...engine("a1", "a"), ...change });
    expect(isUsable(fleet, "a1")).toBe(false);
    end();
  });

  it("gets no requests when its entry returns after an outage", () => {
    const { fleet, end } = setUpLeaving();
    fleet.remove("a1");
    fleet.put({ ...engine("a1", "a"), renewal: 3 });
    expect(isUsable(fleet, "a1")).toBe(false);
    end();
  });

  it("gets requests again after a restart", () => {
    const { fleet, end } = setUpLeaving();
    fleet.put({ ...engine("a1", "a"), startedAt: 2 });
    expect(isUsable(fleet, "a1")).toBe(true);
    end();
  });

  it("is reported once as changed, so that its layers are placed elsewhere", () => {
    const { fleet, end } = setUp(new Set());
    const changed: string[] = [];
    fleet.onChanged((id) => changed.push(id));
    for (let answer = 0; answer < 3; answer += 1)
      fleet.recordAnswer(engine("a1", "a"), 200, {
        ...lastAnswer,
        isLeaving: true,
      });
    expect(changed).toEqual(["a1"]);
    end();
  });
});
