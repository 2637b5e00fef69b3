/** Limits retries to a fraction of the calls. */

const RETRIES_PER_CALL = 0.1;
const MAX_AVAILABLE_RETRIES = 10;
/** Available at the start; the process before may have used the others. */
const INITIAL_RETRIES = MAX_AVAILABLE_RETRIES / 4;
/** Time after which the other initial retries are available too. */
const START_WINDOW_MS = 10_000;

export interface RetryBudget {
  /** Adds the share of a retry that a new call earns. */
  countCall(): void;
  /** Takes one retry from the budget; returns `false` if there is none. */
  take(): boolean;
}

/**
 * Creates a budget of one retry per ten calls. A process that starts has two
 * retries at first, and ten after a window, so that restarts in series don't give
 * ten retries out each time.
 *
 * Without it, a service whose servers all fail would get each call once per
 * server, which multiplies the load of an overloaded service. With it, retries
 * add a tenth to the load.
 */
export function createRetryBudget(startedAt = performance.now()): RetryBudget {
  let availableRetries = INITIAL_RETRIES;
  let isStarting = true;

  function add(retries: number): void {
    const total = availableRetries + retries;
    availableRetries = Math.min(MAX_AVAILABLE_RETRIES, total);
  }

  return {
    countCall: () => add(RETRIES_PER_CALL),
    take() {
      if (isStarting && performance.now() - startedAt >= START_WINDOW_MS) {
        isStarting = false;
        add(MAX_AVAILABLE_RETRIES - INITIAL_RETRIES);
      }
      if (availableRetries < 1) return false;
      availableRetries -= 1;
      return true;
    },
  };
}
