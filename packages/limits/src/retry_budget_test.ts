import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRetryBudget } from "./retry_budget.ts";

const settings = { ratio: 0.2, windowMs: 10_000, slack: 40 };
const ownShare = () => ({ slack: 1 / 4, ratio: 1 });

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

function takeAllRetries(budget: ReturnType<typeof createRetryBudget>): number {
  let taken = 0;
  for (let retry = budget.takeRetry("s"); retry; taken += 1) {
    retry.send();
    retry = budget.takeRetry("s");
  }
  return taken;
}

describe("retry budget", () => {
  it("adds a share of local requests to a part of the fixed allowance", () => {
    const budget = createRetryBudget(settings, ownShare);
    expect(takeAllRetries(budget)).toBe(7);
    for (let request = 0; request < 100; request += 1) budget.countRequest("s");
    expect(takeAllRetries(budget)).toBe(15);
  });

  it("is restored as the window slides", () => {
    const budget = createRetryBudget(settings, ownShare);
    takeAllRetries(budget);
    vi.advanceTimersByTime(9_000);
    expect(budget.takeRetry("s")).toBeNull();
    vi.advanceTimersByTime(2_000);
    expect(takeAllRetries(budget)).toBe(7);
  });

  it("stays within the limit for all instances together", () => {
    // Guards against each instance using the whole allowance because it does
    // not know of the others: four times the retries that services can bear.
    const budgets = [1, 2, 3, 4].map(() =>
      createRetryBudget(settings, ownShare),
    );
    const taken = budgets.reduce(
      (sum, budget) => sum + takeAllRetries(budget),
      0,
    );
    expect(taken).toBeLessThanOrEqual(settings.slack);
  });

  it("counts each service separately", () => {
    const budget = createRetryBudget(settings, ownShare);
    takeAllRetries(budget);
    expect(budget.takeRetry("other")).not.toBeNull();
  });

  // Guards against retries that are taken early, leave the window while they
  // wait, and arrive together with those of the next one.
  it("counts a retry from when it is taken until a window after it is sent", () => {
    const budget = createRetryBudget(settings, ownShare);
    const waiting = Array.from({ length: 7 }, () => budget.takeRetry("s"));
    vi.advanceTimersByTime(30_000);
    expect(budget.takeRetry("s")).toBeNull();
    for (const retry of waiting) retry?.send();
    vi.advanceTimersByTime(9_000);
    expect(budget.takeRetry("s")).toBeNull();
    vi.advanceTimersByTime(2_000);
    expect(takeAllRetries(budget)).toBe(7);
  });

  it("gets a retry back that did not arrive", () => {
    const budget = createRetryBudget(settings, ownShare);
    const retries = Array.from({ length: 7 }, () => budget.takeRetry("s"));
    retries[0]?.release();
    retries[1]?.send();
    retries[1]?.release();
    expect(takeAllRetries(budget)).toBe(2);
  });

  // Guards against two windows' retries in one: a whole part at the end of a
  // tenth, and another one as soon as that tenth is the oldest.
  it("frees nothing before a whole window has passed", () => {
    const budget = createRetryBudget(settings, ownShare);
    vi.advanceTimersByTime(990);
    takeAllRetries(budget);
    vi.advanceTimersByTime(9_990);
    expect(budget.takeRetry("s")).toBeNull();
  });
});
