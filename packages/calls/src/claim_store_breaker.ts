/** Refuses at once while the store is away, and tries it now and then. */

const FAILURES_TO_CLOSE = 2;
const RETRY_MS = 1_000;

export interface OutageGate {
  /** How long callers should stay away; 0 when the store may be tried. */
  waitMs(): number;
  /** How long a caller that met a failure should stay away. */
  readonly retryMs: number;
  succeeded(): void;
  failed(): void;
}

/**
 * Creates a gate that closes for a second after failures in a row.
 *
 * Without it each call of a hanging store waits for all its timeouts, so
 * callers are told `not_run` seconds late and the store gets, as it comes
 * back, all of their tries at once. The call that finds the gate open again
 * closes it behind itself, so one call a second tries the store.
 */
export function createOutageGate(): OutageGate {
  let failures = 0;
  let closedUntil = Number.NEGATIVE_INFINITY;

  return {
    retryMs: RETRY_MS,
    waitMs() {
      if (failures < FAILURES_TO_CLOSE) return 0;
      const now = performance.now();
      if (now < closedUntil) return Math.ceil(closedUntil - now);
      closedUntil = now + RETRY_MS;
      return 0;
    },
    succeeded() {
      failures = 0;
    },
    failed() {
      failures += 1;
      closedUntil = performance.now() + RETRY_MS;
    },
  };
}
