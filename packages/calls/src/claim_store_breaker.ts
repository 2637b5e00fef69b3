/** Circuit breaker for writes of claims to the store. */

const FAILURES_TO_OPEN = 2;
const PROBE_INTERVAL_MS = 1_000;

export interface ClaimStoreBreaker {
  /**
   * Returns 0 if the caller may write now, else the time until the next probe.
   * While the breaker is open, a caller that gets 0 is the probe.
   */
  admit(): number;
  /** Delay to report to a caller whose write failed. */
  readonly retryAfterMs: number;
  recordSuccess(): void;
  recordFailure(): void;
}

/**
 * Creates a breaker that opens for a second after two consecutive failures.
 *
 * Without it, each call waits for all write timeouts of a hanging store:
 * callers get `not_run` seconds late, and a recovering store receives all of
 * their retries at once. While the breaker is open, one call a second is let
 * through as a probe.
 */
export function createClaimStoreBreaker(): ClaimStoreBreaker {
  let consecutiveFailures = 0;
  let openUntil = Number.NEGATIVE_INFINITY;

  return {
    retryAfterMs: PROBE_INTERVAL_MS,
    admit() {
      if (consecutiveFailures < FAILURES_TO_OPEN) return 0;
      const now = performance.now();
      if (now < openUntil) return Math.ceil(openUntil - now);
      openUntil = now + PROBE_INTERVAL_MS;
      return 0;
    },
    recordSuccess() {
      consecutiveFailures = 0;
    },
    recordFailure() {
      consecutiveFailures += 1;
      openUntil = performance.now() + PROBE_INTERVAL_MS;
    },
  };
}
