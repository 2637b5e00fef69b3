/** Lets tasks wait for a duration or until they are woken. */
export interface WakeSignal {
  /** Number of calls of `wake` so far. */
  count(): number;
  /**
   * Resolves after the duration or at the next `wake`. Resolves at once if
   * `wake` was called since `count` returned `countBefore`: a task that was
   * busy during that call would otherwise miss it.
   */
  wait(durationMs: number, countBefore: number): Promise<void>;
  /** Wakes all waiting tasks. */
  wake(): void;
}

/** Creates a signal without waiting tasks. */
export function createWakeSignal(): WakeSignal {
  const waiters = new Set<() => void>();
  let count = 0;

  return {
    count: () => count,
    wait(durationMs, countBefore) {
      if (count > countBefore) return Promise.resolve();
      return new Promise((resolve) => {
        const timer = setTimeout(done, durationMs);
        waiters.add(done);
        function done(): void {
          clearTimeout(timer);
          waiters.delete(done);
          resolve();
        }
      });
    },
    wake() {
      count += 1;
      for (const waiter of [...waiters]) waiter();
    },
  };
}
