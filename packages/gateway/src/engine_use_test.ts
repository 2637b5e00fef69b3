import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createEngineUse, TOLD_FOR_MS } from "./engine_use.ts";
import type { AddressedStage } from "./protocol.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const stages: AddressedStage[] = [
  { engineId: "e-1", address: "10.0.0.1:80", range: { from: 0, to: 10 } },
  { engineId: "e-2", address: "10.0.0.2:80", range: { from: 10, to: 30 } },
];

describe("the use of engines", () => {
  it("counts an answer at each stage until it is released, once", () => {
    const use = createEngineUse();
    const release = use.take(stages, 100);
    use.take(stages.slice(0, 1), 50);
    expect([...use.own()]).toEqual([
      ["e-1", 1_500],
      ["e-2", 2_000],
    ]);
    release();
    release();
    expect([...use.own()]).toEqual([["e-1", 500]]);
    expect(use.ownTokens()).toBe(50);
  });

  it("sums up what others told, the latest word of each", () => {
    const use = createEngineUse();
    use.told("b", new Map([["e-1", 10]]));
    use.told("b", new Map([["e-1", 30]]));
    use.told("c", new Map([["e-1", 5]]));
    expect(use.byOthers("e-1")).toBe(35);
    expect(use.byOthers("e-2")).toBe(0);
  });

  it("forgets an instance that fell silent", () => {
    const use = createEngineUse();
    use.told("b", new Map([["e-1", 30]]));
    vi.advanceTimersByTime(TOLD_FOR_MS);
    expect(use.byOthers("e-1")).toBe(0);
    expect(use.isTold("b")).toBe(false);
  });
});
