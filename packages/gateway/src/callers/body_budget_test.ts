import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBodyBudget } from "./body_budget.ts";

const LIMIT = 1_000_000;
const LARGE = 600_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe("the budget for bodies", () => {
  it("gives room to those who wait, in turn", async () => {
    const budget = createBodyBudget(LIMIT);
    const first = budget.open();
    expect(first.tryTake(LARGE)).toBe(true);
    const ends: string[] = [];
    const second = budget.open();
    const third = budget.open();
    expect(second.tryTake(LARGE)).toBe(false);
    void second.waitFor(LARGE).then((hasRoom) => ends.push(`2 ${hasRoom}`));
    // There is room for it, but another one came first.
    expect(third.tryTake(LIMIT - LARGE)).toBe(false);
    void third
      .waitFor(LIMIT - LARGE)
      .then((hasRoom) => ends.push(`3 ${hasRoom}`));
    await vi.advanceTimersByTimeAsync(100);
    expect(ends).toEqual([]);
    first.release();
    await vi.advanceTimersByTimeAsync(0);
    expect(ends).toEqual(["2 true", "3 true"]);
    expect(budget.heldBytes()).toBe(LIMIT);
  });

  it("lets nobody wait without end", async () => {
    const budget = createBodyBudget(LIMIT);
    budget.open().tryTake(LARGE);
    const waiting = budget.open().waitFor(LARGE);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(await waiting).toBe(false);
    expect(budget.heldBytes()).toBe(LARGE);
  });

  // Guards against room that is never given back because its request ended while
  // it waited for more.
  it("is whole again when those who waited have ended", async () => {
    const budget = createBodyBudget(LIMIT);
    const first = budget.open();
    first.tryTake(LARGE);
    const second = budget.open();
    second.tryTake(20_000);
    const waiting = second.waitFor(LARGE);
    second.release();
    expect(await waiting).toBe(false);
    first.release();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(budget.heldBytes()).toBe(0);
  });

  it("gives room to small bodies at once", () => {
    const budget = createBodyBudget(LIMIT);
    budget.open().tryTake(LIMIT);
    void budget.open().waitFor(LARGE);
    expect(budget.open().tryTake(800)).toBe(true);
  });

  // Guards against a body that no budget has room for, and waits for ever.
  it("gives room to a body of more than the limit while it is unused", () => {
    const budget = createBodyBudget(LIMIT);
    expect(budget.open().tryTake(2 * LIMIT)).toBe(true);
    expect(budget.open().tryTake(LARGE)).toBe(false);
  });
});
