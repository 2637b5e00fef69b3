import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createSimulatedLoad,
  grantedCost,
  type SimulatedAnswer,
  shareInTime,
} from "./simulated_load.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

/** Room for 40 answers of 1,000 tokens that take a second each. */
const CAPACITY = 40_000;
const CLASSES = { priorities: [0, 1, 2] };

function ofClass(answers: readonly SimulatedAnswer[], priority: number) {
  return answers.filter((answer) => answer.priority === priority);
}

function sentWithin(
  answers: readonly SimulatedAnswer[],
  from: number,
  to: number,
) {
  const startedAt = answers[0]?.sentAt ?? 0;
  return answers.filter(({ sentAt }) => {
    const afterMs = sentAt - startedAt;
    return afterMs >= from && afterMs < to;
  });
}

/** Every wait has to end, and no refusal may come after its bound. */
function expectBoundedWaits(answers: readonly SimulatedAnswer[]): void {
  for (const { end, waitedMs } of answers) {
    expect(end).not.toBeNull();
    expect(waitedMs).toBeLessThanOrEqual(1_900);
  }
}

describe("burst of one class on full engines", () => {
  // Guards against less urgent requests that take the memory that answers free,
  // since they are more and ask more often.
  it("of the least urgent class leaves the others in time", async () => {
    const { sendFor, answers } = createSimulatedLoad(CAPACITY, CLASSES);
    sendFor(5_000, 12, () => ({ priority: 0 }));
    sendFor(5_000, 8, () => ({ priority: 1 }));
    sendFor(5_000, 20, () => ({ priority: 2 }));
    await vi.advanceTimersByTimeAsync(2_000);
    sendFor(3_000, 28, () => ({ priority: 2 }));
    await vi.advanceTimersByTimeAsync(10_000);
    const burst = sentWithin(answers, 2_000, 5_000);
    expect(shareInTime(ofClass(burst, 0))).toBe(1);
    expect(shareInTime(ofClass(burst, 1))).toBeGreaterThan(0.95);
    // The rest of the memory goes to the burst: some 20 of its 48 per second.
    expect(grantedCost(ofClass(burst, 2))).toBeGreaterThan(45_000);
    expectBoundedWaits(answers);
  });

  // Guards against strict priority, under which the others would get nothing
  // for as long as the burst lasts.
  it("of the most urgent class leaves the others their shares", async () => {
    const { sendFor, answers } = createSimulatedLoad(CAPACITY, CLASSES);
    sendFor(6_000, 24, () => ({ priority: 0 }));
    sendFor(6_000, 20, () => ({ priority: 1 }));
    sendFor(6_000, 20, () => ({ priority: 2 }));
    await vi.advanceTimersByTimeAsync(2_000);
    sendFor(4_000, 34, () => ({ priority: 0 }));
    await vi.advanceTimersByTimeAsync(12_000);
    const burst = sentWithin(answers, 2_000, 6_000);
    const granted = grantedCost(burst);
    expect(granted).toBeGreaterThan(0.9 * 4 * CAPACITY);
    const shares = [0, 1, 2].map(
      (priority) => grantedCost(ofClass(burst, priority)) / granted,
    );
    expect(shares[0]).toBeGreaterThan(0.65);
    expect(shares[1]).toBeGreaterThan(0.15);
    expect(shares[2]).toBeGreaterThan(0.03);
    expectBoundedWaits(answers);
  });
});

describe("one organisation of 24 with half of the load", () => {
  it("is refused what it asks for beyond its share", async () => {
    // Half as much again as the engines can give. In order of arrival, all
    // organisations would be refused the same share of their requests.
    const { sendFor, answers } = createSimulatedLoad(CAPACITY);
    sendFor(6_000, 30, () => ({ priority: 1, organisation: "large" }));
    sendFor(6_000, 29.9, (index) => ({
      priority: 1,
      organisation: `small-${index % 23}`,
    }));
    await vi.advanceTimersByTimeAsync(12_000);
    const sent = sentWithin(answers, 2_000, 6_000);
    const small = sent.filter(({ organisation }) => organisation !== "large");
    const large = sent.filter(({ organisation }) => organisation === "large");
    expect(shareInTime(small)).toBeGreaterThan(0.95);
    // What the small ones leave, a quarter of the engines, goes to the large.
    expect(grantedCost(large)).toBeGreaterThan(0.2 * 4 * CAPACITY);
    expectBoundedWaits(answers);
  });
});

describe("all callers that were refused in one second", () => {
  it.each(["returning", "hurried"] as const)(
    "leave new callers in time when they come back %s",
    async (arrival) => {
      const { sendFor, send, answers } = createSimulatedLoad(CAPACITY, CLASSES);
      sendFor(6_000, 20, () => ({ priority: 0 }));
      sendFor(6_000, 8, () => ({ priority: 1 }));
      await vi.advanceTimersByTimeAsync(2_000);
      for (let index = 0; index < 100; index += 1)
        void send({ priority: 0, arrival, elapsedMs: 1_200 });
      await vi.advanceTimersByTimeAsync(10_000);
      const after = sentWithin(answers, 2_000, 6_000);
      const first = after.filter((answer) => answer.arrival === "first");
      // Those that come back take what is free at that moment. The rest waits
      // behind new callers.
      expect(shareInTime(ofClass(first, 0))).toBeGreaterThan(0.95);
      expect(shareInTime(ofClass(first, 1))).toBeGreaterThan(0.9);
      const back = answers.filter((answer) => answer.arrival === arrival);
      expect(grantedCost(back)).toBeGreaterThan(0);
      expectBoundedWaits(answers);
    },
  );

  it("are served before callers that ignored the retry delay", async () => {
    const { send, queue } = createSimulatedLoad(1_000);
    // Releases don't coincide with the regular pumps, which would merge them.
    const durationMs = 70;
    void send({ priority: 0, durationMs });
    const hurried = send({ priority: 0, arrival: "hurried", durationMs });
    const back = send({ priority: 0, arrival: "returning", durationMs });
    await vi.advanceTimersByTimeAsync(durationMs);
    expect((await back).waitedMs).toBe(durationMs);
    expect(queue.waiting().get(0)?.requests).toBe(1);
    await vi.advanceTimersByTimeAsync(durationMs);
    expect((await hurried).waitedMs).toBe(2 * durationMs);
  });
});

describe("overload whose cause is gone", () => {
  // Guards against an overload that lasts because late work, or a rate that was
  // observed during the overload, keeps new requests out.
  it.each([
    ["a fifth of the engines", 0.2],
    ["no engine", 0],
  ])(
    "serves new requests in time within 3 s, after %s was left",
    async (_, left) => {
      const { sendFor, engines, queue, answers } = createSimulatedLoad(
        CAPACITY,
        CLASSES,
      );
      for (const [priority, perSecond] of [16, 10, 8].entries())
        sendFor(9_000, perSecond, () => ({ priority }));
      await vi.advanceTimersByTimeAsync(2_000);
      engines.capacity = CAPACITY * left;
      await vi.advanceTimersByTimeAsync(3_000);
      const refusedInOverload = answers.filter(({ end }) => end === "refused");
      expect(refusedInOverload.length).toBeGreaterThan(30);
      engines.capacity = CAPACITY;
      queue.pump();
      await vi.advanceTimersByTimeAsync(10_000);
      for (const from of [6_000, 7_000, 8_000]) {
        const sent = sentWithin(answers, from, from + 1_000);
        expect(shareInTime(sent)).toBeGreaterThan(0.9);
      }
      expectBoundedWaits(answers);
    },
  );
});

describe("long answers behind short ones", () => {
  it("are granted while short ones fit into each gap", async () => {
    // An answer of a tenth of the engines' memory. If the next short one were
    // granted whenever the long one doesn't fit, the gap would never grow.
    const { sendFor, answers } = createSimulatedLoad(CAPACITY);
    sendFor(5_000, 160, (index) => ({
      priority: 0,
      cost: 200,
      organisation: `short-${index % 10}`,
    }));
    sendFor(5_000, 1.5, () => ({
      priority: 0,
      cost: 4_000,
      organisation: "long",
    }));
    await vi.advanceTimersByTimeAsync(12_000);
    const sent = sentWithin(answers, 1_000, 5_000);
    const long = sent.filter(({ cost }) => cost === 4_000);
    const short = sent.filter(({ cost }) => cost === 200);
    expect(long.length).toBeGreaterThan(3);
    expect(shareInTime(long)).toBeGreaterThan(0.75);
    expect(shareInTime(short)).toBeGreaterThan(0.9);
    expectBoundedWaits(answers);
  });
});

describe("minimum share of the least urgent class", () => {
  it("is granted while all classes ask for more than there is", async () => {
    const { sendFor, answers } = createSimulatedLoad(CAPACITY, CLASSES);
    for (const priority of [0, 1, 2]) sendFor(8_000, 60, () => ({ priority }));
    await vi.advanceTimersByTimeAsync(16_000);
    const sent = sentWithin(answers, 2_000, 8_000);
    const granted = grantedCost(sent);
    expect(granted).toBeGreaterThan(0.9 * 6 * CAPACITY);
    const leastUrgent = grantedCost(ofClass(sent, 2)) / granted;
    // 1 of 21; the late lanes of the other classes take a part of it.
    expect(leastUrgent).toBeGreaterThan(0.04);
    expect(leastUrgent).toBeLessThan(0.1);
    // The three in one lane would get a third each.
    const mostUrgent = grantedCost(ofClass(sent, 0)) / granted;
    expect(mostUrgent).toBeGreaterThan(0.6);
    expectBoundedWaits(answers);
  });
});
