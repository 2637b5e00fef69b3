import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { CallerCall } from "../callers/mod.ts";
import { createAdmission } from "./admission.ts";
import {
  type AdmissionQueuesOptions,
  createAdmissionQueues,
} from "./admission_queues.ts";
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

const service = { name: "model" };

/** Engines of which `used` tenths are in use; each request wants one. */
function setUp(options: Omit<AdmissionQueuesOptions, "router"> = {}) {
  const engines = { used: 10, searches: 0, coverageSearches: 0 };
  const router = {
    choose({ maxLoad = Infinity }: PipelineRequest) {
      engines.searches += 1;
      if ((engines.used + 1) / 10 > maxLoad) return null;
      engines.used += 1;
      return { stages: [] } as unknown as ChosenPipeline;
    },
    hasPipeline() {
      engines.coverageSearches += 1;
      return true;
    },
    missingLayers: () => "",
    countEngines: () => ({ listed: 1, avoided: 0 }),
  } as unknown as PipelineRouter;
  const queues = createAdmissionQueues({ router, ...options });
  const admitted: unknown[] = [];
  const refused: unknown[] = [];
  const observer = {
    admitted: (...facts: unknown[]) => admitted.push(facts),
    refused: (...facts: unknown[]) => refused.push(facts),
  };

  function admit(priority: number, elapsedMs = 0) {
    const call = {
      id: "r",
      service,
      route: { objectiveMs: 500, priority },
      rawHeaders: [],
      startedAt: performance.now(),
      firstAttemptAt: performance.now() - elapsedMs,
      arrival: elapsedMs > 0 ? "returning" : "first",
      deadlineAt: performance.now() + 20_000,
      signal: new AbortController().signal,
    } as unknown as CallerCall;
    const admission = createAdmission(
      call,
      { router, queues, observer },
      {
        size: { promptTokens: 80, answerTokens: 20 },
        avoided: createAvoidedEngines(),
        isOutOfReach: () => false,
      },
    );
    return admission.admit({ hasBegun: false });
  }

  return { engines, queues, admit, admitted, refused };
}

describe("admission queue of a service", () => {
  // Guards against searches that grow with the number of waiting requests, as
  // when each of them polled.
  it("searches once for each pump while many requests wait", async () => {
    const { engines, admit } = setUp();
    for (let index = 0; index < 100; index += 1) void admit(1);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(engines.searches).toBe(1 + 10);
    expect(engines.coverageSearches).toBeLessThanOrEqual(1 + 10);
  });

  it("admits the urgent request first, whichever waits for longer", async () => {
    const { engines, queues, admit, admitted } = setUp();
    void admit(2);
    await vi.advanceTimersByTimeAsync(30);
    void admit(0);
    await vi.advanceTimersByTimeAsync(30);
    engines.used -= 1;
    queues.pump();
    await vi.advanceTimersByTimeAsync(0);
    expect(admitted).toEqual([[0, "first", 30]]);
    expect(queues.waitingRequests()).toEqual(new Map([[2, 1]]));
  });

  it("admits a class up to its load limit", async () => {
    const { engines, admit } = setUp({
      loadLimitOf: (_, priority) => (priority === 0 ? 1 : 0.6),
    });
    engines.used = 6;
    void admit(1);
    expect((await admit(0)).kind).toBe("admitted");
    expect(engines.used).toBe(7);
  });

  it("tells the recorder what arrives and waits", async () => {
    const recorder = {
      arrived: vi.fn(),
      waitingChanged: vi.fn(),
      heldChanged: vi.fn(),
    };
    const { engines, queues, admit } = setUp({ recorder });
    const admitted = admit(1);
    expect(recorder.arrived).toHaveBeenCalledWith("model", 1, 100);
    expect(recorder.waitingChanged).toHaveBeenLastCalledWith("model", 1, 100);
    engines.used = 0;
    queues.pump();
    await admitted;
    expect(recorder.waitingChanged).toHaveBeenLastCalledWith("model", 1, -100);
  });

  it.each([
    // Two objectives less 280.
    ["counts the time to the first event", 0, 720],
    ["counts a returning caller's wait from its arrival", 1_000, 720],
  ])("%s", async (_, elapsedMs, waitMs) => {
    const { queues, admit, refused } = setUp();
    queues.observeFirstEvent("model", 300);
    queues.observeFirstEvent("model", 100);
    expect(queues.expectedFirstEventMs("model")).toBeCloseTo(280);
    const decision = admit(0, elapsedMs);
    await vi.advanceTimersByTimeAsync(waitMs - 1);
    expect(refused).toEqual([]);
    await vi.advanceTimersByTimeAsync(1);
    expect(await decision).toMatchObject({
      reason: "no_room",
      cause: "too_late",
      cost: 100,
      expectedWaitMs: 0,
      costPerSecond: 0,
    });
    expect(refused).toEqual([[0, "too_late"]]);
    expect(vi.getTimerCount()).toBe(0);
  });
});
