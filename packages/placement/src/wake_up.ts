/** Lets tasks wait for a while or until they are woken. */
export interface WakeUp {
  /** Resolves after the time, or at the next `wake`. */
  wait(durationMs: number): Promise<void>;
  wake(): void;
}

/** Creates a wake-up with nobody waiting. */
export function createWakeUp(): WakeUp {
  const waiters = new Set<() => void>();

  return {
    wait(durationMs) {
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
      for (const waiter of [...waiters]) waiter();
    },
  };
}
