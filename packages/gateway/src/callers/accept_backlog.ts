/**
 * How long connections have waited to be accepted without a gap. Node.js accepts
 * one connection in each turn of the event loop, so a process whose turns are
 * long accepts few, however many come, and the rest wait in the kernel.
 */

/** Part of a turn that counts, so that a pause of the process is no backlog. */
const MAX_TURN_MS = 200;

export interface AcceptBacklog {
  /** Records that a connection was accepted. */
  recordAccepted(): void;
  /** Time for which each turn has found a connection to accept. */
  waitingMs(): number;
  stop(): void;
}

/** Creates the record of an empty backlog. */
export function createAcceptBacklog(): AcceptBacklog {
  let waitingMs = 0;
  let lastAcceptedAt: number | null = null;
  let hasAccepted = false;
  let turnEnd: NodeJS.Immediate | null = null;

  /** Runs after all that was ready in this turn, the listener included. */
  function endTurn(): void {
    turnEnd = null;
    if (hasAccepted) {
      hasAccepted = false;
      // The next turn doesn't wait for connections, so it finds only those that
      // have come already.
      turnEnd = setImmediate(endTurn);
      return;
    }
    waitingMs = 0;
    lastAcceptedAt = null;
  }

  return {
    recordAccepted() {
      const now = performance.now();
      if (lastAcceptedAt !== null)
        waitingMs += Math.min(now - lastAcceptedAt, MAX_TURN_MS);
      lastAcceptedAt = now;
      hasAccepted = true;
      turnEnd ??= setImmediate(endTurn);
    },
    waitingMs: () => waitingMs,
    stop() {
      if (turnEnd) clearImmediate(turnEnd);
      turnEnd = null;
    },
  };
}
