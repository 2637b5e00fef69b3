/** Paces the reports that a coordinator receives. */

/** Target load; a report takes about 650 bytes both ways, with headers. */
const TARGET_REPORTS_PER_SECOND = 1;
const MIN_INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 600_000;
/** Minimum time between adjustments, or the interval if that is longer. */
const MIN_ADJUST_MS = 10_000;
/** Limit of the rate ratio in one adjustment, so that the interval settles. */
const MAX_STEP = 8;

export interface ReportInterval {
  /** Counts a report; returns the milliseconds until the sender's next one. */
  next(): number;
}

/**
 * Creates the report interval of one coordinator. Every instance reports an
 * organisation that is far beyond its limit, all to the same coordinator: 340
 * instances with a report a second would cost it 220 KB a second. So the
 * coordinator lengthens the interval until reports arrive at the target rate.
 * A new interval takes effect only with the senders' next reports, so it is
 * adjusted no sooner than that. With an adjustment every ten seconds, it would
 * oscillate between far too short and far too long.
 */
export function createReportInterval(): ReportInterval {
  let intervalMs = MIN_INTERVAL_MS;
  let reportCount = 0;
  let adjustedAt = performance.now();

  function adjust(elapsedMs: number): void {
    const perSecond = reportCount / (elapsedMs / 1_000);
    const rateRatio = perSecond / TARGET_REPORTS_PER_SECOND;
    const boundedRatio = Math.min(MAX_STEP, Math.max(1 / MAX_STEP, rateRatio));
    const next = intervalMs * Math.sqrt(boundedRatio);
    intervalMs = Math.min(MAX_INTERVAL_MS, Math.max(MIN_INTERVAL_MS, next));
  }

  return {
    next() {
      const now = performance.now();
      const elapsedMs = now - adjustedAt;
      if (elapsedMs >= Math.max(MIN_ADJUST_MS, intervalMs)) {
        adjust(elapsedMs);
        reportCount = 0;
        adjustedAt = now;
      }
      reportCount += 1;
      return intervalMs;
    },
  };
}
