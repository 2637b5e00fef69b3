/** Ends an instance such that requests in progress may use the grace period. */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { ACCEPT_AFTER_STOP_MS, type CallerListener } from "./callers/mod.ts";

/** Time reserved at the end of the grace period, to exit before being killed. */
const SHUTDOWN_MARGIN_MS = 400;
const SHUTDOWN_POLL_MS = 50;
/** Time before the end of the grace period in which refusals are written. */
const REFUSAL_MARGIN_MS = 200;
/** Extra time for open connections on which a request may be in transit. */
const CONNECTION_DRAIN_MS = 300;

const log = createLogger("gateway");

export interface GracefulStop {
  /** Milliseconds since the stop began; `null` before it. */
  stoppingForMs(): number | null;
  /** Resolves once the instance has stopped; later calls do nothing. */
  stop(): Promise<void>;
}

/** Creates the stop of an instance. */
export function createGracefulStop(options: {
  readonly graceMs: number;
  readonly listener: () => CallerListener;
  /** Called at the start of the stop. */
  readonly onStopping: () => void;
  /** Refuses what still waits for engines. */
  readonly refuseWaiting: () => void;
  /** Called when no connection is left. */
  readonly onStopped: () => void;
}): GracefulStop {
  let stoppedAt: number | null = null;

  async function stop(): Promise<void> {
    if (stoppedAt !== null) return;
    const startedAt = performance.now();
    stoppedAt = startedAt;
    const listener = options.listener();
    const elapsedMs = () => performance.now() - startedAt;
    log.info("stopping", { in_progress: listener.inProgress() });
    options.onStopping();
    const drainLimitMs = options.graceMs - SHUTDOWN_MARGIN_MS;
    const refusalTimer = setTimeout(
      options.refuseWaiting,
      Math.max(0, drainLimitMs - REFUSAL_MARGIN_MS),
    );
    const isIdle = () => listener.inProgress() === 0;
    // Idle connections stay open meanwhile, and the next response on each asks
    // the caller to close it. Closing one here could drop a request in transit.
    while (elapsedMs() < drainLimitMs) {
      if (isIdle() && elapsedMs() > ACCEPT_AFTER_STOP_MS) break;
      await pause(SHUTDOWN_POLL_MS);
    }
    listener.closeIdle();
    listener.stopListening();
    const connectionLimitMs = Math.min(
      elapsedMs() + CONNECTION_DRAIN_MS,
      drainLimitMs,
    );
    while (
      elapsedMs() < connectionLimitMs &&
      (await countConnections(listener)) > 0
    ) {
      // A connection counts as idle while the end of its answer is written.
      if (isIdle()) listener.closeIdle();
      await pause(SHUTDOWN_POLL_MS);
    }
    while (elapsedMs() < drainLimitMs && !isIdle())
      await pause(SHUTDOWN_POLL_MS);
    clearTimeout(refusalTimer);
    const cut = listener.inProgress();
    const requests = listener.unanswered().join(",");
    // No request may be accepted while the last log lines are written.
    listener.closeAll();
    options.onStopped();
    log.info("stopped", {
      cut,
      requests: requests || undefined,
      after_ms: elapsedMs().toFixed(0),
    });
  }

  return {
    stoppingForMs: () =>
      stoppedAt === null ? null : performance.now() - stoppedAt,
    stop,
  };
}

function countConnections({ server }: CallerListener): Promise<number> {
  return new Promise((resolve) => {
    server.getConnections((error, count) => resolve(error ? 0 : count));
  });
}
