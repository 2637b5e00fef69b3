import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createFailureDetector } from "./failure_detector.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function setUp(probe: (id: string) => boolean | null) {
  const ending = new AbortController();
  const probed: string[] = [];
  const detector = createFailureDetector({
    signal: ending.signal,
    async probe(id) {
      probed.push(id);
      return probe(id);
    },
  });
  return { detector, probed, end: () => ending.abort() };
}

describe("a backend server that was silent", () => {
  it("is left alone until it answers a probe", async () => {
    // A stage goes dark. Each time its suspicion ran out by itself, a batch of
    // answers was sent to it and stood still for seconds.
    let works = false;
    const { detector, end } = setUp(() => works);
    detector.away("e", "silent");
    await vi.advanceTimersByTimeAsync(20_000);
    expect(detector.isAvoided("e")).toBe(true);
    works = true;
    await vi.advanceTimersByTimeAsync(1_500);
    expect(detector.isAvoided("e")).toBe(false);
    end();
  });

  it("is gone after two probes without an answer, not before", async () => {
    // The planner moved engines into the place of one that had only been
    // slow once: layers that they gave up were missing in other pipelines.
    const { detector, probed, end } = setUp(() => false);
    detector.away("e", "silent");
    await vi.advanceTimersByTimeAsync(0);
    expect(detector.isGone("e")).toBe(false);
    await vi.advanceTimersByTimeAsync(200);
    expect(probed.length).toBe(2);
    expect(detector.isGone("e")).toBe(false);
    await vi.advanceTimersByTimeAsync(400);
    expect(detector.isGone("e")).toBe(true);
    end();
  });

  it("is gone at once when its address refuses connections", () => {
    const { detector, end } = setUp(() => false);
    detector.away("e", "ended");
    expect(detector.isGone("e")).toBe(true);
    end();
  });

  it("is trusted when it starts anew", () => {
    const { detector, end } = setUp(() => false);
    detector.away("e", "ended");
    detector.worked("e");
    expect(detector.isAvoided("e")).toBe(false);
    expect(detector.isGone("e")).toBe(false);
    end();
  });
});

it("a server that refused is kept away from for a moment only", () => {
  const { detector, end } = setUp(() => true);
  detector.refused("e");
  expect(detector.isAvoided("e")).toBe(true);
  expect(detector.isGone("e")).toBe(false);
  vi.advanceTimersByTime(300);
  expect(detector.isAvoided("e")).toBe(false);
  end();
});

it("a server without probes is tried again after a longer time each", async () => {
  const { detector, end } = setUp(() => null);
  const waits: number[] = [];
  for (let failure = 0; failure < 5; failure += 1) {
    detector.away("p", "silent");
    await vi.advanceTimersByTimeAsync(0);
    let waited = 0;
    while (detector.isAvoided("p")) {
      await vi.advanceTimersByTimeAsync(100);
      waited += 100;
    }
    waits.push(waited);
  }
  expect(waits).toEqual([800, 1_600, 3_200, 6_400, 6_400]);
  expect(detector.isGone("p")).toBe(false);
  end();
});
