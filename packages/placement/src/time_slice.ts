/** Lets a long computation give way to the other work of the process. */

/** How long a computation may hold the process up, in milliseconds. */
const SLICE_MS = 8;

/** Turns that a computation takes. */
export interface TimeSlice {
  /** Whether it is time to let others go on. */
  isSpent(): boolean;
  /** Resolves when the others had their turn. */
  giveWay(): Promise<void>;
}

/**
 * Creates the first slice. A search of a whole domain takes seconds; held up
 * for so long, an instance would send no token and renew no lease.
 */
export function createTimeSlice(): TimeSlice {
  let endsAt = performance.now() + SLICE_MS;
  return {
    isSpent: () => performance.now() >= endsAt,
    async giveWay() {
      await new Promise<void>((resolve) => setImmediate(resolve));
      endsAt = performance.now() + SLICE_MS;
    },
  };
}
