import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { EngineReport } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";
import type { EngineCalls } from "../protocol.ts";
import type { ChosenPipeline } from "./pipeline_router.ts";
import {
  type AnswerTracker,
  createStallDetector,
  type Stall,
} from "./stall_detector.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const STAGES = ["first", "second", "third"];
const EVENT_INTERVAL_MS = 40;

function setUp() {
  const deadEngines = new Set<string>();
  const probedEngines: string[] = [];
  const suspectedEngines: string[] = [];
  let stalled: EngineReport["stalled"] = [];
  let waiting = 0;
  let reportAfterMs = 2;

  const engines = {
    async report(address: string, timeoutMs: number) {
      const id = address.split(":")[0] ?? "";
      probedEngines.push(id);
      const waitMs = deadEngines.has(id) ? timeoutMs : reportAfterMs;
      await new Promise((resolve) => setTimeout(resolve, waitMs));
      return deadEngines.has(id)
        ? null
        : ({ stalled, waiting } as unknown as EngineReport);
    },
  } as unknown as EngineCalls;
  const fleet = {
    detector: { reportFailure: (id: string) => suspectedEngines.push(id) },
    putReport: () => {},
    byAddress: (address: string) => ({ id: address.split(":")[0] }),
  } as unknown as BackendFleet;
  const detector = createStallDetector({ fleet, engines });
  const pipeline = {
    stages: STAGES.map((engineId, at) => ({
      engineId,
      address: `${engineId}:1`,
      range: { from: at, to: at + 1 },
    })),
    first: { id: "first" },
  } as unknown as ChosenPipeline;
  const stalls: [string, Stall][] = [];
  const trackers: AnswerTracker[] = [];

  /** Tracks answers that have events at the given interval, spread evenly. */
  async function stream(
    answers: number,
    forMs: number,
    intervalMs = EVENT_INTERVAL_MS,
  ): Promise<void> {
    while (trackers.length < answers) {
      const requestId = `r${trackers.length}`;
      trackers.push(
        detector.track({
          requestId,
          pipeline: () => pipeline,
          onStall: (stall) => stalls.push([requestId, stall]),
        }),
      );
    }
    const stepMs = intervalMs / answers;
    for (let step = 0; step < forMs / stepMs; step += 1) {
      trackers[step % answers]?.onEvent();
      await vi.advanceTimersByTimeAsync(stepMs);
    }
  }

  return {
    deadEngines,
    probedEngines,
    suspectedEngines,
    stalls,
    trackers,
    stream,
    stallOf(requestId: string, address: string) {
      stalled = [{ requestId, address }];
    },
    reportWaiting(count: number) {
      waiting = count;
    },
    slowReports(ms: number) {
      reportAfterMs = ms;
    },
    silence: (ms: number) => vi.advanceTimersByTimeAsync(ms),
    end() {
      for (const tracker of trackers) tracker.end();
    },
  };
}

describe("stall detection on a pipeline without events", () => {
  it("finds the unresponsive engine for all answers", async () => {
    const { deadEngines, stalls, suspectedEngines, stream, silence, end } =
      setUp();
    await stream(10, 1_000);
    deadEngines.add("second");
    await silence(200);
    expect(suspectedEngines).toEqual(["second"]);
    expect(stalls.length).toBe(10);
    const kinds = new Set(stalls.map(([, stall]) => JSON.stringify(stall)));
    expect([...kinds]).toEqual(['{"kind":"stage","address":"second:1"}']);
    end();
  });

  it("probes no engine while events arrive regularly", async () => {
    const { probedEngines, stream, end } = setUp();
    await stream(10, 3_000);
    expect(probedEngines).toEqual([]);
    end();
  });

  it("reports no stall when all engines respond", async () => {
    const { stalls, suspectedEngines, stream, silence, end } = setUp();
    await stream(10, 1_000);
    await silence(1_500);
    expect(stalls).toEqual([]);
    expect(suspectedEngines).toEqual([]);
    end();
  });

  // Guards against probing engines all the time once they become slow.
  it("backs off while engines are only slow", async () => {
    const { probedEngines, stalls, trackers, stream, silence, end } = setUp();
    await stream(10, 1_000);
    for (let pause = 0; pause < 40; pause += 1) {
      await silence(500);
      for (const tracker of trackers) tracker.onEvent();
    }
    expect(stalls).toEqual([]);
    expect(probedEngines.length).toBeLessThan(100);
    end();
  });

  it("resets the backoff after a period of regular events", async () => {
    const { deadEngines, suspectedEngines, trackers, stream, silence, end } =
      setUp();
    await stream(10, 1_000);
    for (let pause = 0; pause < 10; pause += 1) {
      await silence(500);
      for (const tracker of trackers) tracker.onEvent();
    }
    await stream(10, 3_000);
    deadEngines.add("second");
    await silence(200);
    expect(suspectedEngines).toEqual(["second"]);
    end();
  });

  it("reports the first engine when it is lost with another", async () => {
    const { deadEngines, stalls, stream, silence, end } = setUp();
    await stream(4, 1_000);
    deadEngines.add("first");
    deadEngines.add("third");
    await silence(200);
    expect(stalls.map(([, { kind }]) => kind)).toEqual(
      new Array(4).fill("first_engine"),
    );
    end();
  });

  it("reports no stall when events arrive during the check", async () => {
    const { deadEngines, stalls, suspectedEngines, stream, silence, end } =
      setUp();
    await stream(10, 1_000);
    deadEngines.add("second");
    await silence(120);
    await stream(10, 100);
    expect(stalls).toEqual([]);
    expect(suspectedEngines).toEqual([]);
    end();
  });

  it("reports no stall after this process was blocked", async () => {
    const { deadEngines, probedEngines, stalls, stream, end } = setUp();
    await stream(10, 1_000);
    deadEngines.add("second");
    const now = performance.now.bind(performance);
    vi.spyOn(performance, "now").mockImplementation(() => now() + 3_000);
    await vi.advanceTimersToNextTimerAsync();
    // Events that arrived while the process was blocked are read now.
    await stream(10, 100);
    expect(probedEngines).not.toContain("second");
    expect(stalls).toEqual([]);
    vi.restoreAllMocks();
    end();
  });
});

describe("stall detection of a single answer", () => {
  it("finds the stage by the report of the first engine", async () => {
    const { stallOf, stalls, trackers, silence, stream, end } = setUp();
    await stream(3, 1_000);
    stallOf("r0", "third:1");
    for (let step = 0; step < 30; step += 1) {
      trackers[1]?.onEvent();
      trackers[2]?.onEvent();
      await silence(20);
    }
    expect(stalls[0]).toEqual(["r0", { kind: "stage", address: "third:1" }]);
    expect(new Set(stalls.map(([id]) => id))).toEqual(new Set(["r0"]));
    end();
  });

  it("ignores one report that arrives late", async () => {
    const { slowReports, deadEngines, stalls, trackers, silence, stream, end } =
      setUp();
    await stream(3, 1_000);
    slowReports(1);
    deadEngines.add("first");
    for (let step = 0; step < 30; step += 1) {
      trackers[1]?.onEvent();
      trackers[2]?.onEvent();
      await silence(20);
    }
    expect(stalls).toEqual([]);
    end();
  });
});

describe("detection of a request without any event", () => {
  /** Three answers have events for `forMs`, and a fourth one has none. */
  async function leaveOneWithoutEvents(
    { stream, trackers, silence }: ReturnType<typeof setUp>,
    forMs: number,
  ): Promise<void> {
    await stream(3, 1_000);
    await stream(4, 0);
    for (let elapsedMs = 0; elapsedMs < forMs; elapsedMs += 20) {
      for (const tracker of trackers.slice(0, 3)) tracker.onEvent();
      await silence(20);
    }
  }

  // Guards against callers that wait until they give up: an engine takes some
  // requests in and never answers them, while it serves others as usual.
  it("finds one that its engine dropped", async () => {
    const scene = setUp();
    await leaveOneWithoutEvents(scene, 380);
    expect(scene.stalls).toEqual([]);
    await leaveOneWithoutEvents(scene, 300);
    expect(scene.stalls[0]).toEqual(["r3", { kind: "dropped" }]);
    expect(new Set(scene.stalls.map(([id]) => id))).toEqual(new Set(["r3"]));
    scene.end();
  });

  it("lets it wait while requests wait for memory there", async () => {
    const scene = setUp();
    scene.reportWaiting(1);
    await leaveOneWithoutEvents(scene, 1_500);
    expect(scene.stalls).toEqual([]);
    scene.end();
  });

  it("lets it wait while the whole pipeline has no events", async () => {
    const scene = setUp();
    await leaveOneWithoutEvents(scene, 20);
    await scene.silence(1_500);
    expect(scene.stalls).toEqual([]);
    scene.end();
  });

  // Guards against taking the loss of a later stage, which stops all events,
  // for a fault of the first engine.
  it("lets it wait when events have stopped shortly before", async () => {
    const scene = setUp();
    await leaveOneWithoutEvents(scene, 300);
    await scene.silence(340);
    expect(scene.stalls).toEqual([]);
    scene.end();
  });
});

it("stall detection probes all engines of an answer without events", async () => {
  const { deadEngines, stalls, probedEngines, silence, stream, end } = setUp();
  deadEngines.add("third");
  void stream(1, 0);
  await silence(400);
  expect(new Set(probedEngines)).toEqual(new Set(STAGES));
  expect(stalls[0]).toEqual(["r0", { kind: "stage", address: "third:1" }]);
  end();
});

// Guards against leaving answers on an engine that has become slow: their events
// still arrive often enough that the pipeline never counts as silent.
it("stall detection reads all reports when events become slower", async () => {
  const { probedEngines, stream, end } = setUp();
  await stream(10, 2_000);
  expect(probedEngines).toEqual([]);
  await stream(10, 1_500, 2 * EVENT_INTERVAL_MS);
  expect(probedEngines).toEqual(STAGES);
  end();
});

it("stall detection rarely wakes up while events arrive regularly", async () => {
  const { stream, end } = setUp();
  const timers = vi.spyOn(globalThis, "setTimeout");
  await stream(10, 1_000);
  expect(timers.mock.calls.length).toBeLessThanOrEqual(25);
  timers.mockRestore();
  end();
});
