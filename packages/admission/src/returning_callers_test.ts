import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createReturningCallers,
  type ReturningCallers,
} from "./returning_callers.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const ROUTE = "ask";
const USUAL_MS = 20_000;
const FIRST = { arrival: "first", elapsedMs: 0 };

/** Sends first attempts to a route. */
function send(
  callers: ReturningCallers,
  count: number,
  deadlineMs = USUAL_MS,
  route = ROUTE,
): void {
  for (let sent = 0; sent < count; sent += 1)
    callers.classify(route, deadlineMs);
}

function setUp(): ReturningCallers {
  const callers = createReturningCallers();
  send(callers, 40);
  return callers;
}

function arrivalsOf(
  callers: ReturningCallers,
  deadlines: readonly number[],
): string[] {
  return deadlines.map(
    (deadlineMs) => callers.classify(ROUTE, deadlineMs).arrival,
  );
}

describe("callers that return", () => {
  it("are told from new ones by what is left of their deadline", () => {
    const callers = setUp();
    expect(callers.classify(ROUTE, 18_200)).toEqual({
      arrival: "returning",
      elapsedMs: 1_800,
    });
    expect(callers.classify(ROUTE, USUAL_MS - 29)).toEqual(FIRST);
    expect(callers.classify(ROUTE, USUAL_MS)).toEqual(FIRST);
  });

  // Guards against callers that get ahead of those that keep the delay.
  it("before their delay ends are told apart", () => {
    const callers = setUp();
    const hurried = [30, 100, 250].map((elapsedMs) => USUAL_MS - elapsedMs);
    expect(arrivalsOf(callers, hurried)).toEqual([
      "hurried",
      "hurried",
      "hurried",
    ]);
    expect(arrivalsOf(callers, [USUAL_MS - 300])).toEqual(["returning"]);
  });

  // Guards against storms that shift what counts as a first attempt, so that
  // callers that ignore the delay pass for new ones.
  it("again and again do not change what others count as", () => {
    const callers = setUp();
    for (let caller = 0; caller < 100; caller += 1) {
      expect(callers.classify(ROUTE, USUAL_MS)).toEqual(FIRST);
      const elapsed = [50, 100, 150, 200, 250].map(
        (elapsedMs) => USUAL_MS - elapsedMs,
      );
      expect(new Set(arrivalsOf(callers, elapsed))).toEqual(
        new Set(["hurried"]),
      );
    }
  });

  // Guards against callers that kept a delay below 300 ms, which is all that
  // their deadline allows, and count as if they had ignored it.
  it("after a short delay are not hurried on routes with short deadlines", () => {
    const callers = createReturningCallers();
    send(callers, 40, 601);
    expect(arrivalsOf(callers, [601 - 150, 601 - 200])).toEqual([
      "returning",
      "returning",
    ]);
    expect(arrivalsOf(callers, [601 - 50])).toEqual(["hurried"]);
  });
});

describe("a route whose usual deadline changes", () => {
  it("to a longer one counts no new caller as returning", () => {
    const callers = setUp();
    const longer = 30_000;
    const arrivals = arrivalsOf(callers, Array(60).fill(longer));
    expect(new Set(arrivals)).toEqual(new Set(["first"]));
    expect(callers.classify(ROUTE, longer - 2_000)).toEqual({
      arrival: "returning",
      elapsedMs: 2_000,
    });
  });

  it("to a shorter one counts new callers as such after 48 requests", () => {
    const callers = setUp();
    const shorter = 15_000;
    send(callers, 48, shorter);
    expect(callers.classify(ROUTE, shorter)).toEqual(FIRST);
    expect(arrivalsOf(callers, [shorter - 1_000])).toEqual(["returning"]);
  });

  it("to a shorter one counts new callers as such after a minute", () => {
    const callers = setUp();
    vi.advanceTimersByTime(60_001);
    expect(callers.classify(ROUTE, 15_000)).toEqual(FIRST);
  });
});

describe("a route with few requests", () => {
  it("counts its callers as new below 20 requests", () => {
    const callers = createReturningCallers();
    send(callers, 19);
    expect(callers.classify(ROUTE, 10_000)).toEqual(FIRST);
    expect(arrivalsOf(callers, [10_000])).toEqual(["returning"]);
  });

  it("counts its callers as new below 20 requests in a minute", () => {
    const callers = createReturningCallers();
    for (let request = 0; request < 40; request += 1) {
      send(callers, 1);
      vi.advanceTimersByTime(4_000);
    }
    expect(callers.classify(ROUTE, 10_000)).toEqual(FIRST);
  });
});

describe("a caller with absurd deadlines", () => {
  const absurd = [
    0,
    -1,
    -Infinity,
    Number.NaN,
    Infinity,
    Number.MAX_VALUE,
    1e12,
  ];

  // Guards against one caller that makes all others count as returning.
  it.each(absurd)("of %d changes nothing", (deadlineMs) => {
    const callers = setUp();
    for (let sent = 0; sent < 1_000; sent += 1)
      expect(callers.classify(ROUTE, deadlineMs)).toEqual(FIRST);
    expect(callers.classify(ROUTE, USUAL_MS)).toEqual(FIRST);
    expect(arrivalsOf(callers, [18_000])).toEqual(["returning"]);
  });

  it.each([60_000, 3_600_000, 1, 0.001])(
    "of %d among others changes nothing for them",
    (deadlineMs) => {
      const callers = setUp();
      for (let round = 0; round < 50; round += 1) {
        callers.classify(ROUTE, deadlineMs);
        for (let other = 0; other < 15; other += 1)
          expect(callers.classify(ROUTE, USUAL_MS)).toEqual(FIRST);
        expect(arrivalsOf(callers, [18_000])).toEqual(["returning"]);
      }
    },
  );

  it("changes nothing on a route with few requests", () => {
    const callers = createReturningCallers();
    send(callers, 2, 60_000);
    send(callers, 18);
    expect(callers.classify(ROUTE, USUAL_MS)).toEqual(FIRST);
    expect(arrivalsOf(callers, [18_000])).toEqual(["returning"]);
  });

  it("or without one counts as new", () => {
    expect(setUp().classify(ROUTE, null)).toEqual(FIRST);
  });
});

describe("10,000 routes", () => {
  // Guards against memory that grows with the number of routes.
  it("take the memory of 256, and the others are as new", () => {
    const callers = setUp();
    for (let route = 0; route < 10_000; route += 1) {
      send(callers, 20, USUAL_MS, `route-${route}`);
    }
    const kept = Array.from({ length: 10_000 }, (_, route) => 9_999 - route)
      .map((route) => callers.classify(`route-${route}`, 10_000).arrival)
      .filter((arrival) => arrival === "returning");
    expect(kept).toHaveLength(256);
    expect(callers.classify(ROUTE, 10_000)).toEqual(FIRST);
  });

  it("evict the least recently used ones", () => {
    const callers = setUp();
    for (let route = 0; route < 10_000; route += 1) {
      send(callers, 1, USUAL_MS, `route-${route}`);
      send(callers, 1);
    }
    expect(arrivalsOf(callers, [10_000])).toEqual(["returning"]);
  });
});
