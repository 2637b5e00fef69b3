/** Steps in progress, so that a run that hangs names what it waits for. */

export interface StepLog {
  /** Counts a step as in progress until `work` has ended. */
  during<T>(step: string, work: Promise<T>): Promise<T>;
  /** Rejects after `longestMs`, and names the steps in progress. */
  waitFor<T>(work: Promise<T>, longestMs: number): Promise<T>;
}

export function createStepLog(): StepLog {
  const inProgress = new Set<{ readonly name: string }>();

  return {
    async during(name, work) {
      const step = { name };
      inProgress.add(step);
      try {
        return await work;
      } finally {
        inProgress.delete(step);
      }
    },
    async waitFor(work, longestMs) {
      let timer: NodeJS.Timeout | undefined;
      const late = new Promise<never>((_, reject) => {
        timer = setTimeout(() => {
          const names = [...inProgress].map(({ name }) => name).join(", ");
          reject(new Error(`in progress after ${longestMs} ms: ${names}`));
        }, longestMs);
      });
      try {
        return await Promise.race([work, late]);
      } finally {
        clearTimeout(timer);
      }
    },
  };
}
