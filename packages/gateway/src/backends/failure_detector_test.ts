import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createFailureDetector } from "./failure_detector.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function setUp(probe: (id: string) => boolean | null) {
  const controller = new AbortController();
  const probed: string[] = [];
  const detector = createFailureDetector({
    signal: controller.signal,
    async probe(id) {
      probed.push(id);
      return probe(id);
    },
  });
  return { detector, probed, end: () => controller.abort() };
}

describe("backend server that failed to answer", () => {
  it("gets no requests until it answers a probe", async () => {
    // A stage stops answering. If its suspicion expired by time, a batch of
    // answers would be sent to it each time and stall for seconds.
    let works = false;
    const { detector, end } = setUp(() => works);
    detector.reportFailure("e", "silent");
    await vi.advanceTimersByTimeAsync(20_000);
    expect(detector.isAvoided("e")).toBe(true);
    works = true;
    await vi.advanceTimersByTimeAsync(1_500);
    expect(detector.isAvoided("e")).toBe(false);
    end();
  });

  it("counts as dead after two missed probes, not before", async () => {
    // An engine is slow once. If the planner replaced it at once, the layers
    // that its replacements release would be missing in other pipelines.
    const { detector, probed, end } = setUp(() => false);
    detector.reportFailure("e", "silent");
    await vi.advanceTimersByTimeAsync(0);
    expect(detector.isDead("e")).toBe(false);
    await vi.advanceTimersByTimeAsync(200);
    expect(probed.length).toBe(2);
    expect(detector.isDead("e")).toBe(false);
    await vi.advanceTimersByTimeAsync(400);
    expect(detector.isDead("e")).toBe(true);
    end();
  });

  it("counts as dead at once when its address refuses connections", () => {
    const { detector, end } = setUp(() => false);
    detector.reportFailure("e", "ended");
    expect(detector.isDead("e")).toBe(true);
    end();
  });

  it("gets requests after a restart", () => {
    const { detector, end } = setUp(() => false);
    detector.reportFailure("e", "ended");
    detector.reportSuccess("e");
    expect(detector.isAvoided("e")).toBe(false);
    expect(detector.isDead("e")).toBe(false);
    end();
  });
});

it("a server that refused a request is avoided for less than 300 ms", () => {
  const { detector, end } = setUp(() => true);
  detector.reportRefusal("e");
  expect(detector.isAvoided("e")).toBe(true);
  expect(detector.isDead("e")).toBe(false);
  vi.advanceTimersByTime(300);
  expect(detector.isAvoided("e")).toBe(false);
  end();
});

it("a server without probes gets requests after an exponential backoff", async () => {
  const { detector, end } = setUp(() => null);
  const waits: number[] = [];
  for (let failure = 0; failure < 5; failure += 1) {
    detector.reportFailure("p", "silent");
    await vi.advanceTimersByTimeAsync(0);
    let waited = 0;
    while (detector.isAvoided("p")) {
      await vi.advanceTimersByTimeAsync(100);
      waited += 100;
    }
    waits.push(waited);
  }
  expect(waits).toEqual([800, 1_600, 3_200, 6_400, 6_400]);
  expect(detector.isDead("p")).toBe(false);
  end();
});
