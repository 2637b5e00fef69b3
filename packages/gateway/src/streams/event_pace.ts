/** Detects that the events of answers on a pipeline have become slower. */

/** Weight of the newest interval in the moving mean of recent ones. */
const RECENT_WEIGHT = 0.1;
/** Weight in the moving mean of usual intervals, which changes slowly. */
const USUAL_WEIGHT = 0.002;
/** Intervals after which the means are reliable. */
const MIN_INTERVALS = 40;
/**
 * Ratio of the recent to the usual mean above which events count as slow. A
 * change of load alone rarely reaches it.
 */
const SLOW_RATIO = 1.5;

export interface EventPace {
  /** Records the time between two events of one answer, in milliseconds. */
  record(intervalMs: number): void;
  isSlow(): boolean;
}

/** Creates the pace of a pipeline without events. */
export function createEventPace(): EventPace {
  let count = 0;
  let recentMs = 0;
  let usualMs = 0;

  /** Starts as the mean of all intervals, so that the first has no excess weight. */
  function move(meanMs: number, intervalMs: number, weight: number): number {
    return meanMs + Math.max(weight, 1 / count) * (intervalMs - meanMs);
  }

  return {
    record(intervalMs) {
      count += 1;
      recentMs = move(recentMs, intervalMs, RECENT_WEIGHT);
      usualMs = move(usualMs, intervalMs, USUAL_WEIGHT);
    },
    isSlow: () => count >= MIN_INTERVALS && recentMs > SLOW_RATIO * usualMs,
  };
}
