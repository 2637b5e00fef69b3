import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDomainLinks } from "./domain_links.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const PAIR = ["a", "b"] as const;

/** A link that passes on one prompt after the other, shared by instances. */
function playLink(options: {
  readonly instances: number;
  readonly senders: number;
  readonly transferMs: number;
  readonly seconds: number;
}) {
  const { instances, senders, transferMs, seconds } = options;
  const all = Array.from({ length: senders }, () =>
    createDomainLinks(() => instances),
  );
  const startedAt = performance.now();
  let freeAt = startedAt;
  let maxWaitMs = 0;
  let passed = 0;
  while (performance.now() - startedAt < seconds * 1_000) {
    for (const links of all) {
      if (!links.isFree(PAIR)) continue;
      links.send(PAIR, transferMs);
      const now = performance.now();
      freeAt = Math.max(now, freeAt) + transferMs;
      const waitMs = freeAt - now;
      setTimeout(() => links.observeFirstEvent(PAIR, waitMs), waitMs);
      maxWaitMs = Math.max(maxWaitMs, waitMs);
      passed += 1;
    }
    vi.advanceTimersByTime(10);
  }
  return { maxWaitMs, busyShare: (passed * transferMs) / (seconds * 1_000) };
}

describe("links between failure domains", () => {
  // Guards against first events that wait behind all prompts on a link: callers
  // leave after some seconds.
  it.each([
    [9, 9, 130],
    [9, 3, 130],
    [39, 39, 25],
    [39, 13, 25],
    [3, 1, 130],
  ])(
    "of %d instances are used by %d without a long queue",
    (instances, senders, transferMs) => {
      const played = playLink({ instances, senders, transferMs, seconds: 30 });
      expect(played.maxWaitMs).toBeLessThan(1_500);
      expect(played.busyShare).toBeGreaterThan(0.45);
    },
  );

  it("are counted each, in both directions together", () => {
    const links = createDomainLinks(() => 1);
    links.send(["a", "b"], 700);
    expect(links.backlogMs(["b", "a"])).toBeCloseTo(1_000, 6);
    expect(links.isFree(["b", "a"])).toBe(false);
    expect(links.isFree(["a", "c"])).toBe(true);
    vi.advanceTimersByTime(1_000);
    expect(links.isFree(["a", "b"])).toBe(true);
  });

  // Guards against a link that stays unused though it is idle, since only
  // answers that pass it would show that.
  it("are used again within seconds after late answers", () => {
    const links = createDomainLinks(() => 12);
    for (let late = 0; late < 20; late += 1) {
      links.send(PAIR, 262);
      links.observeFirstEvent(PAIR, 2_000);
      vi.advanceTimersByTime(100);
    }
    let sent = 0;
    for (let second = 0; second < 20; second += 1) {
      vi.advanceTimersByTime(1_000);
      if (!links.isFree(PAIR)) continue;
      links.send(PAIR, 262);
      links.observeFirstEvent(PAIR, 100);
      sent += 1;
    }
    expect(sent).toBeGreaterThanOrEqual(5);
  });
});
