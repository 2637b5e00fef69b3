import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CallerCall } from "../callers/mod.ts";
import { createAdmission } from "./admission.ts";
import { createAdmissionQueues } from "./admission_queues.ts";
import { createAvoidedEngines } from "./avoided_engines.ts";
import type {
  ChosenPipeline,
  PipelineRequest,
  PipelineRouter,
} from "./pipeline_router.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

type EngineState = "free" | "full" | "missing";

function setUp(first: EngineState, deadlineMs = 20_000, elapsedMs = 0) {
  let engines = first;
  let isCutOff = false;
  const caller = new AbortController();
  const avoided = createAvoidedEngines(["e-1"]);
  const pipeline = { stages: [] } as unknown as ChosenPipeline;
  const router = {
    choose: ({ maxLoad }: PipelineRequest) =>
      engines === "free" || (engines === "full" && maxLoad === undefined)
        ? pipeline
        : null,
    hasPipeline: () => engines !== "missing",
    missingLayers: () => (engines === "missing" ? "0-4" : ""),
    countEngines: () => ({ listed: 1, avoided: 0 }),
  } as unknown as PipelineRouter;
  const call = {
    id: "r",
    service: { name: "model" },
    route: { objectiveMs: 500, priority: 0 },
    rawHeaders: [],
    startedAt: performance.now(),
    firstAttemptAt: performance.now() - elapsedMs,
    arrival: elapsedMs > 0 ? "returning" : "first",
    deadlineAt: performance.now() + deadlineMs,
    signal: caller.signal,
  } as unknown as CallerCall;
  const size = { promptTokens: 80, answerTokens: 20 };
  const queues = createAdmissionQueues({ router });
  const admission = createAdmission(
    call,
    { router, queues },
    { size, avoided, isOutOfReach: () => isCutOff },
  );

  /** Returns the decision for one request of a pipeline, and its delay. */
  async function next(
    hasBegun: boolean,
    stateChanges: [number, EngineState][] = [],
  ) {
    const startedAt = performance.now();
    const outcome = admission.admit({ hasBegun }).then((admitted) => ({
      result: admitted.kind === "refused" ? admitted.reason : admitted.kind,
      afterMs: performance.now() - startedAt,
    }));
    for (const [atMs, nextState] of stateChanges) {
      const waitMs = startedAt + atMs - performance.now();
      await vi.advanceTimersByTimeAsync(waitMs);
      engines = nextState;
    }
    await vi.advanceTimersByTimeAsync(10_000);
    return await outcome;
  }

  return {
    next,
    avoided,
    admission,
    queues,
    caller,
    cutOff() {
      isCutOff = true;
    },
    setEngines(state: EngineState) {
      engines = state;
    },
  };
}

describe("admission of a new answer", () => {
  it("admits at once when an engine has room", async () => {
    const { next } = setUp("free");
    expect(await next(false)).toEqual({ result: "admitted", afterMs: 0 });
  });

  it("waits for memory that ending answers free", async () => {
    const { next } = setUp("full");
    const admitted = await next(false, [[90, "free"]]);
    expect(admitted).toEqual({ result: "admitted", afterMs: 100 });
  });

  // Guards against a wait for freed memory that lasts up to the next poll.
  it("is admitted as soon as an answer of this instance ends", async () => {
    const { admission, queues, setEngines } = setUp("full");
    const startedAt = performance.now();
    const admitted = admission.admit({ hasBegun: false });
    await vi.advanceTimersByTimeAsync(30);
    setEngines("free");
    queues.pump();
    expect((await admitted).kind).toBe("admitted");
    expect(performance.now() - startedAt).toBe(30);
  });

  // Guards against a refusal that leaves its caller no time for a retry.
  it.each([
    ["a quarter of the time that is left", 2_000, 500],
    ["two objectives", 20_000, 1_000],
  ])("refuses after %s", async (_, deadlineMs, afterMs) => {
    const { next } = setUp("full", deadlineMs);
    expect(await next(false)).toEqual({ result: "no_room", afterMs });
  });

  // Guards against returning callers that are refused whenever engines are full,
  // since the time for a start within the objective has passed.
  it("lets a returning caller wait from its arrival on", async () => {
    const { next } = setUp("full", 17_000, 3_000);
    const admitted = await next(false, [[700, "free"]]);
    expect(admitted.result).toBe("admitted");
    expect(admitted.afterMs).toBeLessThanOrEqual(800);
  });

  it("shares one wait among the runs of a call", async () => {
    const { next } = setUp("full", 2_000);
    await next(false);
    expect(await next(false)).toEqual({ result: "no_room", afterMs: 0 });
  });

  it("refuses at once when its engines are lost while it waits", async () => {
    const { admission, queues, setEngines } = setUp("full");
    const startedAt = performance.now();
    const refused = admission.admit({ hasBegun: false });
    await vi.advanceTimersByTimeAsync(50);
    setEngines("missing");
    queues.fleetChanged();
    expect(await refused).toMatchObject({ reason: "no_pipeline" });
    expect(performance.now() - startedAt).toBe(50);
  });

  it("leaves the queue at once when its caller leaves", async () => {
    const { admission, queues, caller } = setUp("full");
    const refused = admission.admit({ hasBegun: false });
    await vi.advanceTimersByTimeAsync(50);
    expect(queues.waitingRequests()).toEqual(new Map([[0, 1]]));
    caller.abort();
    expect(await refused).toMatchObject({ cause: "caller_left" });
    expect(queues.waitingRequests()).toEqual(new Map());
    expect(vi.getTimerCount()).toBe(0);
  });

  it("refuses at once when no engine holds a layer", async () => {
    const { next } = setUp("missing");
    expect(await next(false)).toEqual({ result: "no_pipeline", afterMs: 0 });
  });
});

describe("admission of an answer that has begun", () => {
  it("waits until missing layers are loaded", async () => {
    const { next, avoided } = setUp("missing");
    const admitted = await next(true, [[1_350, "free"]]);
    expect(admitted).toEqual({ result: "admitted", afterMs: 1_400 });
    expect([...avoided]).toEqual([]);
  });

  // Guards against an engine that is asked again while the answer waits, though
  // it has just rejected the call.
  it("keeps away from an engine that has just rejected it", async () => {
    const { next, avoided } = setUp("missing");
    avoided.reject("e-2");
    await next(true, [[350, "free"]]);
    expect([...avoided]).toEqual(["e-2"]);
  });

  it("uses full engines after the wait instead of cutting the answer", async () => {
    const { next } = setUp("full");
    expect(await next(true)).toEqual({ result: "admitted", afterMs: 4_000 });
  });

  it("refuses when layers stay missing", async () => {
    const { next } = setUp("missing");
    expect(await next(true)).toEqual({ result: "no_pipeline", afterMs: 4_000 });
  });

  it("stops to wait when all engines go out of reach", async () => {
    const { admission, cutOff } = setUp("full");
    const startedAt = performance.now();
    const decision = admission.admit({ hasBegun: true });
    await vi.advanceTimersByTimeAsync(250);
    cutOff();
    await vi.advanceTimersByTimeAsync(50);
    expect(await decision).toEqual({ kind: "out_of_reach" });
    expect(performance.now() - startedAt).toBe(300);
  });

  it("is refused when the instance stops at the end of its grace", async () => {
    const { admission, queues } = setUp("full");
    const refused = admission.admit({ hasBegun: true });
    await vi.advanceTimersByTimeAsync(250);
    queues.stop();
    expect(await refused).toMatchObject({ cause: "stopped" });
  });
});
