/** Counts calls against a rate. */

/** The calls that one instance may make. */
export interface CallBudget {
  /** Takes one call, or gives the wait in milliseconds until one is free. */
  take(): number;
}

/** Creates a budget that fills at a rate; a second's worth may be saved. */
export function createCallBudget(callsPerSecond: number): CallBudget {
  const most = Math.max(1, callsPerSecond);
  let left = most;
  let filledAt = performance.now();
  return {
    take() {
      const now = performance.now();
      const filled = left + ((now - filledAt) / 1_000) * callsPerSecond;
      left = Math.min(most, filled);
      filledAt = now;
      if (left < 1) return Math.ceil(((1 - left) / callsPerSecond) * 1_000);
      left -= 1;
      return 0;
    },
  };
}
