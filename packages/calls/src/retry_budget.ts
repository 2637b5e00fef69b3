/** Limits retries to a fraction of the calls. */

const RETRIES_PER_CALL = 0.1;
const MAX_AVAILABLE_RETRIES = 10;

export interface RetryBudget {
  /** Adds the share of a retry that a new call earns. */
  countCall(): void;
  /** Takes one retry from the budget; returns `false` if there is none. */
  take(): boolean;
}

/**
 * Creates a budget of one retry per ten calls, with ten retries at the start.
 *
 * Without it, a service whose servers all fail would get each call once per
 * server, which multiplies the load of an overloaded service. With it, retries
 * add a tenth to the load.
 */
export function createRetryBudget(): RetryBudget {
  let availableRetries = MAX_AVAILABLE_RETRIES;
  return {
    countCall() {
      availableRetries = Math.min(
        MAX_AVAILABLE_RETRIES,
        availableRetries + RETRIES_PER_CALL,
      );
    },
    take() {
      if (availableRetries < 1) return false;
      availableRetries -= 1;
      return true;
    },
  };
}
