import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CallerCall } from "../callers/mod.ts";
import { createAdmission } from "./admission.ts";
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

function setUp(first: EngineState) {
  let engines = first;
  const avoided = new Set(["e-1"]);
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
    service: {},
    route: { objectiveMs: 500 },
    signal: new AbortController().signal,
  } as CallerCall;
  const size = { promptTokens: 80, answerTokens: 20 };
  const admission = createAdmission(call, router, {
    size,
    avoided,
    isOutOfReach: () => false,
  });

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

  return { next, avoided };
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

  it("refuses early enough for a retry within the objective", async () => {
    const { next } = setUp("full");
    expect(await next(false)).toEqual({ result: "no_room", afterMs: 140 });
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

  it("uses full engines after the wait instead of cutting the answer", async () => {
    const { next } = setUp("full");
    expect(await next(true)).toEqual({ result: "admitted", afterMs: 4_000 });
  });

  it("refuses when layers stay missing", async () => {
    const { next } = setUp("missing");
    expect(await next(true)).toEqual({ result: "no_pipeline", afterMs: 4_000 });
  });
});
