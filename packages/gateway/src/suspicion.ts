/** Which backend servers are left alone for a while after failures. */

/** Time after a first failure, in milliseconds; doubled with each further. */
const FIRST_MS = 800;
const LONGEST_MS = 6_400;
/** A server without a failure for so long starts from the beginning. */
const FORGET_AFTER_MS = 15_000;

interface Doubt {
  readonly failures: number;
  readonly at: number;
  readonly until: number;
}

export interface Suspicion {
  /** Counts a failure that shows the server to be away. */
  failed(id: string): void;
  /** The server has shown that it works. */
  worked(id: string): void;
  isDoubted(id: string): boolean;
}

/** Creates a record without any doubt. */
export function createSuspicion(): Suspicion {
  const doubts = new Map<string, Doubt>();

  return {
    failed(id) {
      const now = performance.now();
      const last = doubts.get(id);
      const isRecent = last && now - last.at < FORGET_AFTER_MS;
      // Failures of requests that were sent before the first one showed count
      // as one: they say nothing about a second failure.
      if (last && now < last.until) return;
      const failures = isRecent ? last.failures + 1 : 1;
      const lastsMs = Math.min(LONGEST_MS, FIRST_MS * 2 ** (failures - 1));
      doubts.set(id, { failures, at: now, until: now + lastsMs });
    },
    worked(id) {
      doubts.delete(id);
    },
    isDoubted(id) {
      const doubt = doubts.get(id);
      return doubt !== undefined && performance.now() < doubt.until;
    },
  };
}
