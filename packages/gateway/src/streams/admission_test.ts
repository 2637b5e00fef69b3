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

type Engines = "free" | "full" | "missing";

function setUp(first: Engines) {
  let engines = first;
  const avoided = new Set(["e-1"]);
  const pipeline = { stages: [] } as unknown as ChosenPipeline;
  const router = {
    choose: ({ mostLoad }: PipelineRequest) =>
      engines === "free" || (engines === "full" && mostLoad === undefined)
        ? pipeline
        : null,
    hasRoom: () => engines !== "missing",
    missingLayers: () => (engines === "missing" ? "0-4" : ""),
  } as unknown as PipelineRouter;
  const call = {
    id: "r",
    service: {},
    route: { objectiveMs: 500 },
    signal: new AbortController().signal,
  } as CallerCall;
  const size = { promptTokens: 80, answerTokens: 20 };
  const admission = createAdmission(call, router, { size, avoided });

  /** Asks for a pipeline and tells what came of it, and when. */
  async function next(hasBegun: boolean, turns: [number, Engines][] = []) {
    const startedAt = performance.now();
    const asked = admission.next({ hasBegun }).then((admitted) => ({
      result: admitted.kind === "admitted" ? "admitted" : admitted.reason,
      afterMs: performance.now() - startedAt,
    }));
    for (const [atMs, turn] of turns) {
      const waitMs = startedAt + atMs - performance.now();
      await vi.advanceTimersByTimeAsync(waitMs);
      engines = turn;
    }
    await vi.advanceTimersByTimeAsync(10_000);
    return await asked;
  }

  return { next, avoided };
}

describe("a new answer", () => {
  it("is admitted at once where there is room", async () => {
    const { next } = setUp("free");
    expect(await next(false)).toEqual({ result: "admitted", afterMs: 0 });
  });

  it("waits a moment for room, as answers end all the time", async () => {
    const { next } = setUp("full");
    const admitted = await next(false, [[90, "free"]]);
    expect(admitted).toEqual({ result: "admitted", afterMs: 100 });
  });

  it("is refused while it still could come back on time", async () => {
    const { next } = setUp("full");
    expect(await next(false)).toEqual({ result: "no_room", afterMs: 140 });
  });

  it("is refused at once where nobody holds a layer", async () => {
    const { next } = setUp("missing");
    expect(await next(false)).toEqual({ result: "no_pipeline", afterMs: 0 });
  });
});

describe("an answer that has begun", () => {
  it("waits for layers that are being loaded", async () => {
    const { next, avoided } = setUp("missing");
    const admitted = await next(true, [[1_350, "free"]]);
    expect(admitted).toEqual({ result: "admitted", afterMs: 1_400 });
    expect([...avoided]).toEqual([]);
  });

  it("is sent to full engines in the end, sooner than cut", async () => {
    const { next } = setUp("full");
    expect(await next(true)).toEqual({ result: "admitted", afterMs: 4_000 });
  });

  it("is given up where layers stay missing", async () => {
    const { next } = setUp("missing");
    expect(await next(true)).toEqual({ result: "no_pipeline", afterMs: 4_000 });
  });
});
