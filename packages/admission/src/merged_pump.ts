/**
 * Merges wake-ups of a queue. Under load, responses end and reports arrive
 * every few milliseconds, and each pump costs a search for a pipeline.
 */

export interface MergedPump {
  /** Pumps now, or when the shortest time since the last pump has passed. */
  request(): void;
  /** Starts or stops the regular pumps. */
  setActive(isActive: boolean): void;
}

/** Creates an inactive pump; `run` must not throw. */
export function createMergedPump(options: {
  readonly run: () => void;
  /** Interval of the regular pumps. */
  readonly intervalMs: number;
  /** Shortest time between two pumps. */
  readonly minIntervalMs: number;
}): MergedPump {
  let lastRunAt = Number.NEGATIVE_INFINITY;
  let isRunning = false;
  let delayed: NodeJS.Timeout | null = null;
  let regular: NodeJS.Timeout | null = null;

  function request(): void {
    if (!regular || delayed) return;
    const waitMs = lastRunAt + options.minIntervalMs - performance.now();
    if (isRunning) delayed = setTimeout(run, options.minIntervalMs);
    else if (waitMs > 0) delayed = setTimeout(run, waitMs);
    else run();
  }

  function run(): void {
    clearDelayed();
    lastRunAt = performance.now();
    isRunning = true;
    try {
      options.run();
    } finally {
      isRunning = false;
    }
  }

  function clearDelayed(): void {
    if (delayed) clearTimeout(delayed);
    delayed = null;
  }

  return {
    request,
    setActive(isActive) {
      if (isActive === (regular !== null)) return;
      if (isActive) {
        regular = setInterval(request, options.intervalMs);
        return;
      }
      if (regular) clearInterval(regular);
      regular = null;
      clearDelayed();
    },
  };
}
