/**
 * How many answers this instance lets run at once on each engine. The window
 * follows the time between tokens that answers through the engine see: it
 * grows while they are well within the objective and shrinks when they are
 * not. It needs no report of the engine, which may be late or wrong, and no
 * word from other instances: all see the same engine's pace, so their windows
 * settle side by side. An engine that misses the objective even alone rests at
 * the smallest window. (A target raised to the best pace seen so far was tried:
 * an instance that came to a loaded engine never saw its best, aimed higher
 * than the others, and took nearly all of the engine.)
 */

/** Answers that run on a new or returning engine at first (slow start). */
const FIRST_WINDOW = 4;
const SMALLEST_WINDOW = 1;
/** Growth for each token until the first decrease. */
const STARTING_STEP = 0.25;
/** Growth in one round of tokens, whatever the pace. */
const GROWTH = 0.3;
/** Strongest decrease in one round, as a share of the window. */
const STRONGEST_DECREASE = 0.1;
/** Share of the objective that a healthy engine's answers stay below. */
const TARGET_SHARE = 0.73;
/** Which quantile of the gaps judges an engine; see `observe`. */
const JUDGED_QUANTILE = 0.25;
const QUANTILE_STEP_SHARE = 0.04;

/** Window of one engine. */
export interface EngineWindow {
  /** Answers that may run at once. */
  size(): number;
  /** Takes in the time between two tokens of an answer on the engine. */
  observe(gapMs: number, options: { readonly inFlight: number }): void;
  /** Starts over, slowly, because the engine was lost and came back. */
  reset(): void;
}

/** Creates the window of an engine about which nothing is known. */
export function createEngineWindow(options: {
  readonly betweenTokensMs: number;
  readonly largest: number;
}): EngineWindow {
  const target = options.betweenTokensMs * TARGET_SHARE;
  let size = FIRST_WINDOW;
  let isStarting = true;
  let pace = 0;

  /**
   * A gap is the time of a whole pipeline, of which this engine is one part.
   * The low quantile tells the parts apart: if even the better pipelines
   * through an engine are slow, the engine is; if only some are, another
   * engine of those is.
   */
  function track(gapMs: number): void {
    if (pace === 0) pace = gapMs;
    const step = Math.max(pace, 1) * QUANTILE_STEP_SHARE;
    pace +=
      gapMs > pace ? step * JUDGED_QUANTILE : -step * (1 - JUDGED_QUANTILE);
  }

  /**
   * The change for one token; about `size` tokens come in a round. Growth is
   * the same for every window and the decrease is a share of the window, so
   * windows of several instances on one engine can only come to rest when
   * they are equal. A growth that ended at the target would let any split
   * rest, for example one instance with all and the others with nothing.
   */
  function change(isUsed: boolean): number {
    const excess = Math.max(0, (pace - target) / target);
    const decrease = Math.min(STRONGEST_DECREASE, excess);
    // A window that is not used says nothing about a larger one.
    if (!isUsed) return -decrease;
    if (decrease > 0) isStarting = false;
    return isStarting ? STARTING_STEP : GROWTH / size - decrease;
  }

  return {
    size: () => Math.floor(size),
    observe(gapMs, { inFlight }) {
      track(gapMs);
      const isUsed = inFlight >= Math.floor(size) - 1;
      const next = size + change(isUsed);
      size = Math.min(options.largest, Math.max(SMALLEST_WINDOW, next));
    },
    reset() {
      size = FIRST_WINDOW;
      isStarting = true;
      pace = 0;
    },
  };
}
