import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createStepCounter, probeTarget } from "./probe_order.ts";

const ids = Array.from({ length: 40 }, (_, at) => `entry-${at}`);
const STEP_MS = 1_000;

function targetsIn(step: number): (string | undefined)[] {
  return ids.map((self) =>
    probeTarget(step, {
      self,
      others: ids.filter((id) => id !== self),
      isWanted: () => true,
    }),
  );
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("the order of probes", () => {
  it("probes each instance once in a step, and never oneself", () => {
    for (let step = 0; step < ids.length; step += 1) {
      const targets = targetsIn(step);
      expect(new Set(targets)).toEqual(new Set(ids));
      expect(targets.some((target, at) => target === ids[at])).toBe(false);
    }
  });

  it("brings each instance round all the others", () => {
    const steps = Array.from({ length: ids.length - 1 }, (_, step) => step);
    const probed = new Set(steps.map((step) => targetsIn(step)[0]));
    expect(probed.size).toBe(ids.length - 1);
  });

  it("passes over who is not wanted, and finds nobody among none", () => {
    const others = ["one", "two", "three"];
    const isWanted = (id: string) => id === "two";
    for (const step of [0, 1, 2, 3]) {
      const target = probeTarget(step, { self: "own", others, isWanted });
      expect(target).toBe("two");
    }
    const alone = { self: "own", others: [], isWanted };
    expect(probeTarget(0, alone)).toBeUndefined();
  });
});

describe("the count of steps", () => {
  it("is the same for all that start at different times", () => {
    vi.setSystemTime(10 * STEP_MS);
    const early = createStepCounter();
    early.next(STEP_MS);
    vi.setSystemTime(60 * STEP_MS);
    expect(createStepCounter().next(STEP_MS)).toBe(early.next(STEP_MS));
  });

  it("goes on when the clock is set back", () => {
    // By a clock that is set back by an hour an instance would probe one and
    // the same peer again and again, and hear of no death among the others.
    vi.setSystemTime(3_600_000);
    const counter = createStepCounter();
    const first = counter.next(STEP_MS);
    vi.setSystemTime(0);
    expect(counter.next(STEP_MS)).toBe(first + 1);
    expect(counter.next(STEP_MS)).toBe(first + 2);
  });
});
