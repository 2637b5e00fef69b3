/** Shares the turns of the event loop among connections. */

/** Time of one turn that parsing and handling may take. */
const TURN_MS = 10;

/** What has taken time of the event loop, decayed. */
export interface LoopUser {
  readonly spentMs: number;
}

export interface LoopTurn {
  /** Whether the present turn's time is taken. */
  isOver(): boolean;
  /** Counts time that the present turn has taken. */
  spend(ms: number): void;
  /** Calls `goOn` in a later turn; those that have taken least come first. */
  waitForNext(user: LoopUser, goOn: () => void): void;
  isWaiting(user: LoopUser): boolean;
  leave(user: LoopUser): void;
}

export function createLoopTurn(): LoopTurn {
  const waiting = new Map<LoopUser, () => void>();
  let spentMs = 0;
  let isScheduled = false;

  function begin(): void {
    isScheduled = false;
    spentMs = 0;
    if (waiting.size === 0) return;
    const leastFirst = [...waiting].sort(([a], [b]) => a.spentMs - b.spentMs);
    for (const [user, goOn] of leastFirst) {
      if (isOver()) break;
      if (waiting.delete(user)) goOn();
    }
    if (waiting.size > 0) schedule();
  }

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(begin);
  }

  function isOver(): boolean {
    return spentMs >= TURN_MS;
  }

  return {
    isOver,
    spend(ms) {
      spentMs += ms;
      schedule();
    },
    waitForNext(user, goOn) {
      waiting.set(user, goOn);
      schedule();
    },
    isWaiting: (user) => waiting.has(user),
    leave: (user) => void waiting.delete(user),
  };
}
