import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRetryBudget } from "./retry_budget.ts";

const settings = { ratio: 0.2, windowMs: 10_000, slack: 40 };

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

function takeAll(budget: ReturnType<typeof createRetryBudget>): number {
  let taken = 0;
  while (budget.take("s")) taken += 1;
  return taken;
}

describe("the budget of repeats", () => {
  it("is a part of the fixed allowance, and a share of own requests", () => {
    const budget = createRetryBudget(settings, () => 4);
    expect(takeAll(budget)).toBe(7);
    for (let request = 0; request < 100; request += 1) budget.countRequest("s");
    expect(takeAll(budget)).toBe(15);
  });

  it("comes back as the window slides", () => {
    const budget = createRetryBudget(settings, () => 4);
    takeAll(budget);
    vi.advanceTimersByTime(9_000);
    expect(budget.take("s")).toBe(false);
    vi.advanceTimersByTime(2_000);
    expect(takeAll(budget)).toBe(7);
  });

  it("keeps the bound for all instances together", () => {
    // Instances that each took the whole allowance, since they knew of no
    // other, sent four times the repeats that the services can bear.
    const budgets = [1, 2, 3, 4].map(() =>
      createRetryBudget(settings, () => 4),
    );
    const taken = budgets.reduce((sum, budget) => sum + takeAll(budget), 0);
    expect(taken).toBeLessThanOrEqual(settings.slack);
  });

  it("counts each service by itself", () => {
    const budget = createRetryBudget(settings, () => 4);
    takeAll(budget);
    expect(budget.take("other")).toBe(true);
  });
});
