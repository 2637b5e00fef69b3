/**
 * Shares the turns of the event loop among connections. What a piece of input
 * costs is mostly spent after it was parsed, by what handles its requests, so it is
 * learned from how long whole turns are.
 */
import { performance } from "node:perf_hooks";

/** Time of one turn that parsing and handling may take. */
const TURN_MS = 10;
/** The same while connections come, of which a turn accepts one. */
const ACCEPTING_TURN_MS = 1;
/** Pieces that a turn parses however long turns are for other reasons. */
const MIN_PIECES = 4;
const MIN_ACCEPTING_PIECES = 1;
/** Weight of the present turn in the cost of a piece. */
const COST_WEIGHT = 0.2;

/** What has taken time of the event loop, decayed. */
export interface LoopUser {
  readonly spentMs: number;
}

export interface LoopTurn {
  /** Whether the present turn's time is taken. */
  isOver(): boolean;
  /** Shortens the present turn, since a connection has come. */
  accept(): void;
  /** Counts a piece, and the time that the present turn has taken for it. */
  spend(ms: number): void;
  /** Calls `goOn` in a later turn; those that have taken least come first. */
  waitForNext(user: LoopUser, goOn: () => void): void;
  isWaiting(user: LoopUser): boolean;
  leave(user: LoopUser): void;
}

/** Creates the turns; `activeMs` is the time for which the loop was not idle. */
export function createLoopTurn(
  activeMs = () => performance.eventLoopUtilization().active,
): LoopTurn {
  const waiting = new Map<LoopUser, () => void>();
  let spentMs = 0;
  let pieces = 0;
  /** Time that a piece costs with all that follows from it. */
  let pieceMs = 0;
  let activeAtBegin = activeMs();
  let isAccepting = false;
  let isScheduled = false;

  function begin(): void {
    isScheduled = false;
    learnCost();
    spentMs = 0;
    pieces = 0;
    isAccepting = false;
    if (waiting.size === 0) return;
    const leastFirst = [...waiting].sort(([a], [b]) => a.spentMs - b.spentMs);
    for (const [user, goOn] of leastFirst) {
      if (isOver()) break;
      if (waiting.delete(user)) goOn();
    }
    if (waiting.size > 0) schedule();
  }

  function learnCost(): void {
    const active = activeMs();
    if (pieces > 0) {
      const costMs = (active - activeAtBegin) / pieces;
      pieceMs += COST_WEIGHT * (costMs - pieceMs);
    }
    activeAtBegin = active;
  }

  function schedule(): void {
    if (isScheduled) return;
    isScheduled = true;
    setImmediate(begin);
  }

  function isOver(): boolean {
    const budgetMs = isAccepting ? ACCEPTING_TURN_MS : TURN_MS;
    const minPieces = isAccepting ? MIN_ACCEPTING_PIECES : MIN_PIECES;
    if (spentMs >= budgetMs) return true;
    return pieces >= minPieces && pieces * pieceMs >= budgetMs;
  }

  return {
    isOver,
    accept() {
      isAccepting = true;
      schedule();
    },
    spend(ms) {
      spentMs += ms;
      pieces += 1;
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
