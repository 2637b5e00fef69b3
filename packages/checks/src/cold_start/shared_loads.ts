/** Loads of weights from one source, which slow each other down. */
const STEP_MS = 50;

export interface SharedLoads {
  /** Resolves once a load is done that takes `durationMs` alone. */
  load(durationMs: number): Promise<void>;
}

/** Creates the source; more than `atOnce` loads share what it delivers. */
export function createSharedLoads(atOnce: number): SharedLoads {
  const loads = new Set<{ leftMs: number; readonly done: () => void }>();
  let timer: NodeJS.Timeout | undefined;
  let steppedAt = performance.now();

  function step(): void {
    const now = performance.now();
    const shareOfTime = Math.min(1, atOnce / loads.size);
    const progressMs = (now - steppedAt) * shareOfTime;
    steppedAt = now;
    for (const load of loads) {
      load.leftMs -= progressMs;
      if (load.leftMs > 0) continue;
      loads.delete(load);
      load.done();
    }
    if (loads.size > 0) return;
    clearInterval(timer);
    timer = undefined;
  }

  return {
    load: (durationMs) =>
      new Promise((done) => {
        if (loads.size === 0) {
          steppedAt = performance.now();
          timer = setInterval(step, STEP_MS);
        }
        loads.add({ leftMs: durationMs, done });
      }),
  };
}
