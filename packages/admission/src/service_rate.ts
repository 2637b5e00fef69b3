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

  /**
   * Sums up to now, the time since the last grant included. Both cost and time
   * decay, so that a pause of the grants is forgotten as fast as it was learnt.
   */
  function sumsAt(now: number): { cost: number; timeMs: number } {
    const elapsedMs = intervalStartedAt === null ? 0 : now - intervalStartedAt;
    const decay = Math.exp(-elapsedMs / DECAY_TIME_MS);
    return {
      cost: costSum * decay,
      timeMs: timeSumMs * decay + DECAY_TIME_MS * (1 - decay),
    };
  }

  function addInterval(now: number): void {
    const { cost, timeMs } = sumsAt(now);
    costSum = cost;
    timeSumMs = timeMs;
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
      const { cost, timeMs } = sumsAt(performance.now());
      return cost === 0 || timeMs === 0 ? 0 : (work * timeMs) / cost;
    },
    costPerSecond() {
      const { cost, timeMs } = sumsAt(performance.now());
      return timeMs === 0 ? 0 : (cost / timeMs) * 1_000;
    },
  };
}
