import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCallerMemory } from "./caller_memory.ts";

const LIMIT = 1_000_000;
const LARGE = 600_000;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

describe("the memory for callers' requests", () => {
  it("gives room to those who wait, in turn", async () => {
    const budget = createCallerMemory(LIMIT);
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
    const budget = createCallerMemory(LIMIT);
    budget.open().tryTake(LARGE);
    const waiting = budget.open().waitFor(LARGE);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(await waiting).toBe(false);
    expect(budget.heldBytes()).toBe(LARGE);
  });

  // Guards against room that is never given back because its request ended while
  // it waited for more.
  it("is whole again when those who waited have ended", async () => {
    const budget = createCallerMemory(LIMIT);
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
    const budget = createCallerMemory(LIMIT);
    budget.open().tryTake(LIMIT);
    void budget.open().waitFor(LARGE);
    expect(budget.open().tryTake(800)).toBe(true);
  });

  // Guards against a body that no budget has room for, and waits for ever.
  it("gives room to a body of more than the limit while it is unused", () => {
    const budget = createCallerMemory(LIMIT);
    expect(budget.open().tryTake(2 * LIMIT)).toBe(true);
    expect(budget.open().tryTake(LARGE)).toBe(false);
  });

  // Guards against a crowd that stalls and shuts out those that go on.
  it("gives up what holds most and progresses least", () => {
    const memory = createCallerMemory(LIMIT);
    const ends: string[] = [];
    const shares = { large: LARGE, small: LIMIT - LARGE };
    for (const [name, bytes] of Object.entries(shares)) {
      const share = memory.open();
      share.tryTake(bytes);
      share.onGiveUp(() => ends.push(name));
    }
    vi.advanceTimersByTime(2_000);
    expect(memory.open().tryTake(LARGE)).toBe(true);
    expect(ends).toEqual(["large"]);
    expect(memory.givenUp()).toBe(1);
    expect(memory.heldBytes()).toBe(LIMIT);
  });

  it("gives up none that goes on, nor one that can't be ended", () => {
    const memory = createCallerMemory(LIMIT);
    const moving = memory.open();
    moving.tryTake(LARGE);
    const kept = memory.open();
    kept.tryTake(LIMIT - LARGE);
    let isGivenUp = false;
    moving.onGiveUp(() => {
      isGivenUp = true;
    });
    vi.advanceTimersByTime(900);
    moving.progress();
    vi.advanceTimersByTime(900);
    expect(memory.open().tryTake(LARGE)).toBe(false);
    expect(isGivenUp).toBe(false);
  });
});
