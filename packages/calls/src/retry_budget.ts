/** Limits retries to a share of the calls, so that they cannot pile up. */

const TOKENS_PER_CALL = 0.1;
const LARGEST_SAVING = 10;

export interface RetryBudget {
  /** Counts a first try. */
  earn(): void;
  /** Whether one retry may be made now; takes it from the budget. */
  spend(): boolean;
}

/**
 * Creates a budget of one retry for ten calls, with ten to begin with.
 *
 * Without it, a service whose servers all fail gets each call as many times
 * as it has servers, just when it can bear the least. With it, the load of a
 * failing service grows by a tenth.
 */
export function createRetryBudget(): RetryBudget {
  let tokens = LARGEST_SAVING;
  return {
    earn() {
      tokens = Math.min(LARGEST_SAVING, tokens + TOKENS_PER_CALL);
    },
    spend() {
      if (tokens < 1) return false;
      tokens -= 1;
      return true;
    },
  };
}
