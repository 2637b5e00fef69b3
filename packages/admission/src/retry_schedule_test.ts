import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRetrySchedule, type RetryRefusal } from "./retry_schedule.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const COST = 100;
/** Capacity is freed for so many requests per second. */
const REQUESTS_PER_SECOND = 50;
const DEADLINE_MS = 20_000;

function refusalOf(changes: Partial<RetryRefusal> = {}): RetryRefusal {
  return {
    priority: 0,
    cost: COST,
    expectedWaitMs: 0,
    costPerSecond: COST * REQUESTS_PER_SECOND,
    leftMs: DEADLINE_MS,
    fallback: { minSeconds: 0.5, maxSeconds: 2 },
    ...changes,
  };
}

/** A sequence that is spread evenly over 0 to 1, alike in each run. */
function createEvenDraw(): () => number {
  let drawn = 0;
  return () => {
    drawn += 1;
    return (drawn * 0.618_033_988_75) % 1;
  };
}

function setUp() {
  return createRetrySchedule({ random: createEvenDraw() });
}

/** Refuses callers evenly over a second; returns when they come back, in ms. */
function returnsOf(
  count: number,
  refusal: (index: number) => RetryRefusal,
): number[] {
  const schedule = setUp();
  return Array.from({ length: count }, (_, index) => {
    const returnsAt =
      performance.now() + 1_000 * schedule.delayFor(refusal(index));
    vi.advanceTimersByTime(1_000 / count);
    return returnsAt;
  });
}

/** Most callers that return within any time of this length. */
function peakOf(times: readonly number[], lengthMs: number): number {
  const counts = times.map(
    (from) => times.filter((at) => at >= from && at < from + lengthMs).length,
  );
  return Math.max(...counts);
}

describe("callers that are all refused within one second", () => {
  // Guards against a second peak, in which the callers that were refused in the
  // first one return and are refused again.
  it.each([20, 100, 200])(
    "return at the rate at which capacity is freed: %i callers",
    (count) => {
      const returns = returnsOf(count, () => refusalOf());
      expect(peakOf(returns, 500)).toBeLessThanOrEqual(REQUESTS_PER_SECOND / 2);
    },
  );

  // Guards against a peak at the longest delay, when the work that is booked
  // ahead takes longer than callers can wait.
  it("are spread over all the time that they have, if it is too short", () => {
    const count = 2_000;
    const returns = returnsOf(count, () => refusalOf());
    const spreadMs = DEADLINE_MS / 3;
    const evenShare = (count * 500) / spreadMs;
    expect(peakOf(returns, 500)).toBeLessThan(1.5 * evenShare);
  });

  it("do not return together when the queue is long", () => {
    const expectedWaitMs = 3_000;
    const returns = returnsOf(30, () => refusalOf({ expectedWaitMs }));
    expect(Math.min(...returns)).toBeGreaterThanOrEqual(expectedWaitMs);
    expect(peakOf(returns, 500)).toBeLessThan(15);
  });

  it("return the sooner the more urgent their class is", () => {
    const counts = [0, 1, 2].map((priority) => {
      const returns = returnsOf(60, (index) =>
        refusalOf({ priority: index % 3 }),
      );
      const ofClass = returns.filter((_, index) => index % 3 === priority);
      return ofClass.reduce((sum, at) => sum + at, 0) / ofClass.length;
    });
    expect(counts).toEqual([...counts].sort((one, other) => one - other));
  });

  it("leave no bookings once their work is done", () => {
    const schedule = setUp();
    for (let index = 0; index < 10; index += 1) schedule.delayFor(refusalOf());
    const busy = schedule.delayFor(refusalOf());
    vi.advanceTimersByTime(60_000);
    const idle = schedule.delayFor(refusalOf());
    expect(busy).toBeGreaterThan(1);
    expect(idle).toBeLessThanOrEqual(0.38);
  });

  it("are not delayed by classes whose work is done", () => {
    const schedule = setUp();
    const lessUrgent = { priority: 1, costPerSecond: 9 * COST };
    schedule.delayFor(refusalOf({ priority: 0, cost: 1 }));
    vi.advanceTimersByTime(60_000);
    schedule.delayFor(refusalOf(lessUrgent));
    // The class has all of the rate: its request takes a second.
    const next = schedule.delayFor(refusalOf(lessUrgent));
    expect(next).toBeGreaterThanOrEqual(1.3);
    expect(next).toBeLessThanOrEqual(1.3 * 1.25);
  });
});

describe("callers that ignore the delay", () => {
  // Guards against a few callers that retry all the time, and whose bookings
  // send all others away for as long as they can wait.
  it("neither shorten theirs nor lengthen that of others", () => {
    const schedule = setUp();
    const before = schedule.delayFor(refusalOf());
    for (let index = 0; index < 1_000; index += 1) {
      const again = schedule.delayFor(refusalOf({ arrival: "hurried" }));
      expect(again).toBeGreaterThanOrEqual(before - 0.08);
    }
    const next = schedule.delayFor(refusalOf());
    expect(next).toBeLessThanOrEqual(1.25 * (before + 9 / REQUESTS_PER_SECOND));
  });
});

describe("a caller with little time left", () => {
  // Guards against delays that end after the caller has given up.
  it.each([0, 5, 30, 200, 601, 802, 3_000, 20_000])(
    "is delayed by at most a third of %i ms",
    (leftMs) => {
      const schedule = setUp();
      const refusals = [0, 100, 5_000].flatMap((expectedWaitMs) =>
        [0, COST * REQUESTS_PER_SECOND].map((costPerSecond) =>
          refusalOf({ leftMs, expectedWaitMs, costPerSecond }),
        ),
      );
      for (let round = 0; round < 50; round += 1) {
        for (const refusal of refusals) {
          const delayMs = 1_000 * schedule.delayFor(refusal);
          expect(delayMs).toBeLessThanOrEqual(leftMs / 3 + 1e-9);
          expect(delayMs).toBeGreaterThanOrEqual(
            Math.min(300, leftMs / 4) - 10,
          );
        }
      }
    },
  );

  it("takes no place on the timeline of callers that can wait", () => {
    const schedule = setUp();
    for (let index = 0; index < 100; index += 1)
      schedule.delayFor(refusalOf({ leftMs: 600 }));
    expect(schedule.delayFor(refusalOf())).toBeLessThanOrEqual(0.38);
  });
});

describe("servers that want no requests for a time", () => {
  const fallback = { minSeconds: 0.5, maxSeconds: 2 };

  it("are a lower bound of the delay, which is spread beyond it", () => {
    const schedule = setUp();
    const delays = Array.from({ length: 40 }, () =>
      schedule.delayFor(
        refusalOf({ costPerSecond: 0, fallback, notBeforeMs: 2_000 }),
      ),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(2.5);
    expect(Math.max(...delays)).toBeLessThanOrEqual(4);
    expect(new Set(delays).size).toBeGreaterThan(30);
  });

  // Guards against callers that return while servers are known to refuse them.
  it("are one also beyond a third of the time that is left", () => {
    const schedule = setUp();
    const delays = Array.from({ length: 40 }, () =>
      schedule.delayFor(refusalOf({ leftMs: 6_000, notBeforeMs: 5_000 })),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(5);
    expect(Math.max(...delays)).toBeLessThanOrEqual(5.5);
    expect(new Set(delays).size).toBeGreaterThan(20);
  });
});

describe("a queue whose rate is not known", () => {
  it("gives delays from the fallback range", () => {
    const schedule = setUp();
    const delays = Array.from({ length: 200 }, () =>
      schedule.delayFor(refusalOf({ costPerSecond: 0 })),
    );
    expect(Math.min(...delays)).toBeGreaterThanOrEqual(0.5);
    expect(Math.min(...delays)).toBeLessThan(0.55);
    expect(Math.max(...delays)).toBeLessThanOrEqual(2);
    expect(Math.max(...delays)).toBeGreaterThan(1.95);
  });

  // Guards against delays of NaN or of hours from figures that are not valid, and
  // against bookings that outlast them.
  it.each([Number.NaN, Number.POSITIVE_INFINITY, -1, 0])(
    "or another figure of which is %d gives a delay within bounds",
    (figure) => {
      const names = [
        "cost",
        "expectedWaitMs",
        "costPerSecond",
        "leftMs",
        "notBeforeMs",
      ] as const;
      for (const name of names) {
        const schedule = setUp();
        const delay = schedule.delayFor(refusalOf({ [name]: figure }));
        expect(delay).toBeGreaterThanOrEqual(0);
        expect(delay).toBeLessThanOrEqual(DEADLINE_MS / 3_000);
        expect(schedule.delayFor(refusalOf())).toBeLessThanOrEqual(0.5);
      }
    },
  );

  it("or that frees next to nothing gives a delay within bounds", () => {
    const schedule = setUp();
    const slow = refusalOf({ costPerSecond: 1e-300, cost: 1e300 });
    schedule.delayFor(slow);
    const delay = schedule.delayFor(slow);
    expect(delay).toBeGreaterThanOrEqual(0.3);
    expect(delay).toBeLessThanOrEqual(DEADLINE_MS / 3_000);
  });
});
