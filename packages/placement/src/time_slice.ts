/** Lets a long computation yield to the event loop. */

/** Time that a computation may run without yielding, in milliseconds. */
const SLICE_MS = 8;

/** Tracks how long a computation has run since it last yielded. */
export interface TimeSlice {
  /** Whether the computation should yield. */
  shouldYield(): boolean;
  /** Yields to the event loop and starts a new slice. */
  yieldToEventLoop(): Promise<void>;
}

/**
 * Starts a time slice. The search over a whole domain takes seconds; without
 * yielding, the instance would send no tokens and renew no leases meanwhile.
 */
export function createTimeSlice(): TimeSlice {
  let endsAt = performance.now() + SLICE_MS;
  return {
    shouldYield: () => performance.now() >= endsAt,
    async yieldToEventLoop() {
      await new Promise<void>((resolve) => setImmediate(resolve));
      endsAt = performance.now() + SLICE_MS;
    },
  };
}
