import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { RequestCodec } from "../protocol.ts";
import { endWithRefusal } from "./caller_answer.ts";
import type { CallerCall } from "./caller_call.ts";
import { createRetrySchedules } from "./retry_schedules.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

type RefusalOptions = Parameters<typeof endWithRefusal>[2];

const NOT_RUN = { outcome: "not_run", reason: "no_room", attempts: 0 } as const;
/** Requests of 100 tokens, of which 50 a second get capacity. */
const QUEUE = { cost: 100, costPerSecond: 5_000, expectedWaitMs: 0 };
const DEADLINE_MS = 20_000;

function setUp() {
  const encodeRefusal = vi.fn<RequestCodec["encodeRefusal"]>(() => ({}));
  const codec = { encodeRefusal } as unknown as RequestCodec;
  const parts = { codec, retrySchedules: createRetrySchedules() };
  const req = { complete: true };
  const response = { req, writeHead: vi.fn(), end: vi.fn() };

  /** Refuses a call; returns its end and the delay that its caller reads. */
  function refuseCall(
    options: RefusalOptions,
    service = "model",
    elapsedMs = 0,
  ) {
    const call = {
      service: { name: service },
      route: { priority: 1 },
      organisation: null,
      arrival: "first",
      startedAt: performance.now() - elapsedMs,
      deadlineAt: performance.now() + DEADLINE_MS - elapsedMs,
      metadata: { requestId: null },
      response,
    } as unknown as CallerCall;
    const end = endWithRefusal(parts, call, options);
    const told = encodeRefusal.mock.lastCall?.[0].retryAfterSeconds;
    return { end, told };
  }

  return { refuseCall };
}

describe("the retry delay of a refused call", () => {
  // Guards against a queue whose rate is known, and whose callers still return
  // after a delay from a fixed range.
  it("follows from what the admission queue knows", () => {
    const { refuseCall } = setUp();
    const delays = Array.from(
      { length: 20 },
      () => refuseCall({ ...NOT_RUN, ...QUEUE }).told ?? 0,
    );
    expect(delays[0]).toBeLessThanOrEqual(0.38);
    expect(delays.at(-1)).toBeGreaterThan(2);
    const late = refuseCall({ ...NOT_RUN, ...QUEUE, expectedWaitMs: 5_000 });
    expect(late.told).toBeGreaterThanOrEqual(5);
  });

  it("is in the range of its cause where the queue knows nothing", () => {
    const { refuseCall } = setUp();
    const retryDelay = { minSeconds: 1.2, maxSeconds: 3.2 };
    for (let count = 0; count < 50; count += 1) {
      const { told } = refuseCall({ ...NOT_RUN, cost: 100, retryDelay });
      expect(told).toBeGreaterThanOrEqual(1.19);
      expect(told).toBeLessThanOrEqual(3.2);
    }
  });

  it("is that of its own service", () => {
    const { refuseCall } = setUp();
    for (let count = 0; count < 20; count += 1)
      refuseCall({ ...NOT_RUN, ...QUEUE });
    const { told } = refuseCall({ ...NOT_RUN, ...QUEUE }, "another");
    expect(told).toBeLessThanOrEqual(0.38);
  });

  it("is the one that another instance named, if any", () => {
    const { refuseCall } = setUp();
    const named = { retryAfterSeconds: 4.25, backoffMs: 9_000 };
    const { told, end } = refuseCall({ ...NOT_RUN, ...QUEUE, ...named });
    expect([told, end.retryAfterSeconds]).toEqual([4.25, 4.25]);
    // It is not on the timeline of this instance.
    const own = refuseCall({ ...NOT_RUN, ...QUEUE });
    expect(own.told).toBeLessThanOrEqual(0.38);
  });

  // Guards against a delay that was a third of the time left at the instance that
  // named it, and is more than that when its refusal arrives.
  it("is at most a third of the time left when another instance named it", () => {
    const { refuseCall } = setUp();
    const named = { ...NOT_RUN, ...QUEUE, retryAfterSeconds: 6 };
    expect(refuseCall(named, "model", 5_000).told).toBe(5);
    expect(refuseCall(named, "model", 1_000).told).toBe(6);
  });

  // Guards against callers that return while servers want no requests.
  it("is the whole backoff of servers that another instance named", () => {
    const { refuseCall } = setUp();
    const named = { ...NOT_RUN, ...QUEUE, retryAfterSeconds: 8 };
    expect(refuseCall(named, "model", 15_000).told).toBe(8);
  });

  it("is not shorter than servers want no requests", () => {
    const { refuseCall } = setUp();
    const { told } = refuseCall({ ...NOT_RUN, backoffMs: 3_000 });
    expect(told).toBeGreaterThanOrEqual(3.4);
  });

  // Guards against delays that tell a caller to repeat what may have run, and
  // against work on the timeline that no caller returns with.
  it("is absent if it may have run", () => {
    const { refuseCall } = setUp();
    for (let count = 0; count < 20; count += 1) {
      const options = { ...NOT_RUN, ...QUEUE, outcome: "unknown" } as const;
      const { told, end } = refuseCall(options);
      expect(told).toBeNull();
      expect(end).toMatchObject({ status: 502 });
      expect(end).not.toHaveProperty("retryAfterSeconds");
    }
    const { told } = refuseCall({ ...NOT_RUN, ...QUEUE });
    expect(told).toBeLessThanOrEqual(0.38);
  });
});
