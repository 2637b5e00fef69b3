/** Measures when the events of a stream are passed to its caller. */

export interface PaceSummary {
  readonly events: number;
  /** From the request to the first event, in milliseconds. */
  readonly firstMs: number | null;
  /** The longest time between two events, in milliseconds. */
  readonly pauseMs: number;
  /** From the request to the beginning of that pause, in milliseconds. */
  readonly pauseAtMs: number;
}

export interface StreamPace {
  /** Records that an event is passed on now. */
  event(): void;
  /** Time of the last event, or of the request, by the monotonic clock. */
  lastEventAt(): number;
  /** Returns the measurements so far. */
  summary(): PaceSummary;
}

/**
 * Creates the measurement of one stream.
 *
 * @param startedAt Arrival of the request by the monotonic clock, in ms.
 */
export function createStreamPace(startedAt: number): StreamPace {
  let events = 0;
  let firstMs: number | null = null;
  let lastAt = startedAt;
  let pauseMs = 0;
  let pauseAtMs = 0;

  function updateLongestPause(now: number): void {
    if (events === 0 || now - lastAt <= pauseMs) return;
    pauseMs = now - lastAt;
    pauseAtMs = lastAt - startedAt;
  }

  return {
    event() {
      const now = performance.now();
      updateLongestPause(now);
      events += 1;
      firstMs ??= now - startedAt;
      lastAt = now;
    },
    lastEventAt: () => lastAt,
    summary() {
      return { events, firstMs, pauseMs, pauseAtMs };
    },
  };
}
