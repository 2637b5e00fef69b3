import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createSlowEngines, type SlowEngines } from "./slow_engines.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** An engine reports the given slowdowns in turn; `null` for no answer. */
function setUp(reports: readonly (number | null)[]) {
  const remaining = [...reports];
  let probeCount = 0;
  const slowEngines: SlowEngines = createSlowEngines({
    async probe(id) {
      probeCount += 1;
      const slowdown = remaining.shift() ?? null;
      if (slowdown !== null) slowEngines.record(id, slowdown);
      return slowdown !== null;
    },
    signal: new AbortController().signal,
  });
  return { slowEngines, probeCount: () => probeCount };
}

describe("record of slow engines", () => {
  it("follows an engine until it reports to be as fast as its kind", async () => {
    const { slowEngines, probeCount } = setUp([8, 5, 1]);
    slowEngines.record("e", 12);
    slowEngines.record("e", 12);
    expect(slowEngines.slowdownOf("e")).toBe(12);
    await vi.advanceTimersByTimeAsync(3_100);
    expect(slowEngines.slowdownOf("e")).toBe(5);
    await vi.advanceTimersByTimeAsync(60_000);
    expect(slowEngines.slowdownOf("e")).toBe(1);
    expect(probeCount()).toBe(3);
  });

  // An engine that is lost while it is slow comes back as fast as its kind.
  it("forgets an engine that no longer answers", async () => {
    const { slowEngines, probeCount } = setUp([null]);
    slowEngines.record("e", 12);
    await vi.advanceTimersByTimeAsync(60_000);
    expect(slowEngines.slowdownOf("e")).toBe(1);
    expect(probeCount()).toBe(1);
  });

  it("stops following an engine that is forgotten", async () => {
    const { slowEngines, probeCount } = setUp([12]);
    slowEngines.record("e", 12);
    slowEngines.forget("e");
    await vi.advanceTimersByTimeAsync(60_000);
    expect([slowEngines.slowdownOf("e"), probeCount()]).toEqual([1, 0]);
  });

  it.each([0, 0.5, 1.1, 1e9, Number.NaN])("ignores a slowdown of %d", (x) => {
    const { slowEngines } = setUp([]);
    slowEngines.record("e", x);
    expect(slowEngines.slowdownOf("e")).toBe(1);
  });
});
