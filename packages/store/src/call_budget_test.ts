import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCallBudget } from "./call_budget.ts";

describe("the budget of store calls", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("keeps calls for a recall while orders use up the rest", () => {
    // Orders come faster than the store may be called, one claim each. An
    // operator recalls a batch in that moment; with nothing left, the recall
    // was refused as if the store were away (first soak, seed 1).
    const budget = createCallBudget(40);
    while (budget.take({ urgency: "begin" }) === 0);
    expect(budget.take({ urgency: "begin" })).toBeGreaterThan(0);
    expect(budget.take({ urgency: "control" })).toBe(0);
  });

  it("says how long until a call is free, and then gives it", () => {
    const budget = createCallBudget(10);
    while (budget.take({ urgency: "control" }) === 0);
    const waitMs = budget.take({ urgency: "control" });
    expect(waitMs).toBeGreaterThan(0);
    vi.advanceTimersByTime(waitMs);
    expect(budget.take({ urgency: "control" })).toBe(0);
  });

  it("lets callers' work go on at its own rate once it has filled", () => {
    const budget = createCallBudget(40);
    while (budget.take({ urgency: "control" }) === 0);
    vi.advanceTimersByTime(1_000);
    expect(budget.take({ urgency: "begin" })).toBe(0);
  });
});
