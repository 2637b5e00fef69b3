import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createCallBudget } from "./call_budget.ts";
import { createCallQueue } from "./call_queue.ts";

const RATE = 40;
const BEGIN = { urgency: "begin", maxWaitMs: 500 } as const;
const FINISH = { urgency: "finish", maxWaitMs: 5_000 } as const;
const CONTROL = { urgency: "control", maxWaitMs: 0 } as const;

describe("store call queue", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  /** Creates a queue whose budget callers' work has just exhausted. */
  async function createExhaustedQueue() {
    const queue = createCallQueue(createCallBudget(RATE));
    const first = { ...BEGIN, maxWaitMs: 0 };
    while ((await queue.take(first)) === 0);
    return queue;
  }

  it("admits a short burst of orders after a wait", async () => {
    // While an instance is replaced, the others receive its orders too, and a
    // burst finds the budget empty for a few milliseconds. Without the queue,
    // its orders are refused as `claims_unavailable` though the store is
    // healthy.
    const queue = await createExhaustedQueue();
    const orders = [1, 2, 3, 4].map(() => queue.take(BEGIN));
    await vi.advanceTimersByTimeAsync(500);
    expect(await Promise.all(orders)).toEqual([0, 0, 0, 0]);
  });

  it("refuses calls at once that would wait too long", async () => {
    // Orders arrive at many times the rate for a long time. Those that would
    // wait past their limit are refused at once with a retry delay.
    const queue = await createExhaustedQueue();
    const waits: (number | undefined)[] = [];
    for (let number = 0; number < 100; number++) {
      const index = waits.push(undefined) - 1;
      void queue.take(BEGIN).then((waitMs) => {
        waits[index] = waitMs;
      });
    }
    await vi.advanceTimersByTimeAsync(0);
    const refused = waits.filter((waitMs) => waitMs !== undefined);
    expect(refused.length).toBeGreaterThan(70);
    expect(Math.min(...refused)).toBeGreaterThan(500);
    await vi.advanceTimersByTimeAsync(550);
    expect(waits.filter((waitMs) => waitMs === 0).length).toBeGreaterThan(10);
    expect(waits).not.toContain(undefined);
  });

  it("admits results of orders before claims of new orders", async () => {
    // Each order needs two calls: its claim and the record of its result. If
    // claims were as urgent as results, a flood of orders would leave all
    // results unrecorded.
    const queue = await createExhaustedQueue();
    const order: string[] = [];
    void queue.take(BEGIN).then(() => order.push("begin"));
    void queue.take(FINISH).then(() => order.push("finish"));
    await vi.advanceTimersByTimeAsync(200);
    expect(order).toEqual(["finish", "begin"]);
  });

  it("admits a recall while orders and results are queued", async () => {
    const queue = await createExhaustedQueue();
    const results = Array.from({ length: 50 }, () => queue.take(FINISH));
    expect(await queue.take(CONTROL)).toBe(0);
    await vi.advanceTimersByTimeAsync(5_000);
    expect(await Promise.all(results)).toEqual(results.map(() => 0));
  });

  it("admits calls of equal urgency in order of arrival", async () => {
    // If later orders could overtake queued ones, a queued order could exceed
    // its wait and be refused.
    const queue = await createExhaustedQueue();
    const order: number[] = [];
    for (const number of [1, 2, 3]) {
      void queue.take(BEGIN).then(() => order.push(number));
      await vi.advanceTimersByTimeAsync(10);
    }
    await vi.advanceTimersByTimeAsync(500);
    expect(order).toEqual([1, 2, 3]);
  });

  it("leaves no timer when the queue is empty", async () => {
    const queue = await createExhaustedQueue();
    const waiting = queue.take(BEGIN);
    await vi.advanceTimersByTimeAsync(500);
    await waiting;
    expect(vi.getTimerCount()).toBe(0);
  });
});
