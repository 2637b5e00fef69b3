/** Spreads the reports that one home takes. */

/** A report costs about 650 bytes with HTTP's headers, both ways. */
const TAKEN_PER_SECOND = 1;
const SHORTEST_MS = 1_000;
const LONGEST_MS = 600_000;
/** The interval is set anew after this, or after itself if it is longer. */
const LOOK_MS = 10_000;
/** The most by which it changes at once, so that it settles. */
const LARGEST_STEP = 8;

export interface ReportInterval {
  /** Counts a report; returns after how long the sender may come again. */
  next(): number;
}

/**
 * Creates the interval of one home. Every instance reports the organisation
 * that is far beyond its limit, all to the same home: 340 of them at once a
 * second would cost it 220 KB a second. So the home lengthens the
 * interval until the reports come at the rate that it takes. What it sets
 * shows only when the senders come again, so it looks no sooner than that:
 * looking every ten seconds, it went from far too short to far too long.
 */
export function createReportInterval(): ReportInterval {
  let intervalMs = SHORTEST_MS;
  let taken = 0;
  let lookedAt = performance.now();

  function adjust(elapsedMs: number): void {
    const perSecond = taken / (elapsedMs / 1_000);
    const step = perSecond / TAKEN_PER_SECOND;
    const bounded = Math.min(LARGEST_STEP, Math.max(1 / LARGEST_STEP, step));
    const next = intervalMs * Math.sqrt(bounded);
    intervalMs = Math.min(LONGEST_MS, Math.max(SHORTEST_MS, next));
  }

  return {
    next() {
      const now = performance.now();
      const elapsedMs = now - lookedAt;
      if (elapsedMs >= Math.max(LOOK_MS, intervalMs)) {
        adjust(elapsedMs);
        taken = 0;
        lookedAt = now;
      }
      taken += 1;
      return intervalMs;
    },
  };
}
