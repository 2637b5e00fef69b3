import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createIncarnationMap } from "./incarnation_map.ts";

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

const first = { id: "s", startedAt: 1 };
const second = { id: "s", startedAt: 2 };

describe("a value of a server's incarnation", () => {
  it("does not apply to the next one", () => {
    const map = createIncarnationMap<string>();
    map.set(first, "x");
    expect([map.get(first), map.get(second)]).toEqual(["x", null]);
    map.delete(second);
    expect(map.get(first)).toBe("x");
    map.set(second, "y");
    expect([map.get(first), map.get(second)]).toEqual([null, "y"]);
    map.set(first, "z");
    expect([map.get(first), map.get(second)]).toEqual([null, "y"]);
  });

  it("is kept while it is read", () => {
    const map = createIncarnationMap<string>();
    map.set(first, "x");
    for (let read = 0; read < 3; read += 1) {
      vi.advanceTimersByTime(50_000);
      map.set({ id: `other-${read}`, startedAt: 1 }, "z");
      expect(map.get(first)).toBe("x");
    }
  });

  // Guards against memory that grows with each server that ever existed.
  it("is removed when it has not been read for a minute", () => {
    const map = createIncarnationMap<string>();
    map.set(first, "x");
    vi.advanceTimersByTime(61_000);
    map.set({ id: "other", startedAt: 1 }, "z");
    expect(map.get(first)).toBeNull();
  });
});
