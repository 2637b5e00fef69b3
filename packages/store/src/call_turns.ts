/** Lets calls wait a short while for their turn when the budget is empty. */
import type { CallBudget, CallUrgency } from "./call_budget.ts";

export interface TurnOptions {
  readonly urgency: CallUrgency;
  /** How long the call may wait in milliseconds; 0 refuses at once. */
  readonly longestWaitMs: number;
}

/** Turns of the calls that one instance may make. */
export interface CallTurns {
  /**
   * Resolves to 0 when the call may be sent, or at once to the wait in
   * milliseconds after which to ask again when its turn would come too late.
   */
  take(options: TurnOptions): Promise<number>;
}

interface Waiter {
  readonly until: number;
  readonly answer: (waitMs: number) => void;
}

const MOST_URGENT_FIRST: readonly CallUrgency[] = [
  "control",
  "finish",
  "begin",
];
const SHORTEST_LOOK_MS = 1;

/**
 * Creates turns over a budget: in the order of arrival, the more urgent first.
 *
 * A budget that only says yes or no refuses a burst that a wait of some
 * milliseconds would have carried, so callers see `not_run` from a healthy
 * store. A call is let in only if its turn is expected within its wait, so
 * what cannot be carried is still refused at once. Calls that wait 0 are
 * judged by the budget alone: a recall never stands behind orders.
 */
export function createCallTurns(budget: CallBudget): CallTurns {
  const waiting: Record<CallUrgency, Waiter[]> = {
    control: [],
    finish: [],
    begin: [],
  };
  let look: { readonly timer: NodeJS.Timeout; readonly at: number } | undefined;

  /** Calls that go before a new one of this urgency. */
  function countAhead(urgency: CallUrgency): number {
    const place = MOST_URGENT_FIRST.indexOf(urgency);
    const ahead = MOST_URGENT_FIRST.slice(0, place + 1);
    return ahead.reduce((sum, each) => sum + waiting[each].length, 0);
  }

  function refusalMs(urgency: CallUrgency, budgetMs: number): number {
    const aheadMs = (countAhead(urgency) / budget.callsPerSecond) * 1_000;
    return Math.ceil(budgetMs + aheadMs);
  }

  function serve(): void {
    look = undefined;
    let nextMs = Number.POSITIVE_INFINITY;
    for (const urgency of MOST_URGENT_FIRST) {
      const queue = waiting[urgency];
      dropLate(queue);
      let waitMs = 0;
      while (queue.length > 0 && waitMs === 0) {
        waitMs = budget.take({ urgency });
        if (waitMs === 0) queue.shift()?.answer(0);
      }
      if (queue.length > 0) nextMs = Math.min(nextMs, waitMs);
    }
    if (nextMs < Number.POSITIVE_INFINITY) lookAgainIn(nextMs);
  }

  /** More urgent calls that came later can push a turn past its time. */
  function dropLate(queue: Waiter[]): void {
    const now = performance.now();
    while (queue[0] && queue[0].until < now) {
      queue.shift()?.answer(Math.ceil(1_000 / budget.callsPerSecond));
    }
  }

  function lookAgainIn(waitMs: number): void {
    const delayMs = Math.max(SHORTEST_LOOK_MS, waitMs);
    const at = performance.now() + delayMs;
    if (look && look.at <= at) return;
    clearTimeout(look?.timer);
    look = { at, timer: setTimeout(serve, delayMs) };
  }

  return {
    async take({ urgency, longestWaitMs }) {
      const isFirst = longestWaitMs === 0 || countAhead(urgency) === 0;
      const budgetMs = isFirst ? budget.take({ urgency }) : 0;
      if (isFirst && budgetMs === 0) return 0;
      const waitMs = refusalMs(urgency, budgetMs);
      if (waitMs > longestWaitMs) return waitMs;
      return new Promise((answer) => {
        const until = performance.now() + longestWaitMs;
        waiting[urgency].push({ until, answer });
        lookAgainIn(budgetMs);
      });
    },
  };
}
