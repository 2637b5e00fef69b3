import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCallBudget } from "./call_budget.ts";

describe("store call budget", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("reserves calls for a recall while orders exhaust the rest", () => {
    // Orders arrive faster than the budget allows, each with one claim. If
    // they could exhaust it, a recall at that moment would be refused as if
    // the store were unreachable.
    const budget = createCallBudget(40);
    while (budget.take({ urgency: "begin" }) === 0);
    expect(budget.take({ urgency: "begin" })).toBeGreaterThan(0);
    expect(budget.take({ urgency: "control" })).toBe(0);
  });

  it("reports the wait for the next call and then grants it", () => {
    const budget = createCallBudget(10);
    while (budget.take({ urgency: "control" }) === 0);
    const waitMs = budget.take({ urgency: "control" });
    expect(waitMs).toBeGreaterThan(0);
    vi.advanceTimersByTime(waitMs);
    expect(budget.take({ urgency: "control" })).toBe(0);
  });

  it("grants callers' work again after it has refilled", () => {
    const budget = createCallBudget(40);
    while (budget.take({ urgency: "control" }) === 0);
    vi.advanceTimersByTime(1_000);
    expect(budget.take({ urgency: "begin" })).toBe(0);
  });
});
