/** Circuit breaker for the store calls of one instance. */
import { createLogger } from "@rosemarypin/telemetry";
import {
  CircuitState,
  ConsecutiveBreaker,
  circuitBreaker,
  DelegateBackoff,
  handleWhenResult,
} from "cockatiel";
import { fullJitterMs } from "./full_jitter.ts";
import type { StoreResult } from "./object_store.ts";

/** Consecutive failures that open the breaker. */
const FAILURES_TO_OPEN = 3;
const FIRST_PROBE_DELAY_MS = 500;
const MAX_PROBE_DELAY_MS = 5_000;
/** Each instance of the fleet adds this time to the delays. */
const FIRST_PROBE_DELAY_PER_INSTANCE_MS = 3;
const MAX_PROBE_DELAY_PER_INSTANCE_MS = 30;

const log = createLogger("store");

export interface StoreBreaker {
  /**
   * Resolves to whether calls may be sent. While the breaker is open, one
   * caller at a time sends a read-only probe; all others are refused at once.
   */
  admit(): Promise<boolean>;
  /** Sends a call and records whether it succeeded. */
  run<T>(send: () => Promise<StoreResult<T>>): Promise<StoreResult<T>>;
}

/**
 * Creates the breaker of one instance. Without it, all instances would send
 * their pending calls as soon as the store recovers, and overload it again.
 * Probe delays are random over a span that grows with the fleet, so that all
 * instances together send about 33 probes a second. An instance sends other
 * calls only after its probe has succeeded.
 */
export function createStoreBreaker(options: {
  readonly instances: () => number;
  readonly probe: () => Promise<StoreResult<unknown>>;
}): StoreBreaker {
  const policy = circuitBreaker(
    handleWhenResult((result) =>
      isStoreFailure(result as StoreResult<unknown>),
    ),
    {
      breaker: new ConsecutiveBreaker(FAILURES_TO_OPEN),
      halfOpenAfter: new DelegateBackoff(({ attempt }) =>
        probeDelayMs(attempt),
      ),
    },
  );
  policy.onBreak(() => log.warn("store_away"));
  policy.onReset(() => log.info("store_back"));
  let isProbing = false;

  function probeDelayMs(attempt: number): number {
    const instanceCount = options.instances();
    return fullJitterMs(attempt, {
      firstMs: Math.max(
        FIRST_PROBE_DELAY_MS,
        instanceCount * FIRST_PROBE_DELAY_PER_INSTANCE_MS,
      ),
      maxMs: Math.max(
        MAX_PROBE_DELAY_MS,
        instanceCount * MAX_PROBE_DELAY_PER_INSTANCE_MS,
      ),
    });
  }

  return {
    async admit() {
      if (policy.state === CircuitState.Closed) return true;
      if (isProbing) return false;
      isProbing = true;
      try {
        await policy.execute(options.probe);
      } catch {
        // The delay is not over, so no probe was sent.
      } finally {
        isProbing = false;
      }
      return isClosed();
    },
    async run(send) {
      try {
        return await policy.execute(send);
      } catch {
        return {
          kind: "unavailable",
          detail: "the store has just become unavailable",
        };
      }
    },
  };

  function isClosed(): boolean {
    return policy.state === CircuitState.Closed;
  }
}

/** Whether a result is evidence of a store fault. */
function isStoreFailure(result: StoreResult<unknown>): boolean {
  const hasFailed =
    result.kind === "unavailable" || result.kind === "reply_lost";
  return hasFailed && !result.isInconclusive;
}
