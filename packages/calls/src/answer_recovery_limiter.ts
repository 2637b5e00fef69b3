/** Lets only so many answers recover at once, the urgent ones first. */
import { type Priority, prioritySchema } from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";

/** Recoveries of one instance at once. */
const AT_ONCE = 8;

/** Gives turns to answers that lost a stage. */
export interface RecoveryLimiter {
  /**
   * Resolves to how to end the turn, or to `null` when the caller left.
   * Losing one engine hits each answer on it in the same moment; rebuilt all
   * at once their prompts would hold up every other answer of the engines
   * that are left, which then look frozen and are given up in their turn.
   */
  takeTurn(
    priority: Priority,
    signal: AbortSignal,
  ): Promise<(() => void) | null>;
}

interface Waiter {
  readonly rank: number;
  start(): void;
}

/** Creates the limiter of one instance. */
export function createRecoveryLimiter(
  options: { readonly atOnce?: number; readonly metrics?: Metrics } = {},
): RecoveryLimiter {
  const { atOnce = AT_ONCE, metrics } = options;
  const waiting: Waiter[] = [];
  let running = 0;

  function begin(): () => void {
    running += 1;
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      running -= 1;
      takeNext()?.start();
    };
  }

  function takeNext(): Waiter | undefined {
    const [first] = [...waiting].sort((a, b) => a.rank - b.rank);
    if (first) leave(first);
    return first;
  }

  function leave(waiter: Waiter): void {
    const index = waiting.indexOf(waiter);
    if (index >= 0) waiting.splice(index, 1);
    metrics?.recoveriesWaiting.set(waiting.length);
  }

  return {
    takeTurn(priority, signal) {
      if (signal.aborted) return Promise.resolve(null);
      if (running < atOnce) return Promise.resolve(begin());
      return new Promise((resolve) => {
        const onAbort = () => {
          leave(waiter);
          resolve(null);
        };
        const waiter: Waiter = {
          rank: prioritySchema.options.indexOf(priority),
          start() {
            signal.removeEventListener("abort", onAbort);
            resolve(begin());
          },
        };
        signal.addEventListener("abort", onAbort, { once: true });
        waiting.push(waiter);
        metrics?.recoveriesWaiting.set(waiting.length);
      });
    },
  };
}
