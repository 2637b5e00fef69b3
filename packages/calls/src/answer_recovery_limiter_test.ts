import { describe, expect, it } from "vitest";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const never = new AbortController().signal;

describe("recovery limiter", () => {
  /**
   * A machine with 200 answers dies. All of them rebuilt at once would stop
   * every other answer on the engines that are left, which then look frozen:
   * the loss of one machine would take down the rest. So few recover at once;
   * a mechanic's answer goes before a batch draft that came earlier.
   */
  it("recoveries wait for their turn, the urgent ones first", async () => {
    const limiter = createRecoveryLimiter({ atOnce: 2 });
    const order: string[] = [];
    const first = await limiter.takeTurn("batch", never);
    const second = await limiter.takeTurn("batch", never);
    const waiting = (["batch", "standard", "interactive"] as const).map(
      async (priority) => {
        const end = await limiter.takeTurn(priority, never);
        order.push(priority);
        return end;
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

  /** A caller leaves while its answer waits: the turn must go to the next. */
  it("a caller that left takes no turn", async () => {
    const limiter = createRecoveryLimiter({ atOnce: 1 });
    const left = new AbortController();
    const first = await limiter.takeTurn("standard", never);
    const leaving = limiter.takeTurn("interactive", left.signal);
    const staying = limiter.takeTurn("batch", never);
    left.abort();
    expect(await leaving).toBeNull();
    first?.();
    expect(await staying).not.toBeNull();
  });
});
