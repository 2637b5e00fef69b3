import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createAvoidedEngines } from "./avoided_engines.ts";

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
});

describe("engines that a call avoids", () => {
  // Guards against a begun answer that asks an engine again which has rejected it
  // a moment ago, and uses retries up that way.
  it("stay avoided for a while after a rejection, longer after each", () => {
    const avoided = createAvoidedEngines();
    const stillAvoided = [400, 200, 900, 200, 1_900, 200].map((ms, index) => {
      if (index % 2 === 0) avoided.reject("e-1");
      vi.advanceTimersByTime(ms);
      avoided.forgive();
      return avoided.has("e-1");
    });
    expect(stillAvoided).toEqual([true, false, true, false, true, false]);
  });

  it("are forgiven at once if they have not rejected the call", () => {
    const avoided = createAvoidedEngines(["e-1"]);
    avoided.add("e-2");
    avoided.forgive();
    expect([...avoided]).toEqual([]);
  });
});
