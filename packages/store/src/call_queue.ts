/** Queue for store calls that wait for an empty budget to refill. */
import type { CallBudget, CallUrgency } from "./call_budget.ts";

export interface AdmissionOptions {
  readonly urgency: CallUrgency;
  /** How long the call may wait in milliseconds; 0 refuses at once. */
  readonly maxWaitMs: number;
}

/** Admits the store calls of one instance. */
export interface CallQueue {
  /**
   * Resolves to 0 when the call may be sent, else to a retry delay in
   * milliseconds: at once if the expected wait exceeds `maxWaitMs`, or
   * later if the call expires in the queue.
   */
  take(options: AdmissionOptions): Promise<number>;
}

interface Waiter {
  readonly expiresAt: number;
  readonly resolve: (waitMs: number) => void;
}

const MOST_URGENT_FIRST: readonly CallUrgency[] = [
  "control",
  "finish",
  "begin",
];
const MIN_RECHECK_DELAY_MS = 1;

/**
 * Creates a queue over a budget: by urgency, then in order of arrival.
 *
 * Without a queue, a burst that would fit after a few milliseconds is refused,
 * and callers get `not_run` although the store is healthy. A call is queued
 * only if it is expected to be admitted within its wait, so overload is still
 * refused at once. Calls with a wait of 0 skip the queue and depend only on
 * the budget, so a recall never queues behind orders.
 */
export function createCallQueue(budget: CallBudget): CallQueue {
  const waitersByUrgency: Record<CallUrgency, Waiter[]> = {
    control: [],
    finish: [],
    begin: [],
  };
  let nextRecheck:
    | { readonly timer: NodeJS.Timeout; readonly dueAt: number }
    | undefined;

  /** Number of queued calls that precede a new call of this urgency. */
  function countAhead(urgency: CallUrgency): number {
    const rank = MOST_URGENT_FIRST.indexOf(urgency);
    const ahead = MOST_URGENT_FIRST.slice(0, rank + 1);
    return ahead.reduce(
      (sum, level) => sum + waitersByUrgency[level].length,
      0,
    );
  }

  function retryAfterMs(urgency: CallUrgency, budgetMs: number): number {
    const aheadMs = (countAhead(urgency) / budget.callsPerSecond) * 1_000;
    return Math.ceil(budgetMs + aheadMs);
  }

  function admitWaiters(): void {
    nextRecheck = undefined;
    let recheckMs = Number.POSITIVE_INFINITY;
    for (const urgency of MOST_URGENT_FIRST) {
      const queue = waitersByUrgency[urgency];
      refuseExpired(queue);
      let waitMs = 0;
      while (queue.length > 0 && waitMs === 0) {
        waitMs = budget.take({ urgency });
        if (waitMs === 0) queue.shift()?.resolve(0);
      }
      if (queue.length > 0) recheckMs = Math.min(recheckMs, waitMs);
    }
    if (recheckMs < Number.POSITIVE_INFINITY) scheduleRecheck(recheckMs);
  }

  /** Calls can expire if more urgent calls arrive after them. */
  function refuseExpired(queue: Waiter[]): void {
    const now = performance.now();
    while (queue[0] && queue[0].expiresAt < now) {
      queue.shift()?.resolve(Math.ceil(1_000 / budget.callsPerSecond));
    }
  }

  function scheduleRecheck(waitMs: number): void {
    const delayMs = Math.max(MIN_RECHECK_DELAY_MS, waitMs);
    const dueAt = performance.now() + delayMs;
    if (nextRecheck && nextRecheck.dueAt <= dueAt) return;
    clearTimeout(nextRecheck?.timer);
    nextRecheck = { dueAt, timer: setTimeout(admitWaiters, delayMs) };
  }

  return {
    async take({ urgency, maxWaitMs }) {
      const isFirst = maxWaitMs === 0 || countAhead(urgency) === 0;
      const budgetMs = isFirst ? budget.take({ urgency }) : 0;
      if (isFirst && budgetMs === 0) return 0;
      const waitMs = retryAfterMs(urgency, budgetMs);
      if (waitMs > maxWaitMs) return waitMs;
      return new Promise((resolve) => {
        const expiresAt = performance.now() + maxWaitMs;
        waitersByUrgency[urgency].push({ expiresAt, resolve });
        scheduleRecheck(budgetMs);
      });
    },
  };
}
