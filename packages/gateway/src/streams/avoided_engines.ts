/** Engines that one call avoids, and for how long after a rejection. */

/** Time after an engine's first rejection; doubles with each further one. */
const FIRST_BACKOFF_MS = 500;

export interface AvoidedEngines extends Set<string> {
  /** Adds an engine that has rejected the call. */
  reject(id: string): void;
  /** Removes the engines but those that have rejected the call just now. */
  forgive(): void;
}

/** Creates a set of the engines that are avoided from the start. */
export function createAvoidedEngines(
  ids: Iterable<string> = [],
): AvoidedEngines {
  const avoided = new Set(ids);
  const backoffs = new Map<string, { until: number; lengthMs: number }>();
  return Object.assign(avoided, {
    reject(id: string): void {
      const last = backoffs.get(id)?.lengthMs ?? FIRST_BACKOFF_MS / 2;
      const lengthMs = 2 * last;
      backoffs.set(id, { until: performance.now() + lengthMs, lengthMs });
      avoided.add(id);
    },
    forgive(): void {
      const now = performance.now();
      for (const id of avoided) {
        if ((backoffs.get(id)?.until ?? 0) <= now) avoided.delete(id);
      }
    },
  });
}
