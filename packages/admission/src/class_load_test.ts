/** What callers of each class get under the limits of class levels. */
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { ClassDemand } from "./class_demand.ts";
import { createClassLevels } from "./class_levels.ts";

const CAPACITY = 100_000;
const COST = 500;
/** Time for which a response holds capacity. */
const RESPONSE_MS = 3_000;
const TICK_MS = 10;
const UPDATE_MS = 50;
/** Age of the sums that instances know. */
const SUMS_AGE_MS = 200;
/** Requests leave when they have waited this long. */
const PATIENCE_MS = 500;
/** Responses that the capacity completes in a second. */
const FULL_RATE = (CAPACITY / COST / RESPONSE_MS) * 1_000;

interface Load {
  /** Requests per second of a class at a time in milliseconds. */
  readonly rates: readonly ((time: number) => number)[];
  /** Relative chance of a waiting request of the class to be next. */
  readonly weights: readonly number[];
  readonly durationMs: number;
  /** Whether limits apply; without, the test shows what they prevent. */
  readonly hasLevels: boolean;
}

interface Outcome {
  readonly arrived: number[];
  readonly started: number[];
  /** Longest wait of a request that started, by class. */
  readonly longestWaitMs: number[];
  /** Mean share of the held capacity in the second half, by class. */
  readonly heldShare: number[];
}

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Numbers between 0 and 1 that are the same in each run. */
function createRandom(): () => number {
  let state = 42;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

function simulate({ rates, weights, durationMs, hasLevels }: Load): Outcome {
  const random = createRandom();
  const levels = createClassLevels();
  const classes = rates.map((_, at) => at);
  const waiting: number[][] = classes.map(() => []);
  const endsAt: number[][] = classes.map(() => []);
  const arrivalRate = classes.map(() => 0);
  const due = classes.map(() => 0);
  const outcome: Outcome = {
    arrived: classes.map(() => 0),
    started: classes.map(() => 0),
    longestWaitMs: classes.map(() => 0),
    heldShare: classes.map(() => 0),
  };
  const sums: Map<number, ClassDemand>[] = [];
  const heldOf = (at: number) => (endsAt[at]?.length ?? 0) * COST;
  const held = () => classes.reduce((sum, at) => sum + heldOf(at), 0);

  function arrive(time: number): void {
    for (const at of classes) {
      const rate = rates[at]?.(time) ?? 0;
      arrivalRate[at] = (arrivalRate[at] ?? 0) * Math.exp(-TICK_MS / 1_000);
      due[at] = (due[at] ?? 0) + (rate * TICK_MS) / 1_000;
      for (; (due[at] ?? 0) >= 1; due[at] = (due[at] ?? 0) - 1) {
        waiting[at]?.push(time);
        arrivalRate[at] = (arrivalRate[at] ?? 0) + COST;
        outcome.arrived[at] = (outcome.arrived[at] ?? 0) + 1;
      }
    }
  }

  function leave(time: number): void {
    for (const at of classes) {
      endsAt[at] = endsAt[at]?.filter((end) => end > time) ?? [];
      waiting[at] =
        waiting[at]?.filter((since) => time - since < PATIENCE_MS) ?? [];
    }
  }

  /** Starts waiting requests in random order as far as limits allow. */
  function admit(time: number): void {
    for (;;) {
      const admissible = classes.filter((at) => {
        const limit = hasLevels ? levels.loadLimitOf(at) : 1;
        const hasRoom = held() + COST <= limit * CAPACITY + 1e-6;
        return hasRoom && (waiting[at]?.length ?? 0) > 0;
      });
      const next = choose(admissible);
      if (next === undefined) return;
      const waitedMs = time - (waiting[next]?.shift() ?? time);
      endsAt[next]?.push(time + RESPONSE_MS * (0.5 + random()));
      outcome.started[next] = (outcome.started[next] ?? 0) + 1;
      outcome.longestWaitMs[next] = Math.max(
        outcome.longestWaitMs[next] ?? 0,
        waitedMs,
      );
    }
  }

  function choose(admissible: readonly number[]): number | undefined {
    const total = admissible.reduce((sum, at) => sum + (weights[at] ?? 0), 0);
    let rest = random() * total;
    return admissible.find((at) => {
      rest -= weights[at] ?? 0;
      return rest < 0;
    });
  }

  const ticks = durationMs / TICK_MS;
  for (let tick = 0; tick < ticks; tick += 1) {
    const time = tick * TICK_MS;
    leave(time);
    arrive(time);
    admit(time);
    sums.push(
      new Map(
        classes.map((at) => [
          at,
          {
            arrivingPerSecond: arrivalRate[at] ?? 0,
            waiting: (waiting[at]?.length ?? 0) * COST,
            held: heldOf(at),
          },
        ]),
      ),
    );
    const known = sums[tick - SUMS_AGE_MS / TICK_MS];
    if (known && time % UPDATE_MS === 0) levels.update(known, CAPACITY);
    if (tick >= ticks / 2) {
      for (const at of classes) {
        const share = heldOf(at) / Math.max(1, held());
        outcome.heldShare[at] =
          (outcome.heldShare[at] ?? 0) + share / (ticks / 2);
      }
    }
    vi.advanceTimersByTime(TICK_MS);
  }
  return outcome;
}

/** Share of arrived requests of a class that started. */
function startedShare({ arrived, started }: Outcome, at: number): number {
  return (started[at] ?? 0) / (arrived[at] ?? 1);
}

describe("a burst of the least urgent class", () => {
  // Waiting requests of the least urgent class are chosen first, so that the
  // limits alone protect the urgent ones.
  const load = {
    rates: [
      () => 0.15 * FULL_RATE,
      () => 0.15 * FULL_RATE,
      (time: number) => (time >= 3_000 ? 5 : 0.3) * FULL_RATE,
    ],
    weights: [1, 1, 1_000],
    durationMs: 20_000,
  };

  it("leaves capacity to urgent requests that keep arriving", () => {
    const outcome = simulate({ ...load, hasLevels: true });
    expect(startedShare(outcome, 0)).toBeGreaterThan(0.99);
    expect(startedShare(outcome, 1)).toBeGreaterThan(0.9);
  });

  it("would take the capacity of urgent requests without limits", () => {
    const outcome = simulate({ ...load, hasLevels: false });
    expect(startedShare(outcome, 0)).toBeLessThan(0.7);
  });
});

describe("a burst of the most urgent class", () => {
  // Guards against limits that leave the least urgent class nothing while the
  // urgent one fills the engines, whatever the weights of the admission queue.
  // Those promise it a 21st of the capacity.
  it("leaves the least urgent class its minimum share", () => {
    const outcome = simulate({
      rates: [
        (time) => (time >= 3_000 ? 5 : 0.3) * FULL_RATE,
        () => 0,
        () => 0.3 * FULL_RATE,
      ],
      weights: [16, 4, 1],
      durationMs: 40_000,
      hasLevels: true,
    });
    expect(outcome.heldShare[2]).toBeGreaterThan(1 / 21);
  });
});
