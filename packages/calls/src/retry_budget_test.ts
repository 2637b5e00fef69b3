import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRetryBudget } from "./retry_budget.ts";

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

function takeAll(budget: ReturnType<typeof createRetryBudget>): number {
  let taken = 0;
  while (budget.take()) taken += 1;
  return taken;
}

describe("retry budget of a process of the daemon", () => {
  // Guards against restarts in series that each give the initial retries out.
  it("gives out few retries at starts in series, and ten after a window", () => {
    const lives = [1, 2, 3, 4].map(() => {
      vi.advanceTimersByTime(1_000);
      return takeAll(createRetryBudget());
    });
    expect(lives).toEqual([2, 2, 2, 2]);
    const budget = createRetryBudget();
    vi.advanceTimersByTime(10_000);
    expect(takeAll(budget)).toBe(10);
  });

  it("gives out the other initial retries once", () => {
    const budget = createRetryBudget();
    expect(takeAll(budget)).toBe(2);
    vi.advanceTimersByTime(10_000);
    expect(takeAll(budget)).toBe(8);
    vi.advanceTimersByTime(10_000);
    expect(takeAll(budget)).toBe(0);
    for (let call = 0; call < 25; call += 1) budget.countCall();
    expect(takeAll(budget)).toBe(2);
  });
});
