/** Counts calls against a rate. */

/** The calls that one instance may make. */
export interface CallBudget {
  /**
   * Takes one call, or gives the wait in milliseconds until one is free.
   * Calls that `mayWait` leave a reserve for the others.
   */
  take(options: { readonly mayWait: boolean }): number;
}

/**
 * Share of a full budget that calls of callers' work leave alone. Without it
 * a flood of orders used up every call, and a recall was refused as if the
 * store were away.
 */
const RESERVED_SHARE = 0.25;

/** Creates a budget that fills at a rate; a second's worth may be saved. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  const most = Math.max(1, callsPerSecond);
  let left = most;
  let filledAt = performance.now();
  return {
    take({ mayWait }) {
      const least = mayWait ? 1 + most * RESERVED_SHARE : 1;
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
