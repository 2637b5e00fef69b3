/** Shares the turns of the event loop among connections. */

/** Time of one turn that parsing and handling may take. */
const TURN_MS = 10;
/** The same while connections come, of which a turn accepts one. */
const ACCEPTING_TURN_MS = 1;

/** What has taken time of the event loop, decayed. */
export interface LoopUser {
  readonly spentMs: number;
}

export interface LoopTurn {
  /** Whether the present turn's time is taken. */
  isOver(): boolean;
  /** Shortens the present turn, since a connection has come. */
  accept(): void;
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
  let budgetMs = TURN_MS;
  let isScheduled = false;

  function begin(): void {
    isScheduled = false;
    spentMs = 0;
    budgetMs = TURN_MS;
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
    return spentMs >= budgetMs;
  }

  return {
    isOver,
    accept() {
      budgetMs = ACCEPTING_TURN_MS;
      schedule();
    },
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
