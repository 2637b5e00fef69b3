import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLinkSpeeds, type Link } from "./answer_link_speeds.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function link(from: string, to: string): Link {
  return {
    from: { engine: from, failureDomain: "dar" },
    to: { engine: to, failureDomain: "tanga" },
  };
}

const SLOW = { bytes: 1_000, durationMs: 1_000 };
const UNMEASURED = createLinkSpeeds().bytesPerSecond(link("a", "b"));

describe("link speeds", () => {
  it("an unmeasured pair has its domains' speed, or a usual one", () => {
    const speeds = createLinkSpeeds();
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(UNMEASURED);
    speeds.observe(link("a", "b"), SLOW);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("c", "d"))).toBe(1_000);
  });

  /**
   * One engine freezes in the middle of a transfer. Taken as the speed of its
   * whole failure domain, that would stop all imports out of the domain.
   */
  it("a transfer that was given up speaks of the two engines only", () => {
    const speeds = createLinkSpeeds();
    speeds.observeGivenUp(link("a", "b"), SLOW);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("c", "d"))).toBe(UNMEASURED);
  });

  /**
   * A link is slow for a minute. Nothing is imported over it any more, so
   * nothing measures it again: kept for good, the old measure would make every
   * later answer recompute.
   */
  it("a measure is forgotten after a while", () => {
    const speeds = createLinkSpeeds({ forgetMs: 30_000 });
    speeds.observe(link("a", "b"), SLOW);
    vi.advanceTimersByTime(29_000);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    vi.advanceTimersByTime(1_000);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(UNMEASURED);
  });

  it("only the pairs that were measured last are kept", () => {
    const speeds = createLinkSpeeds();
    for (let number = 0; number < 600; number++) {
      speeds.observeGivenUp(link(`engine-${number}`, "b"), SLOW);
    }
    expect(speeds.bytesPerSecond(link("engine-599", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("engine-0", "b"))).toBe(UNMEASURED);
  });
});
