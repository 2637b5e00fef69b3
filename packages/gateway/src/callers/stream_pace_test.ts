import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createStreamPace } from "./stream_pace.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe("stream pace", () => {
  it("reports the first event and the longest pause", () => {
    const pace = createStreamPace(performance.now());
    for (const waitMs of [80, 40, 300, 50]) {
      vi.advanceTimersByTime(waitMs);
      pace.event();
    }
    expect(pace.summary()).toEqual({
      events: 4,
      firstMs: 80,
      pauseMs: 300,
      pauseAtMs: 120,
    });
  });

  it("reports no pause before the first event", () => {
    const pace = createStreamPace(performance.now());
    vi.advanceTimersByTime(500);
    expect(pace.summary()).toEqual({
      events: 0,
      firstMs: null,
      pauseMs: 0,
      pauseAtMs: 0,
    });
  });
});
