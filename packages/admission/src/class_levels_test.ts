import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { ClassDemand, DemandByClass } from "./class_demand.ts";
import { type ClassLevels, createClassLevels } from "./class_levels.ts";

const CAPACITY = 100_000;
const UPDATE_MS = 50;

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Demand by class, of which left out figures are 0. */
function demandOf(...classes: readonly Partial<ClassDemand>[]): DemandByClass {
  const none = { arrivingPerSecond: 0, waiting: 0, held: 0 };
  return new Map(classes.map((part, at) => [at, { ...none, ...part }]));
}

/** Updates every 50 ms for a time; returns the limits of a class. */
function updateFor(
  levels: ClassLevels,
  durationMs: number,
  options: {
    readonly priority: number;
    readonly demand: (elapsedMs: number) => DemandByClass;
  },
): number[] {
  const limits: number[] = [];
  for (let elapsed = 0; elapsed < durationMs; elapsed += UPDATE_MS) {
    levels.update(options.demand(elapsed), CAPACITY);
    limits.push(levels.loadLimitOf(options.priority));
    vi.advanceTimersByTime(UPDATE_MS);
  }
  return limits;
}

describe("class levels", () => {
  it("reserve what waits and 400 ms of arrivals, under pressure", () => {
    const levels = createClassLevels();
    const first = { arrivingPerSecond: 20_000, waiting: 5_000 };
    const second = { arrivingPerSecond: 10_000, held: 50_000 };
    levels.update(demandOf(first, second, { held: 30_000 }), CAPACITY);
    const limits = levels.levels().map(({ loadLimit }) => loadLimit);
    expect(limits[0]).toBe(1);
    expect(limits[1]).toBeCloseTo(1 - 0.13);
    expect(limits[2]).toBeCloseTo(1 - 0.17);
  });

  it("reserve nothing while capacity is free and nothing urgent waits", () => {
    const levels = createClassLevels();
    const first = { arrivingPerSecond: 20_000, held: 30_000 };
    const last = { waiting: 1_000, held: 30_000 };
    levels.update(demandOf(first, last), CAPACITY);
    expect(levels.loadLimitOf(1)).toBe(1);
  });

  // With a common bound that is shared in proportion, a burst of one class
  // would take the reserve from more urgent ones.
  it("keep the reserve of the most urgent class in a burst of the next", () => {
    const levels = createClassLevels();
    const burst = { waiting: 10 * CAPACITY, held: 40_000 };
    const last = { held: 40_000 };
    levels.update(demandOf({ waiting: 20_000 }, burst, last), CAPACITY);
    expect(levels.loadLimitOf(1)).toBeCloseTo(0.8);
    expect(levels.loadLimitOf(2)).toBeCloseTo(0.65);
  });

  it.each([
    ["one class", demandOf({ waiting: 50_000, held: 90_000 }), CAPACITY],
    ["no demand", new Map(), CAPACITY],
    ["no capacity and no demand", new Map(), 0],
  ])("are 1 with %s", (_, demand, capacity) => {
    const levels = createClassLevels();
    levels.update(demand, capacity);
    for (const priority of [0, 1, 9])
      expect(levels.loadLimitOf(priority)).toBe(1);
  });

  it("end when load has fallen and nothing urgent waited for 1 s", () => {
    const levels = createClassLevels();
    const first = { arrivingPerSecond: 50_000 };
    const update = (waiting: number, held: number) => {
      const urgent = { ...first, waiting };
      levels.update(demandOf(urgent, { held }), CAPACITY);
      return levels.loadLimitOf(1);
    };
    expect(update(0, 69_000)).toBe(1);
    expect(update(0, 71_000)).toBeCloseTo(0.8);
    vi.advanceTimersByTime(5_000);
    expect(update(0, 56_000)).toBeCloseTo(0.8);
    expect(update(100, 54_000)).toBeCloseTo(0.8);
    vi.advanceTimersByTime(950);
    expect(update(0, 54_000)).toBeCloseTo(0.8);
    vi.advanceTimersByTime(50);
    expect(update(0, 54_000)).toBe(1);
  });

  it("fall at once and rise by at most 0.1 in 200 ms", () => {
    const levels = createClassLevels();
    const demand = (waiting: number) => demandOf({ waiting }, { held: 80_000 });
    updateFor(levels, 500, { priority: 1, demand: () => demand(30_000) });
    const limits = updateFor(levels, 3_000, {
      priority: 1,
      demand: () => demand(0),
    });
    expect(limits[0]).toBeCloseTo(0.7);
    expect(limits.at(-1)).toBe(1);
    const steps = 200 / UPDATE_MS;
    const rises = limits
      .slice(steps)
      .map((limit, at) => limit - (limits[at] ?? 0));
    expect(Math.max(...rises)).toBeLessThanOrEqual(0.1 + 1e-9);
  });

  it("rise by one step after a time without updates", () => {
    const levels = createClassLevels();
    levels.update(demandOf({ waiting: 30_000 }, { held: 80_000 }), CAPACITY);
    levels.update(demandOf({}, { held: 80_000 }), CAPACITY);
    vi.advanceTimersByTime(5_000);
    levels.update(demandOf({}, { held: 80_000 }), CAPACITY);
    expect(levels.loadLimitOf(1)).toBeCloseTo(0.8);
  });

  it("stay within 0.65 and 1 for any demand", () => {
    const tokens = fc.double({ min: 0, max: 2 ** 36, noNaN: true });
    const classDemand = fc.record({
      arrivingPerSecond: tokens,
      waiting: tokens,
      held: tokens,
    });
    const step = fc.record({
      classes: fc.array(fc.tuple(fc.nat(15), classDemand), { maxLength: 5 }),
      capacity: tokens,
      pauseMs: fc.nat(2_000),
    });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 10 }), (steps) => {
        const levels = createClassLevels();
        for (const { classes, capacity, pauseMs } of steps) {
          levels.update(new Map(classes), capacity);
          vi.advanceTimersByTime(pauseMs);
          for (let priority = 0; priority <= 15; priority += 1) {
            const limit = levels.loadLimitOf(priority);
            expect(limit).toBeGreaterThanOrEqual(0.65 - 1e-9);
            expect(limit).toBeLessThanOrEqual(1);
          }
          const [mostUrgent] = levels.levels();
          expect(mostUrgent?.loadLimit ?? 1).toBe(1);
        }
      }),
      { seed: 11, numRuns: 300 },
    );
  });

  // A limit that follows each change of the demand would admit a group of less
  // urgent requests whenever the pressure pauses.
  it("don't swing with pressure that comes and goes every 300 ms", () => {
    const levels = createClassLevels();
    const limits = updateFor(levels, 10_000, {
      priority: 2,
      demand: (elapsed) =>
        Math.floor(elapsed / 300) % 2 === 0
          ? demandOf({ waiting: 25_000 }, {}, { held: 85_000 })
          : demandOf({}, {}, { held: 60_000 }),
    });
    expect(Math.max(...limits) - Math.min(...limits)).toBeLessThan(0.01);
    expect(limits[0]).toBeCloseTo(0.75);
  });

  // Instances that reach different levels would pass the capacity that some of
  // them keep free to less urgent requests at others.
  it("are the same 200 ms after instances see the same sums", () => {
    const instances = Array.from({ length: 30 }, (_, at) => ({
      levels: createClassLevels(),
      // Updates of the instances fall between each other, and reports arrive
      // between 0 and 140 ms late.
      offsetMs: (at * 7) % UPDATE_MS,
      delayMs: (at * 37) % 150,
    }));
    // Waiting work of the urgent class, by the time since which it holds.
    const phases = [
      { from: 0, waiting: 5_000 },
      { from: 1_000, waiting: 30_000 },
      { from: 2_000, waiting: 12_000 },
      { from: 6_000, waiting: 20_000 },
    ];
    const demandAt = (time: number) => {
      const phase = phases.findLast(({ from }) => from <= time) ?? phases[0];
      const { waiting = 0 } = phase ?? {};
      return demandOf({ waiting }, { held: 80_000 });
    };
    const spreads = new Map<number, number>();
    for (let time = 0; time < 8_000; time += 1) {
      for (const { levels, offsetMs, delayMs } of instances) {
        if (time % UPDATE_MS === offsetMs)
          levels.update(demandAt(time - delayMs), CAPACITY);
      }
      vi.advanceTimersByTime(1);
      const limits = instances.map(({ levels }) => levels.loadLimitOf(1));
      spreads.set(time, Math.max(...limits) - Math.min(...limits));
    }
    const widest = (from: number, to: number) =>
      Math.max(
        ...[...spreads]
          .filter(([time]) => from <= time && time < to)
          .map(([, spread]) => spread),
      );
    // Limits fall at once.
    expect(widest(200, 1_000)).toBeLessThan(1e-9);
    expect(widest(1_200, 2_000)).toBeLessThan(1e-9);
    expect(widest(6_200, 8_000)).toBeLessThan(1e-9);
    // Limits that rise differ by the 200 ms between the instances' updates.
    expect(widest(2_000, 3_500)).toBeLessThanOrEqual(0.1 + 1e-9);
    expect(widest(3_500, 6_000)).toBeLessThan(1e-9);
  });
});
