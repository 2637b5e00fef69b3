import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRetryBudget } from "./retry_budget.ts";

const settings = { ratio: 0.2, windowMs: 10_000, slack: 40 };

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

function takeAllRetries(budget: ReturnType<typeof createRetryBudget>): number {
  let taken = 0;
  while (budget.takeRetry("s")) taken += 1;
  return taken;
}

describe("retry budget", () => {
  it("adds a share of local requests to a part of the fixed allowance", () => {
    const budget = createRetryBudget(settings, () => 4);
    expect(takeAllRetries(budget)).toBe(7);
    for (let request = 0; request < 100; request += 1) budget.countRequest("s");
    expect(takeAllRetries(budget)).toBe(15);
  });

  it("is restored as the window slides", () => {
    const budget = createRetryBudget(settings, () => 4);
    takeAllRetries(budget);
    vi.advanceTimersByTime(9_000);
    expect(budget.takeRetry("s")).toBe(false);
    vi.advanceTimersByTime(2_000);
    expect(takeAllRetries(budget)).toBe(7);
  });

  it("stays within the limit for all instances together", () => {
    // Guards against each instance using the whole allowance because it does
    // not know of the others: four times the retries that services can bear.
    const budgets = [1, 2, 3, 4].map(() =>
      createRetryBudget(settings, () => 4),
    );
    const taken = budgets.reduce(
      (sum, budget) => sum + takeAllRetries(budget),
      0,
    );
    expect(taken).toBeLessThanOrEqual(settings.slack);
  });

  it("counts each service separately", () => {
    const budget = createRetryBudget(settings, () => 4);
    takeAllRetries(budget);
    expect(budget.takeRetry("other")).toBe(true);
  });
});
