import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createOutlierEjection } from "./outlier_ejection.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

function setUp(serverCount = 10) {
  return createOutlierEjection({ countServers: () => serverCount });
}

type Ejection = ReturnType<typeof setUp>;

/** Milliseconds until the engine gets requests again. */
function msUntilBack(ejection: Ejection, id: string): number {
  let elapsedMs = 0;
  while (ejection.isEjected(id)) {
    vi.advanceTimersByTime(100);
    elapsedMs += 100;
  }
  return elapsedMs;
}

describe("outlier ejection", () => {
  // Guards against an engine that fails all requests at once while its reports
  // are good: it has no load, and every caller would be sent to it.
  it("keeps requests away for longer after each error", () => {
    const ejection = setUp();
    const waits = Array.from({ length: 5 }, () => {
      ejection.record("e", "error");
      return msUntilBack(ejection, "e");
    });
    expect(waits).toEqual([1_000, 2_000, 4_000, 8_000, 8_000]);
    vi.advanceTimersByTime(20_000);
    ejection.record("e", "error");
    expect(msUntilBack(ejection, "e")).toBe(1_000);
  });

  it("counts errors of requests that were sent before it only once", () => {
    const ejection = setUp();
    for (let request = 0; request < 5; request += 1)
      ejection.record("e", "error");
    expect(msUntilBack(ejection, "e")).toBe(1_000);
  });

  it("takes three broken connections in a row", () => {
    const ejection = setUp();
    for (const quality of ["broken", "broken", "good", "broken"] as const)
      ejection.record("e", quality);
    expect(ejection.isEjected("e")).toBe(false);
    ejection.record("e", "broken");
    ejection.record("e", "broken");
    expect(ejection.isEjected("e")).toBe(true);
  });

  // Guards against requests that make every engine fail.
  it("leaves most engines in service when all of them fail", () => {
    const ejection = setUp();
    const ids = Array.from({ length: 10 }, (_, at) => `e-${at}`);
    for (const id of ids) ejection.record(id, "error");
    expect(ids.filter(ejection.isEjected)).toEqual(["e-0", "e-1"]);
  });

  it("never takes the only engines of a service", () => {
    const ejection = setUp(2);
    ejection.record("e", "error");
    expect(ejection.isEjected("e")).toBe(false);
  });

  it("forgets an engine that was replaced", () => {
    const ejection = setUp();
    ejection.record("e", "error");
    ejection.forget("e");
    expect(ejection.isEjected("e")).toBe(false);
  });
});
