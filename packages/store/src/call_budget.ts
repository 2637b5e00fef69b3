/** Token bucket for store calls, with reserves for urgent calls. */

/**
 * Urgency of a call, in descending order: `control` for notes and leases,
 * `finish` for results of callers' work that ran, `begin` for callers' work
 * that has not started and can still be refused.
 */
export type CallUrgency = "control" | "finish" | "begin";

/** Limits the rate of store calls of one instance. */
export interface CallBudget {
  /** Refill rate. */
  readonly callsPerSecond: number;
  /**
   * Takes one call and returns 0, or returns the time in milliseconds until a
   * call is available. Less urgent calls leave a reserve for more urgent ones.
   */
  take(options: { readonly urgency: CallUrgency }): number;
}

/**
 * Share of the capacity that calls of each urgency must leave unused. Without
 * a reserve, a flood of orders would exhaust the budget, and a recall would be
 * refused as if the store were unreachable.
 */
const RESERVED_SHARES: Readonly<Record<CallUrgency, number>> = {
  control: 0,
  finish: 0.125,
  begin: 0.25,
};

/** Creates a full budget whose capacity is the calls of one second. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  const capacity = Math.max(1, callsPerSecond);
  let available = capacity;
  let filledAt = performance.now();
  return {
    callsPerSecond,
    take({ urgency }) {
      const required = 1 + capacity * RESERVED_SHARES[urgency];
      const now = performance.now();
      const refilled = available + ((now - filledAt) / 1_000) * callsPerSecond;
      available = Math.min(capacity, refilled);
      filledAt = now;
      if (available < required) {
        return Math.ceil(((required - available) / callsPerSecond) * 1_000);
      }
      available -= 1;
      return 0;
    },
  };
}
