/**
 * Estimates the rate at which queued work is granted engines, from the grants
 * made while the queue was not empty. Predicts the wait for an amount of work.
 */

/** Time constant of the exponential decay of observations. */
const DECAY_TIME_MS = 2_000;

/** Service rate of one model's engines, as observed by this instance. */
export interface ServiceRate {
  /** Starts the measurement when the queue becomes non-empty. */
  startMeasurement(): void;
  /** Ends the measurement when the queue becomes empty without a grant. */
  endMeasurement(): void;
  /** Records granted work; `isBacklogged` is whether the queue is non-empty. */
  recordGrant(cost: number, options: { readonly isBacklogged: boolean }): void;
  /** Predicted time in milliseconds until `work` has been granted. */
  predictWaitMs(work: number): number;
  /** Cost granted per second; 0 without observations. */
  costPerSecond(): number;
}

/** Creates a rate without observations, which predicts no wait. */
export function createServiceRate(): ServiceRate {
  let costSum = 0;
  let timeSumMs = 0;
  let intervalStartedAt: number | null = null;

  /** Adds the time since the start of the interval to the observations. */
  function addInterval(now: number): void {
    if (intervalStartedAt === null) return;
    const elapsedMs = now - intervalStartedAt;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_MS);
    costSum *= decay;
    timeSumMs = timeSumMs * decay + elapsedMs;
  }

  return {
    startMeasurement() {
      intervalStartedAt ??= performance.now();
    },
    endMeasurement() {
      addInterval(performance.now());
      intervalStartedAt = null;
    },
    recordGrant(cost, { isBacklogged }) {
      const now = performance.now();
      addInterval(now);
      if (intervalStartedAt !== null) costSum += cost;
      // With an empty queue, the rate of grants is the arrival rate, not the
      // rate that the engines can sustain.
      intervalStartedAt = isBacklogged ? now : null;
    },
    predictWaitMs(work) {
      if (costSum === 0 || timeSumMs === 0) return 0;
      return (work * timeSumMs) / costSum;
    },
    costPerSecond() {
      return timeSumMs === 0 ? 0 : (costSum / timeSumMs) * 1_000;
    },
  };
}
