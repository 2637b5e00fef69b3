import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createRequestLimits,
  type LimitedServer,
  type RequestLimits,
} from "./request_limits.ts";

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});
afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

const server: LimitedServer = { id: "s", startedAt: 1, failureDomain: "a" };
const WINDOW_MS = 4_000;
const STEP_MS = 10;

/** The most requests in a window that the platform allows. */
function maxRequests(perSecond: number): number {
  return 1.5 * perSecond * (WINDOW_MS / 1_000) + 5;
}

/** Replaces `Math.random` by a repeatable sequence. */
function seedRandom(seed: number): () => number {
  let state = seed;
  const next = () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
    return state / 2 ** 32;
  };
  vi.spyOn(Math, "random").mockImplementation(next);
  return next;
}

/** Limits of instances in three failure domains that know of each other. */
function createInstances(count: number): RequestLimits[] {
  const domainOf = (index: number) => "abc".charAt(index % 3);
  const domains = Array.from({ length: count }, (_, index) => domainOf(index));
  return domains.map((failureDomain) =>
    createRequestLimits({
      failureDomain,
      countInstances: (domain) =>
        domains.filter((other) => domain === null || other === domain).length,
    }),
  );
}

/** Counts what is sent if each instance tries `perSecond` times a second. */
function sendAll(
  instances: readonly RequestLimits[],
  options: {
    readonly perSecond: number;
    readonly durationMs: number;
    readonly random: () => number;
  },
): number[] {
  const sentAt: number[] = [];
  for (let at = 0; at < options.durationMs; at += STEP_MS) {
    for (const limits of instances) {
      if (options.random() > (options.perSecond * STEP_MS) / 1_000) continue;
      if (limits.allows(server) && limits.take(server)) sentAt.push(at);
    }
    vi.advanceTimersByTime(STEP_MS);
  }
  return sentAt;
}

function countInBusiestWindow(sentAt: readonly number[]): number {
  const counts = sentAt.map(
    (from) => sentAt.filter((at) => at >= from && at < from + WINDOW_MS).length,
  );
  return Math.max(0, ...counts);
}

const SIZES = [1, 2, 4, 5, 25, 32, 78, 340];
const LIMITS = [0, 0.5, 1, 3.4, 10, 50];
const CASES = SIZES.flatMap((size) => LIMITS.map((limit) => [limit, size]));

describe("a request limit", () => {
  // Guards against an overloaded server that gets several times what it can take,
  // because each instance applies the limit to its own requests alone.
  it.each(CASES)(
    "of %d a second holds for %d instances together",
    (limit, size) => {
      const random = seedRandom(size);
      const instances = createInstances(size);
      for (const limits of instances) limits.record(server, limit);
      const options = { perSecond: 20, durationMs: 30_000, random };
      const sentAt = sendAll(instances, options);
      expect(countInBusiestWindow(sentAt)).toBeLessThanOrEqual(
        maxRequests(limit),
      );
      expect(sentAt.length).toBeLessThanOrEqual(
        30 * Math.max(0.1, limit) + size,
      );
    },
  );

  // Guards against instances that all turn to a limited server at the same
  // moment, because the servers that they used until then are lost.
  it.each(CASES)(
    "of %d a second holds for %d instances that were idle",
    (limit, size) => {
      const random = seedRandom(size);
      const instances = createInstances(size);
      for (const limits of instances) limits.record(server, limit);
      vi.advanceTimersByTime(600_000);
      const options = { perSecond: 20, durationMs: 8_000, random };
      const sentAt = sendAll(instances, options);
      expect(countInBusiestWindow(sentAt)).toBeLessThanOrEqual(
        maxRequests(limit),
      );
    },
  );

  // Guards against a sum of up to twice the limit while an instance that has
  // restarted is not yet known to the others.
  it("holds while some instances don't count the only one of its domain", () => {
    const random = seedRandom(1);
    const local = createRequestLimits({
      failureDomain: "a",
      countInstances: (domain) => (domain === null ? 4 : 1),
    });
    const others = Array.from({ length: 3 }, () =>
      createRequestLimits({
        failureDomain: "b",
        countInstances: (domain) => (domain === "a" ? 0 : 3),
      }),
    );
    const instances = [local, ...others];
    for (const limits of instances) limits.record(server, 10);
    const options = { perSecond: 50, durationMs: 30_000, random };
    const sentAt = sendAll(instances, options);
    expect(countInBusiestWindow(sentAt)).toBeLessThanOrEqual(maxRequests(10));
  });

  it("is used for the most part by the server's own failure domain", () => {
    const random = seedRandom(1);
    const instances = createInstances(4);
    for (const limits of instances) limits.record(server, 10);
    const [a, , , d] = instances;
    const options = { perSecond: 50, durationMs: 30_000, random };
    const sentAt = sendAll(
      [a, d].flatMap((one) => one ?? []),
      options,
    );
    expect(sentAt.length / 30).toBeGreaterThan(6);
  });

  it("no longer applies once the server names none", () => {
    const [limits] = createInstances(1);
    limits?.record(server, 1);
    expect(limits?.take(server)).toBe(true);
    expect(limits?.take(server)).toBe(false);
    limits?.record(server, null);
    expect(limits?.take(server)).toBe(true);
  });

  it("no longer applies after a restart of the server", () => {
    const [limits] = createInstances(1);
    limits?.record(server, 1);
    limits?.take(server);
    expect(limits?.allows({ ...server, startedAt: 2 })).toBe(true);
    expect(limits?.allows(server)).toBe(false);
  });

  it("applies to the next request when it is raised", () => {
    const [limits] = createInstances(1);
    limits?.record(server, 0.1);
    limits?.take(server);
    limits?.record(server, 10);
    vi.advanceTimersByTime(200);
    expect(limits?.allows(server)).toBe(true);
  });
});
