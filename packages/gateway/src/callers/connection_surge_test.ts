import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  type ConnectionSurge,
  createConnectionSurge,
} from "./connection_surge.ts";

let surge: ConnectionSurge;

beforeEach(() => {
  vi.useFakeTimers();
  surge = createConnectionSurge();
});
afterEach(() => {
  surge.stop();
  vi.useRealTimers();
});

/** Offers connections at a rate; returns how many are accepted. */
function offer(perSecond: number, durationMs: number, lagMs = 0): number {
  const intervalMs = 1_000 / perSecond;
  let accepted = 0;
  let sinceLagMs = 0;
  for (let at = 0; at < durationMs; at += intervalMs) {
    vi.advanceTimersByTime(intervalMs);
    sinceLagMs += intervalMs;
    if (lagMs > 0 && sinceLagMs >= 200) {
      // A blocked process runs no timers while time goes on.
      blockFor(lagMs);
      sinceLagMs = 0;
    }
    if (surge.mayAccept()) accepted += 1;
  }
  return accepted;
}

/** Lets time pass without firing the timers that are due meanwhile. */
function blockFor(durationMs: number): void {
  const now = performance.now() + durationMs;
  const clock = vi.spyOn(performance, "now").mockReturnValue(now);
  vi.advanceTimersByTime(60);
  clock.mockRestore();
  vi.advanceTimersByTime(durationMs - 60);
}

describe("new connections", () => {
  it("are all accepted at the usual rate, also by a process that lags", () => {
    expect(offer(20, 10_000)).toBe(200);
    expect(offer(20, 5_000, 200)).toBe(100);
  });

  it("are all accepted in a surge while the process keeps up", () => {
    offer(20, 10_000);
    expect(offer(200, 3_000)).toBe(600);
  });

  // Guards against an instance that most callers of a region connect to, and
  // that is too busy with reading their requests to answer any.
  it("are closed in a surge beyond twice the usual rate once it lags", () => {
    offer(20, 10_000);
    offer(200, 1_000, 200);
    const accepted = offer(200, 3_000, 200);
    expect(accepted).toBeGreaterThan(3 * 20);
    expect(accepted).toBeLessThan(3 * 20 * 4);
  });

  // Guards against an instance that takes no new connection at all.
  it("are accepted in part for as long as the surge lasts", () => {
    offer(20, 10_000);
    for (let second = 0; second < 10; second += 1)
      expect(offer(400, 1_000, 200)).toBeGreaterThan(0);
  });

  it("are all accepted again after the surge", () => {
    offer(20, 10_000);
    offer(200, 3_000, 200);
    offer(20, 2_000);
    expect(offer(20, 2_000)).toBe(40);
  });

  // Guards against a pause of the process, after which it has nothing to do, that
  // is taken for overload.
  it("are all accepted in a surge after a single pause", () => {
    offer(20, 10_000);
    expect(offer(100, 1_000)).toBe(100);
    blockFor(150);
    expect(offer(100, 1_500)).toBe(150);
  });

  // Guards against callers who come back after an outage, and are taken for many
  // more than usual because there were none meanwhile.
  it("are all accepted when callers come after a time without any", () => {
    vi.advanceTimersByTime(20_000);
    expect(offer(100, 3_000, 200)).toBe(300);
  });

  it("are all accepted by an instance that has just started", () => {
    expect(offer(300, 4_000, 200)).toBe(1_200);
  });
});
