/** Counts calls against a rate. */

/**
 * What a call is for, the most urgent first: notes and leases; the end of
 * callers' work that ran; callers' work that has not begun and can be refused.
 */
export type CallUrgency = "control" | "finish" | "begin";

/** The calls that one instance may make. */
export interface CallBudget {
  /** Calls that are added each second. */
  readonly callsPerSecond: number;
  /**
   * Takes one call, or gives the wait in milliseconds until one is free.
   * Less urgent calls leave a reserve for the more urgent ones.
   */
  take(options: { readonly urgency: CallUrgency }): number;
}

/**
 * Shares of a full budget that calls leave alone. Without that of callers'
 * work a flood of orders used up every call, and a recall was refused as if
 * the store were away.
 */
const RESERVED_SHARES: Readonly<Record<CallUrgency, number>> = {
  control: 0,
  finish: 0.125,
  begin: 0.25,
};

/** Creates a budget that fills at a rate; a second's worth may be saved. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  const most = Math.max(1, callsPerSecond);
  let left = most;
  let filledAt = performance.now();
  return {
    callsPerSecond,
    take({ urgency }) {
      const least = 1 + most * RESERVED_SHARES[urgency];
      const now = performance.now();
      const filled = left + ((now - filledAt) / 1_000) * callsPerSecond;
      left = Math.min(most, filled);
      filledAt = now;
      if (left < least) {
        return Math.ceil(((least - left) / callsPerSecond) * 1_000);
      }
      left -= 1;
      return 0;
    },
  };
}
