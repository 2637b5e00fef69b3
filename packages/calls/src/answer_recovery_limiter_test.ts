import { describe, expect, it } from "vitest";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const neverAborted = new AbortController().signal;

describe("recovery limiter", () => {
  /**
   * A machine with 200 answers fails. Recovering all of them at once would
   * stall the remaining engines, which would then be taken for frozen: a
   * cascading failure. Recoveries are therefore limited, and an interactive
   * answer goes before a batch answer that has waited longer.
   */
  it("limits concurrent recoveries and serves urgent ones first", async () => {
    const limiter = createRecoveryLimiter({ maxConcurrent: 2 });
    const order: string[] = [];
    const first = await limiter.acquireSlot("batch", neverAborted);
    const second = await limiter.acquireSlot("batch", neverAborted);
    const waiting = (["batch", "standard", "interactive"] as const).map(
      async (priority) => {
        const releaseSlot = await limiter.acquireSlot(priority, neverAborted);
        order.push(priority);
        return releaseSlot;
      },
    );
    await Promise.resolve();
    expect(order).toEqual([]);
    first?.();
    first?.();
    (await waiting[2])?.();
    (await waiting[1])?.();
    await waiting[0];
    second?.();
    expect(order).toEqual(["interactive", "standard", "batch"]);
  });

  /**
   * A caller disconnects while its answer waits: the next one gets the slot.
   */
  it("gives no slot to a caller that has disconnected", async () => {
    const limiter = createRecoveryLimiter({ maxConcurrent: 1 });
    const left = new AbortController();
    const first = await limiter.acquireSlot("standard", neverAborted);
    const leaving = limiter.acquireSlot("interactive", left.signal);
    const staying = limiter.acquireSlot("batch", neverAborted);
    left.abort();
    expect(await leaving).toBeNull();
    first?.();
    expect(await staying).not.toBeNull();
  });
});
