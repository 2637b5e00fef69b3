/** Keeps the calls of an instance back while the store is away. */
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

/** Failures in a row after which the store counts as away. */
const FAILURES_TO_OPEN = 3;
const FIRST_WAIT_MS = 500;
const LARGEST_WAIT_MS = 5_000;
/** Each instance of the fleet adds so much to the waits. */
const FIRST_WAIT_PER_INSTANCE_MS = 3;
const LARGEST_WAIT_PER_INSTANCE_MS = 30;

const log = createLogger("store");

export interface StoreBreaker {
  /**
   * Whether calls may go out. While the store is away one caller at a time
   * makes a probe, which changes nothing; all others are refused at once.
   */
  admits(): Promise<boolean>;
  /** Makes a call and learns from its outcome. */
  run<T>(send: () => Promise<StoreResult<T>>): Promise<StoreResult<T>>;
}

/**
 * Creates the breaker of one instance. When a store comes back, every call
 * that waited would go out within moments, from all instances together, and
 * bring it down again. Waits are random over a span that grows with the
 * fleet, so that the probes of all instances together stay at about 33 a
 * second, and an instance's own calls follow only after its probe.
 */
export function createStoreBreaker(options: {
  readonly instances: () => number;
  readonly probe: () => Promise<StoreResult<unknown>>;
}): StoreBreaker {
  const policy = circuitBreaker(
    handleWhenResult((result) => saysAway(result as StoreResult<unknown>)),
    {
      breaker: new ConsecutiveBreaker(FAILURES_TO_OPEN),
      halfOpenAfter: new DelegateBackoff(({ attempt }) => waitMs(attempt)),
    },
  );
  policy.onBreak(() => log.warn("store_away"));
  policy.onReset(() => log.info("store_back"));
  let probing = false;

  function waitMs(attempt: number): number {
    const count = options.instances();
    return fullJitterMs(attempt, {
      firstMs: Math.max(FIRST_WAIT_MS, count * FIRST_WAIT_PER_INSTANCE_MS),
      largestMs: Math.max(
        LARGEST_WAIT_MS,
        count * LARGEST_WAIT_PER_INSTANCE_MS,
      ),
    });
  }

  return {
    async admits() {
      if (policy.state === CircuitState.Closed) return true;
      if (probing) return false;
      probing = true;
      try {
        await policy.execute(options.probe);
      } catch {
        // The wait is not over; nothing went out.
      } finally {
        probing = false;
      }
      return isClosed();
    },
    async run(send) {
      try {
        return await policy.execute(send);
      } catch {
        return { kind: "unavailable", detail: "the store has just gone away" };
      }
    },
  };

  function isClosed(): boolean {
    return policy.state === CircuitState.Closed;
  }
}

/** Whether a result shows that the store does not work. */
function saysAway(result: StoreResult<unknown>): boolean {
  const isBroken =
    result.kind === "unavailable" || result.kind === "reply_lost";
  return isBroken && !result.storeMayWork;
}
