/** Limits concurrent recoveries of answers, by priority. */
import { type Priority, prioritySchema } from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";

const MAX_CONCURRENT_RECOVERIES = 8;

/** Slots for answers that recover from a lost stage or migrate. */
export interface RecoveryLimiter {
  /**
   * Waits for a slot. Resolves to a function that releases it, or to `null`
   * when `signal` is aborted first. The loss of one engine affects all of its
   * answers at once. Recomputing all their prompts concurrently would stall the
   * remaining engines, which would then be taken for frozen and abandoned.
   */
  acquireSlot(
    priority: Priority,
    signal: AbortSignal,
  ): Promise<(() => void) | null>;
}

interface Waiter {
  readonly rank: number;
  start(): void;
}

/** Creates a limiter, which all answers of an instance share. */
export function createRecoveryLimiter(
  options: { readonly maxConcurrent?: number; readonly metrics?: Metrics } = {},
): RecoveryLimiter {
  const { maxConcurrent = MAX_CONCURRENT_RECOVERIES, metrics } = options;
  const waiting: Waiter[] = [];
  let occupiedSlots = 0;

  function occupySlot(): () => void {
    occupiedSlots += 1;
    let isReleased = false;
    return () => {
      if (isReleased) return;
      isReleased = true;
      occupiedSlots -= 1;
      shiftMostUrgent()?.start();
    };
  }

  function shiftMostUrgent(): Waiter | undefined {
    const [first] = [...waiting].sort((a, b) => a.rank - b.rank);
    if (first) removeWaiter(first);
    return first;
  }

  function removeWaiter(waiter: Waiter): void {
    const index = waiting.indexOf(waiter);
    if (index >= 0) waiting.splice(index, 1);
    metrics?.recoveriesWaiting.set(waiting.length);
  }

  return {
    acquireSlot(priority, signal) {
      if (signal.aborted) return Promise.resolve(null);
      if (occupiedSlots < maxConcurrent) return Promise.resolve(occupySlot());
      return new Promise((resolve) => {
        const onAbort = () => {
          removeWaiter(waiter);
          resolve(null);
        };
        const waiter: Waiter = {
          rank: prioritySchema.options.indexOf(priority),
          start() {
            signal.removeEventListener("abort", onAbort);
            resolve(occupySlot());
          },
        };
        signal.addEventListener("abort", onAbort, { once: true });
        waiting.push(waiter);
        metrics?.recoveriesWaiting.set(waiting.length);
      });
    },
  };
}
