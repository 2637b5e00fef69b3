import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createSimulatedLoad } from "./simulated_load.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const ONE_ANSWER = 1_000;

/** Engines that one answer has filled for `durationMs`. */
async function setUpFull(
  durationMs = 100_000,
  options: Parameters<typeof createSimulatedLoad>[1] = {},
) {
  const load = createSimulatedLoad(ONE_ANSWER, options);
  await load.send({ priority: 0, durationMs });
  load.engines.searches = 0;
  return load;
}

describe("a request that waits", () => {
  it("leaves the queue at once when its caller leaves", async () => {
    const { send, queue, engines } = await setUpFull();
    const caller = new AbortController();
    const left = send({ priority: 0, signal: caller.signal });
    await vi.advanceTimersByTimeAsync(50);
    caller.abort();
    expect(await left).toMatchObject({ reason: "caller_left", waitedMs: 50 });
    expect(queue.waiting().size).toBe(0);
    // Engines granted to a caller that has left would never be released.
    engines.capacity += ONE_ANSWER;
    queue.pump();
    expect(engines.held).toBe(ONE_ANSWER);
  });

  it("is refused when its deadline passes, and not before", async () => {
    const { send, queue } = await setUpFull();
    const refused = send({ priority: 0, deadlineMs: 2_000 });
    await vi.advanceTimersByTimeAsync(499);
    expect(queue.waiting().get(0)?.requests).toBe(1);
    await vi.advanceTimersByTimeAsync(1);
    expect(await refused).toMatchObject({ reason: "too_late", waitedMs: 500 });
  });

  it("is refused at once when its engines are lost", async () => {
    const { send, engines, queue } = await setUpFull();
    const refused = send({ priority: 0 });
    const begun = send({ priority: 0, hasBegun: true });
    await vi.advanceTimersByTimeAsync(55);
    engines.isCovered = false;
    queue.pump();
    expect(await refused).toMatchObject({ reason: "uncovered", waitedMs: 55 });
    // A started response waits, since cutting it is the last resort.
    engines.isCovered = true;
    engines.capacity += ONE_ANSWER;
    await vi.advanceTimersByTimeAsync(100);
    expect((await begun).end).toBe("in_time");
  });

  it("is granted although the search for another one fails", async () => {
    let isFull = true;
    const { send, queue } = createSimulatedLoad(ONE_ANSWER, {
      tryGrant({ organisation }) {
        if (isFull) return "full";
        if (organisation === "faulty") throw new Error("search failed");
        return true;
      },
    });
    const faulty = expect(
      send({ priority: 0, organisation: "faulty" }),
    ).rejects.toThrow("search failed");
    const other = send({ priority: 1 });
    isFull = false;
    queue.pump();
    expect((await other).end).toBe("in_time");
    await faulty;
  });
});

describe("a stop with a full queue", () => {
  it("refuses what waits and what comes later, and leaves no timer", async () => {
    const { send, queue } = createSimulatedLoad(0);
    const waiting = [0, 1, 2, 2].map((priority) => send({ priority }));
    const begun = send({ priority: 1, hasBegun: true });
    await vi.advanceTimersByTimeAsync(20);
    queue.stop();
    for (const answer of await Promise.all([...waiting, begun]))
      expect(answer).toMatchObject({ reason: "stopped", waitedMs: 20 });
    expect((await send({ priority: 0 })).reason).toBe("stopped");
    expect(vi.getTimerCount()).toBe(0);
  });
});

describe("a full queue", () => {
  it("drops the last request for one that precedes it", async () => {
    const { send, queue } = await setUpFull(100_000, { maxRequests: 3 });
    const least = send({ priority: 2 });
    void send({ priority: 1 });
    void send({ priority: 1 });
    void send({ priority: 0 });
    expect(await least).toMatchObject({ reason: "queue_full" });
    expect((await send({ priority: 2 })).reason).toBe("queue_full");
    expect([...queue.waiting().keys()].sort()).toEqual([0, 1]);
    void send({ priority: 2, hasBegun: true });
    expect(queue.waiting().get(1)?.requests).toBe(1);
  });

  it("drops requests of the organisation with the longest backlog", async () => {
    const { send } = await setUpFull(100_000, { maxRequests: 3 });
    const large = [1, 2, 3].map(() =>
      send({ priority: 0, organisation: "large" }),
    );
    void send({ priority: 0, organisation: "small" });
    expect(await large[2]).toMatchObject({ reason: "queue_full" });
    const more = await send({ priority: 0, organisation: "large" });
    expect(more.reason).toBe("queue_full");
  });

  it("is bounded in bytes", async () => {
    const { send, queue } = await setUpFull(100_000, { maxBytes: 2_500 });
    void send({ priority: 1 });
    void send({ priority: 1 });
    expect((await send({ priority: 1 })).reason).toBe("queue_full");
    expect(queue.waiting().get(1)).toEqual({ requests: 2, cost: 2_000 });
  });
});

describe("searches for capacity", () => {
  it("are one for each pump, however many requests wait", async () => {
    const { send, queue, engines } = await setUpFull();
    for (let index = 0; index < 50; index += 1) void send({ priority: 1 });
    expect(engines.searches).toBe(1);
    await vi.advanceTimersByTimeAsync(1);
    queue.pump();
    expect(engines.searches).toBe(2);
  });

  it("are merged within 10 ms", async () => {
    const { send, queue, engines } = await setUpFull();
    void send({ priority: 0 });
    for (let index = 0; index < 25; index += 1) {
      queue.pump();
      await vi.advanceTimersByTimeAsync(1);
    }
    // The first pump at once, the others after 10 and 20 ms.
    expect(engines.searches).toBe(1 + 3);
  });

  it("follow every 100 ms while something waits", async () => {
    const { send, engines, queue } = await setUpFull();
    void send({ priority: 0, deadlineMs: 2_000 });
    await vi.advanceTimersByTimeAsync(450);
    expect(engines.searches).toBe(1 + 4);
    await vi.advanceTimersByTimeAsync(1_000);
    queue.pump();
    expect(engines.searches).toBe(1 + 4);
  });

  it("pass over four requests that are uncovered, and not more", async () => {
    const isUncovered = new Set(["a", "b", "c", "d"]);
    const searched: string[] = [];
    const { send, queue } = createSimulatedLoad(ONE_ANSWER, {
      tryGrant({ organisation }) {
        searched.push(organisation);
        return isUncovered.has(organisation) ? "uncovered" : "full";
      },
      waitsUncovered: () => true,
    });
    for (const organisation of ["a", "b", "c", "d", "e"])
      void send({ priority: 0, organisation });
    searched.length = 0;
    queue.pump();
    expect(searched).toEqual(["a", "b", "c", "d", "e"]);
    isUncovered.add("e");
    void send({ priority: 1, organisation: "f" });
    searched.length = 0;
    await vi.advanceTimersByTimeAsync(10);
    queue.pump();
    expect(searched).toEqual(["a", "b", "c", "d", "e"]);
  });
});

describe("load limits by class", () => {
  it("keep no more urgent class behind one that is at its limit", async () => {
    // Class 1 waits at its limit of half of the engines while there is room
    // for class 0, whose limit is higher.
    let held = 5;
    const { send } = createSimulatedLoad(ONE_ANSWER, {
      tryGrant: ({ priority }) =>
        held / 10 < (priority === 0 ? 1 : 0.5) ? true : "full",
      loadLimitOf: (priority) => (priority === 0 ? 1 : 0.5),
    });
    const waiting = send({ priority: 1 });
    expect((await send({ priority: 0 })).waitedMs).toBe(0);
    held = 4;
    await vi.advanceTimersByTimeAsync(100);
    expect((await waiting).waitedMs).toBe(100);
  });
});

/** Releases don't coincide with the regular pumps, which would merge them. */
const DURATION_MS = 70;

describe("started responses", () => {
  it("precede all others", async () => {
    const { send, engines } = await setUpFull(DURATION_MS);
    const fresh = send({ priority: 0 });
    const begun = send({
      priority: 2,
      hasBegun: true,
      durationMs: DURATION_MS,
    });
    await vi.advanceTimersByTimeAsync(DURATION_MS);
    expect((await begun).waitedMs).toBe(DURATION_MS);
    expect(engines.held).toBe(ONE_ANSWER);
    await vi.advanceTimersByTimeAsync(DURATION_MS);
    expect((await fresh).waitedMs).toBe(2 * DURATION_MS);
  });
});

describe("a refusal on arrival", () => {
  it("says how long the request would have waited", async () => {
    const { send, queue } = await setUpFull(DURATION_MS);
    const sent = Array.from({ length: 12 }, () =>
      send({ priority: 0, durationMs: DURATION_MS }),
    );
    await vi.advanceTimersByTimeAsync(5 * DURATION_MS);
    const perSecond = (ONE_ANSWER / DURATION_MS) * 1_000;
    expect(queue.costPerSecond() / perSecond).toBeGreaterThan(0.8);
    expect(queue.costPerSecond() / perSecond).toBeLessThan(1.2);
    // Seven requests are before it.
    const refused = await send({ priority: 0, deadlineMs: 1_000 });
    expect(refused).toMatchObject({ reason: "too_late", waitedMs: 0 });
    const waits = refused.expectedWaitMs / DURATION_MS;
    expect(waits).toBeGreaterThan(6);
    expect(waits).toBeLessThan(10);
    await vi.advanceTimersByTimeAsync(1_000);
    const ends = (await Promise.all(sent)).map(({ end }) => end);
    expect(ends).not.toContain("refused");
  });
});
