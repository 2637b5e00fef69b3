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

const SLOW_TRANSFER = { bytes: 1_000, durationMs: 1_000 };
const DEFAULT_SPEED = createLinkSpeeds().bytesPerSecond(link("a", "b"));

describe("link speeds", () => {
  it("fall back to the failure domains, then to a default", () => {
    const speeds = createLinkSpeeds();
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(DEFAULT_SPEED);
    speeds.observe(link("a", "b"), SLOW_TRANSFER);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("c", "d"))).toBe(1_000);
  });

  /**
   * One engine freezes during a transfer. If that counted for its failure
   * domain, no engine of the domain would be used as an import source any more.
   */
  it("count a timed-out transfer for its two engines only", () => {
    const speeds = createLinkSpeeds();
    speeds.observeTimeout(link("a", "b"), SLOW_TRANSFER);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("c", "d"))).toBe(DEFAULT_SPEED);
  });

  /**
   * A link is slow for a minute. It gets no more imports and hence no new
   * measurement: without expiry, all later answers would recompute.
   */
  it("expire without new transfers", () => {
    const speeds = createLinkSpeeds({ expiryMs: 30_000 });
    speeds.observe(link("a", "b"), SLOW_TRANSFER);
    vi.advanceTimersByTime(29_000);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(1_000);
    vi.advanceTimersByTime(1_000);
    expect(speeds.bytesPerSecond(link("a", "b"))).toBe(DEFAULT_SPEED);
  });

  it("evict the least recently measured pairs", () => {
    const speeds = createLinkSpeeds();
    for (let number = 0; number < 600; number++) {
      speeds.observeTimeout(link(`engine-${number}`, "b"), SLOW_TRANSFER);
    }
    expect(speeds.bytesPerSecond(link("engine-599", "b"))).toBe(1_000);
    expect(speeds.bytesPerSecond(link("engine-0", "b"))).toBe(DEFAULT_SPEED);
  });
});
