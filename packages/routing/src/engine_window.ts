/**
 * Concurrency window of an engine: how many answers of this instance may run
 * on it at the same time. The window follows the time between the tokens of
 * the answers: it grows while they are well within the objective and shrinks
 * when they are not. It needs neither the engine's reports, which may be late
 * or wrong, nor messages between instances: all instances observe the same
 * pace of the engine, so their windows converge. An engine that misses the
 * objective even with one answer keeps the minimum window.
 *
 * The target is fixed and does not follow the best pace observed: an instance
 * that starts to use a loaded engine never observes its best pace, so it would
 * have a higher target than the others and take nearly all of the engine.
 */

/** Window of a new or recovered engine (slow start). */
const INITIAL_WINDOW = 4;
const MIN_WINDOW = 1;
/** Growth per token during slow start, which ends at the first decrease. */
const SLOW_START_STEP = 0.25;
/** Growth per round (one token of each answer), independent of the pace. */
const GROWTH_PER_ROUND = 0.3;
/** Maximum decrease per round, as a share of the window. */
const MAX_DECREASE_SHARE = 0.1;
/** Target pace, as a share of the objective. */
const TARGET_SHARE = 0.73;
/** Quantile of the gaps that is taken as the engine's pace. */
const PACE_QUANTILE = 0.25;
/** Step of the quantile estimate, as a share of the pace. */
const QUANTILE_STEP_SHARE = 0.04;

/** Concurrency window of one engine. */
export interface EngineWindow {
  /** Number of answers that may run concurrently. */
  size(): number;
  /** Records the gap between two tokens of an answer on the engine. */
  observe(gapMs: number, options: { readonly inFlight: number }): void;
  /** Returns to slow start, for an engine that was lost and recovered. */
  reset(): void;
}

/** Creates the window of an engine without observations, in slow start. */
export function createEngineWindow(options: {
  readonly betweenTokensMs: number;
  readonly maxSize: number;
}): EngineWindow {
  const targetMs = options.betweenTokensMs * TARGET_SHARE;
  let size = INITIAL_WINDOW;
  let isSlowStart = true;
  let paceMs = 0;

  /**
   * Updates the estimate of a low quantile of the gaps. A gap is the time of a
   * whole pipeline, of which this engine is one stage. If even the faster
   * pipelines through the engine are slow, the engine itself is slow; if only
   * some of them are, one of their other engines is.
   */
  function updatePace(gapMs: number): void {
    if (paceMs === 0) paceMs = gapMs;
    const step = Math.max(paceMs, 1) * QUANTILE_STEP_SHARE;
    paceMs +=
      gapMs > paceMs ? step * PACE_QUANTILE : -step * (1 - PACE_QUANTILE);
  }

  /**
   * Returns the change of the window for one token; a round has about `size`
   * tokens. Growth is the same for every window and the decrease is a share of
   * the window, so the windows of several instances on one engine are stable
   * only when they are equal. If growth stopped at the target, any split would
   * be stable, for example all for one instance and nothing for the others.
   */
  function windowChange(isUsed: boolean): number {
    const excess = Math.max(0, (paceMs - targetMs) / targetMs);
    const decrease = Math.min(MAX_DECREASE_SHARE, excess);
    // An unused window gives no evidence that a larger one would be safe.
    if (!isUsed) return -decrease;
    if (decrease > 0) isSlowStart = false;
    return isSlowStart ? SLOW_START_STEP : GROWTH_PER_ROUND / size - decrease;
  }

  return {
    size: () => Math.floor(size),
    observe(gapMs, { inFlight }) {
      updatePace(gapMs);
      const isUsed = inFlight >= Math.floor(size) - 1;
      const next = size + windowChange(isUsed);
      size = Math.min(options.maxSize, Math.max(MIN_WINDOW, next));
    },
    reset() {
      size = INITIAL_WINDOW;
      isSlowStart = true;
      paceMs = 0;
    },
  };
}
