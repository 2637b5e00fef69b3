import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCallBudget } from "./call_budget.ts";
import { createCallTurns } from "./call_turns.ts";

const RATE = 40;
const BEGIN = { urgency: "begin", longestWaitMs: 500 } as const;
const FINISH = { urgency: "finish", longestWaitMs: 5_000 } as const;
const CONTROL = { urgency: "control", longestWaitMs: 0 } as const;

describe("turns of store calls", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Turns of a budget that callers' work has just used up. */
  async function createBusyTurns() {
    const turns = createCallTurns(createCallBudget(RATE));
    const first = { ...BEGIN, longestWaitMs: 0 };
    while ((await turns.take(first)) === 0);
    return turns;
  }

  it("lets an order that came a moment too early wait for its turn", async () => {
    // Two callers place orders as fast as they are answered, and an instance
    // is being replaced, so the others get its orders too. A burst finds the
    // budget empty for some milliseconds; its orders were refused as
    // `claims_unavailable`, while the store was well (stop 8, CI).
    const turns = await createBusyTurns();
    const orders = [1, 2, 3, 4].map(() => turns.take(BEGIN));
    await vi.advanceTimersByTimeAsync(500);
    expect(await Promise.all(orders)).toEqual([0, 0, 0, 0]);
  });

  it("refuses at once what its turn would come too late for", async () => {
    // Orders come at many times the rate for long. Those that would wait
    // past the limit hear so at once, with when to come back.
    const turns = await createBusyTurns();
    const taken: (number | undefined)[] = [];
    for (let number = 0; number < 100; number++) {
      const place = taken.push(undefined) - 1;
      void turns.take(BEGIN).then((waitMs) => {
        taken[place] = waitMs;
      });
    }
    await vi.advanceTimersByTimeAsync(0);
    const refused = taken.filter((waitMs) => waitMs !== undefined);
    expect(refused.length).toBeGreaterThan(70);
    expect(Math.min(...refused)).toBeGreaterThan(500);
    await vi.advanceTimersByTimeAsync(550);
    expect(taken.filter((waitMs) => waitMs === 0).length).toBeGreaterThan(10);
    expect(taken).not.toContain(undefined);
  });

  it("records the ends of orders before it begins others", async () => {
    // Each order costs two calls: its claim, and its end. Were claims as
    // urgent as ends, a flood of orders would leave all ends unrecorded.
    const turns = await createBusyTurns();
    const order: string[] = [];
    void turns.take(BEGIN).then(() => order.push("begin"));
    void turns.take(FINISH).then(() => order.push("finish"));
    await vi.advanceTimersByTimeAsync(200);
    expect(order).toEqual(["finish", "begin"]);
  });

  it("keeps calls for a recall while orders and ends wait", async () => {
    const turns = await createBusyTurns();
    const ends = Array.from({ length: 50 }, () => turns.take(FINISH));
    expect(await turns.take(CONTROL)).toBe(0);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(await Promise.all(ends)).toEqual(ends.map(() => 0));
  });

  it("gives turns in the order of arrival", async () => {
    // A later order must not pass those that wait, or one of them could wait
    // its whole time and be refused.
    const turns = await createBusyTurns();
    const order: number[] = [];
    for (const number of [1, 2, 3]) {
      void turns.take(BEGIN).then(() => order.push(number));
      await vi.advanceTimersByTimeAsync(10);
    }
    await vi.advanceTimersByTimeAsync(500);
    expect(order).toEqual([1, 2, 3]);
  });

  it("leaves no timer behind when nobody waits", async () => {
    const turns = await createBusyTurns();
    const waiting = turns.take(BEGIN);
    await vi.advanceTimersByTimeAsync(500);
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });
});
