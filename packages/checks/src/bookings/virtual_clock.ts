/** Time that moves only when the check says so, for this process alone. */

const realSetImmediate = setImmediate;

interface Timer {
  readonly id: number;
  readonly owner: string;
  readonly dueAt: number;
  readonly run: () => void;
}

export interface VirtualClock {
  /** Moves to the next timer whose owner can run; `false` for none. */
  fireNext(canRun: (owner: string) => boolean): boolean;
  advance(durationMs: number): void;
  /** Lets all code run that waits for nothing but resolved promises. */
  settle(): Promise<void>;
  uninstall(): void;
}

/** Puts the clock in place of the runtime's; `owner` names who sets a timer. */
export function installVirtualClock(owner: () => string): VirtualClock {
  const timers = new Map<number, Timer>();
  const real = { setTimeout, clearTimeout, now: Date.now };
  const realPerformanceNow = performance.now.bind(performance);
  let now = 1_800_000_000_000;
  let nextId = 1;

  function fakeSetTimeout(run: () => void, delayMs = 0): number {
    const id = nextId;
    nextId += 1;
    timers.set(id, { id, owner: owner(), dueAt: now + delayMs, run });
    return id;
  }

  function setPerformanceNow(value: () => number): void {
    Object.defineProperty(performance, "now", { value, configurable: true });
  }

  Object.assign(globalThis, {
    setTimeout: fakeSetTimeout,
    clearTimeout: (id: number) => timers.delete(id),
  });
  Date.now = () => now;
  setPerformanceNow(() => now);

  return {
    fireNext(canRun) {
      const next = [...timers.values()]
        .filter((timer) => canRun(timer.owner))
        .sort((a, b) => a.dueAt - b.dueAt || a.id - b.id)[0];
      if (!next) return false;
      timers.delete(next.id);
      now = Math.max(now, next.dueAt);
      next.run();
      return true;
    },
    advance(durationMs) {
      now += durationMs;
    },
    settle: () => new Promise((resolve) => realSetImmediate(resolve)),
    uninstall() {
      Object.assign(globalThis, {
        setTimeout: real.setTimeout,
        clearTimeout: real.clearTimeout,
      });
      Date.now = real.now;
      setPerformanceNow(realPerformanceNow);
    },
  };
}
