import { OTHER_SERIES_NAME } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createServiceLevels } from "./service_levels.ts";

const MINUTE_MS = 60_000;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function create() {
  const targets = {
    firstToken: 0.95,
    betweenTokens: 0.95,
    booking: 0.99,
    note: 0.95,
  };
  return createServiceLevels({
    instance: "entry-1",
    failureDomain: "a",
    targets,
  });
}

const key = {
  objective: "firstToken",
  organisation: "kano",
  name: "assist",
} as const;

describe("service level counter", () => {
  it("drops events from the fast window after five minutes and from the slow one after an hour", () => {
    const levels = create();
    levels.count(key, false);
    vi.advanceTimersByTime(4 * MINUTE_MS);
    levels.count(key, true);
    expect(levels.read().series[0]).toMatchObject({
      fast: { total: 2, missed: 1 },
      slow: { total: 2, missed: 1 },
    });
    vi.advanceTimersByTime(5 * MINUTE_MS);
    expect(levels.read().series[0]).toMatchObject({
      fast: { total: 0, missed: 0 },
      slow: { total: 2, missed: 1 },
    });
    vi.advanceTimersByTime(60 * MINUTE_MS);
    expect(levels.read().series).toEqual([]);
  });

  it("returns the counts per minute, oldest first", () => {
    const levels = create();
    levels.count(key, false);
    vi.advanceTimersByTime(2 * MINUTE_MS);
    levels.count(key, true);
    const { firstToken } = levels.read().minutes;
    expect(firstToken).toHaveLength(60);
    expect(firstToken.slice(-3)).toEqual([
      { total: 1, missed: 1 },
      { total: 0, missed: 0 },
      { total: 1, missed: 0 },
    ]);
  });

  // If 6,400 organisations use 16 models within an hour, a series for each pair
  // would exceed the memory limit of the control software on an instance.
  it("limits the number of series without losing the largest one or any event", () => {
    const levels = create();
    for (let index = 0; index < 10_000; index++) {
      const organisation = `org-${index}`;
      levels.count({ ...key, organisation }, true);
      levels.count(key, index % 2 === 0);
    }
    const { series } = levels.read();
    expect(series.length).toBeLessThanOrEqual(1_024);
    const total = series.reduce((sum, { slow }) => sum + slow.total, 0);
    expect(total).toBe(20_000);
    const kano = series.find(({ organisation }) => organisation === "kano");
    expect(kano?.slow).toEqual({ total: 10_000, missed: 5_000 });
    expect(
      series.some(({ organisation }) => organisation === OTHER_SERIES_NAME),
    ).toBe(true);
  });
});
