/** Lets tasks wait for a while or until they are woken. */
export interface WakeUp {
  /** How many times all were woken so far. */
  count(): number;
  /**
   * Resolves after the time, at the next `wake`, or at once if there was one
   * since `seen` was counted: a task that was busy then would miss it.
   */
  wait(durationMs: number, seen: number): Promise<void>;
  wake(): void;
}

/** Creates a wake-up with nobody waiting. */
export function createWakeUp(): WakeUp {
  const waiters = new Set<() => void>();
  let count = 0;

  return {
    count: () => count,
    wait(durationMs, seen) {
      if (count > seen) return Promise.resolve();
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
