/** Limits retries to a fraction of the calls. */

const RETRIES_PER_CALL = 0.1;
const MAX_AVAILABLE_RETRIES = 10;
/**
 * Time in which a process has only the retries that its calls earn, since the
 * process before it may have used all others.
 */
const START_WINDOW_MS = 10_000;

export interface RetryBudget {
  /** Adds the share of a retry that a new call earns. */
  countCall(): void;
  /** Takes one retry from the budget; returns `false` if there is none. */
  take(): boolean;
}

/**
 * Creates a budget of one retry per ten calls. After the first window it is
 * filled up to ten, so that a service with few calls gets retries as well.
 *
 * In any ten seconds all processes of one name together take at most ten retries
 * and one for each ten calls, however often they restart: a process that starts
 * has earned none, and those that it takes meanwhile aren't given out again.
 *
 * Without it, a service whose servers all fail would get each call once per
 * server, which multiplies the load of an overloaded service. With it, retries
 * add a tenth to the load.
 */
export function createRetryBudget(startedAt = performance.now()): RetryBudget {
  let availableRetries = 0;
  let takenAtStart = 0;
  let isStarting = true;

  function add(retries: number): void {
    const total = availableRetries + retries;
    availableRetries = Math.min(MAX_AVAILABLE_RETRIES, total);
  }

  function endStart(): void {
    if (!isStarting || performance.now() - startedAt < START_WINDOW_MS) return;
    isStarting = false;
    add(Math.max(0, MAX_AVAILABLE_RETRIES - takenAtStart));
  }

  return {
    countCall: () => add(RETRIES_PER_CALL),
    take() {
      endStart();
      if (availableRetries < 1) return false;
      availableRetries -= 1;
      if (isStarting) takenAtStart += 1;
      return true;
    },
  };
}
