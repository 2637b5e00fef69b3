/** Counts work in progress, so that a shutdown can wait for it. */
export interface WorkInProgress {
  /** Counts one piece of work; returns how to end it. */
  begin(): () => void;
  count(): number;
  /** Resolves to whether all work ended within the time. */
  waitForEnd(withinMs: number): Promise<boolean>;
}

/** Creates a counter at zero. */
export function createWorkInProgress(): WorkInProgress {
  let count = 0;
  const waiters = new Set<() => void>();

  return {
    begin() {
      count += 1;
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        count -= 1;
        if (count > 0) return;
        for (const waiter of waiters) waiter();
      };
    },
    count: () => count,
    waitForEnd(withinMs) {
      if (count === 0) return Promise.resolve(true);
      return new Promise((resolve) => {
        const timer = setTimeout(() => finish(false), withinMs);
        const waiter = () => finish(true);
        waiters.add(waiter);
        function finish(ended: boolean): void {
          clearTimeout(timer);
          waiters.delete(waiter);
          resolve(ended);
        }
      });
    },
  };
}
