import { describe, expect, it } from "vitest";
import { createFairQueue, type FairQueue } from "./fair_queue.ts";

/** Classes by their numeric priority. */
const priorities = { interactive: 0, standard: 1, batch: 2 };

function attributes(
  organisation: string,
  options: {
    priority?: keyof typeof priorities;
    cost?: number;
    weight?: number;
  } = {},
) {
  const { priority = "standard", cost = 10, weight = 1 } = options;
  return { organisation, priority: priorities[priority], cost, weight };
}

function serveAll(queue: FairQueue<string>, count = 100): string[] {
  const served: string[] = [];
  for (let turn = 0; turn < count; turn++) {
    const ticket = queue.peek();
    if (!ticket) break;
    queue.serve(ticket);
    served.push(ticket.item);
  }
  return served;
}

describe("fair queue", () => {
  it("serves a small organisation between the requests of a large one", () => {
    // A large organisation has filled the queue. In order of arrival, the
    // single request of a small one would wait behind all of them.
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 5; index++) {
      queue.push(`large-${index}`, attributes("large"));
    }
    queue.push("small", attributes("small"));
    expect(serveAll(queue).indexOf("small")).toBe(1);
  });

  it("serves organisations in proportion to their weights", () => {
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 30; index++) {
      queue.push("heavy", attributes("heavy", { weight: 3 }));
      queue.push("light", attributes("light", { weight: 1 }));
    }
    const served = serveAll(queue, 20);
    const heavy = served.filter((name) => name === "heavy").length;
    expect(heavy).toBeGreaterThanOrEqual(14);
    expect(heavy).toBeLessThanOrEqual(16);
  });

  it("charges long requests more than short ones", () => {
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 20; index++) {
      queue.push("long", attributes("long", { cost: 40 }));
      queue.push("short", attributes("short", { cost: 10 }));
    }
    const served = serveAll(queue, 20);
    const short = served.filter((name) => name === "short").length;
    expect(short).toBeGreaterThanOrEqual(15);
  });

  it("prefers urgent classes without starving the others", () => {
    // Interactive requests arrive without a break. Batch requests must still
    // progress, or hours of overload would be an outage for their callers.
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 60; index++) {
      queue.push("interactive", attributes("one", { priority: "interactive" }));
      queue.push("batch", attributes("two", { priority: "batch" }));
    }
    const served = serveAll(queue, 51);
    const batch = served.filter((name) => name === "batch").length;
    expect(batch).toBe(3);
  });

  it("gives a class no credit for the time it was idle", () => {
    // Only batch requests were served before interactive ones arrive. The
    // interactive class must not catch up on all of that time at once.
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 50; index++) {
      queue.push("batch", attributes("two", { priority: "batch" }));
    }
    serveAll(queue, 40);
    for (let index = 0; index < 100; index++) {
      queue.push("interactive", attributes("one", { priority: "interactive" }));
    }
    const served = serveAll(queue, 34);
    const batch = served.filter((name) => name === "batch").length;
    expect(batch).toBeGreaterThanOrEqual(1);
    expect(batch).toBeLessThanOrEqual(3);
  });

  it("forgets organisations without queued requests", () => {
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 6_400; index++) {
      queue.push("one", attributes(`organisation-${index}`));
    }
    expect(serveAll(queue, 10_000)).toHaveLength(6_400);
    expect(queue.length()).toBe(0);
    expect(queue.workAhead(attributes("organisation-1"))).toBe(0);
  });

  it("reports how much work is ahead of a request", () => {
    const queue = createFairQueue<string>({ priorities: [0, 1, 2] });
    for (let index = 0; index < 5; index++) {
      queue.push("large", attributes("large"));
    }
    expect(queue.workAhead(attributes("large"))).toBe(50);
    expect(queue.workAhead(attributes("small"))).toBe(10);
  });
});
