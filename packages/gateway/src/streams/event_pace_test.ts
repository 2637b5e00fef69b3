import { describe, expect, it } from "vitest";
import { createEventPace } from "./event_pace.ts";

function paceOf(...phases: readonly [count: number, intervalMs: number][]) {
  const pace = createEventPace();
  for (const [count, intervalMs] of phases)
    for (let event = 0; event < count; event += 1) pace.record(intervalMs);
  return pace;
}

describe("pace of events", () => {
  it("is slow soon after the intervals have doubled", () => {
    expect(paceOf([100, 40], [20, 80]).isSlow()).toBe(true);
  });

  it("is not slow while load makes intervals a third longer", () => {
    expect(paceOf([100, 40], [200, 54]).isSlow()).toBe(false);
  });

  it("is not slow after a single long interval", () => {
    expect(paceOf([100, 40], [1, 200]).isSlow()).toBe(false);
  });

  it("is unknown for the first events of a pipeline", () => {
    expect(paceOf([5, 40], [30, 120]).isSlow()).toBe(false);
  });

  it("becomes usual in the end", () => {
    expect(paceOf([100, 40], [2_000, 80]).isSlow()).toBe(false);
  });
});
