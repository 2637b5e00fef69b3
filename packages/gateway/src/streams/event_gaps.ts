/** Derives from past events how long a pipeline may be silent. */

/** Bounds of the silence after which a pipeline is checked. */
const MIN_SILENCE_MS = 60;
const MAX_SILENCE_MS = 350;
/** Silence limit as a multiple of the longest recent gap between events. */
const SILENCE_GAP_FACTOR = 1.5;
/** Factor by which each event reduces the longest recent gap. */
const GAP_DECAY_PER_EVENT = 0.995;
/** Events after which the gaps of a pipeline are reliable. */
const MIN_EVENTS = 20;

export interface EventGaps {
  /**
   * Records an event of any answer on the pipeline. `gapMs` is the time since
   * the event before, or `null` if it says nothing about the pipeline's pace.
   */
  record(gapMs: number | null): void;
  /** Silence of all answers after which the pipeline is checked, in ms. */
  silenceLimitMs(): number;
}

/** Creates the gaps of a pipeline without events. */
export function createEventGaps(): EventGaps {
  let eventCount = 0;
  let longestGapMs = 0;

  return {
    record(gapMs) {
      eventCount += 1;
      if (gapMs === null) return;
      // The gap is capped, so that the longest one decays soon after a stall.
      const cappedMs = Math.min(gapMs, MAX_SILENCE_MS / SILENCE_GAP_FACTOR);
      longestGapMs = Math.max(longestGapMs * GAP_DECAY_PER_EVENT, cappedMs);
    },
    silenceLimitMs() {
      if (eventCount < MIN_EVENTS) return MAX_SILENCE_MS;
      const limitMs = SILENCE_GAP_FACTOR * longestGapMs;
      return Math.min(MAX_SILENCE_MS, Math.max(MIN_SILENCE_MS, limitMs));
    },
  };
}
