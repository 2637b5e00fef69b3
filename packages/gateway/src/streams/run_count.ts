/** Counts the attempts and runs of a call against what its route allows. */

/** Pipelines that may refuse a call before its caller is refused. */
const MAX_REFUSALS = 4;
/**
 * Bound on runs that were lost with their first engine, so that a call ends
 * even while engines fail one after the other.
 */
const MAX_LOST_RUNS = 3;

export interface RunCount {
  /** Pipelines and helpers that were tried. */
  attempts(): number;
  /** Attempts that engines may have worked on. */
  runs(): number;
  /** Attempts that have reached an engine, which may have refused them. */
  sentAttempts(): number;
  /** Number of runs that the route still allows. */
  runsLeft(): number;
  /** Whether too many pipelines have refused the call. */
  isRefusedByMany(): boolean;
  /** Whether another run may be lost with its first engine. */
  mayLoseRun(): boolean;
  /** Whether more runs were lost than a call may lose. */
  hasLostTooMany(): boolean;
  countAttempt(): void;
  /** Counts an attempt that has reached an engine. */
  countSent(): void;
  countRuns(runs: number): void;
  /** Counts a run as lost; it is no attempt of the route. */
  countLost(): void;
}

/** Creates the count of a call whose route allows so many runs. */
export function createRunCount(maxAttempts: number): RunCount {
  let attempts = 0;
  let runs = 0;
  let lostRuns = 0;
  let sentAttempts = 0;

  return {
    attempts: () => attempts,
    runs: () => runs,
    sentAttempts: () => sentAttempts,
    // Runs lost with their first engine don't count as the route's attempts.
    runsLeft: () => maxAttempts - (runs - lostRuns),
    isRefusedByMany: () => attempts - runs > MAX_REFUSALS,
    mayLoseRun: () => lostRuns < MAX_LOST_RUNS,
    hasLostTooMany: () => lostRuns > MAX_LOST_RUNS,
    countAttempt() {
      attempts += 1;
    },
    countSent() {
      sentAttempts += 1;
    },
    countRuns(more) {
      runs += more;
    },
    countLost() {
      lostRuns += 1;
    },
  };
}
