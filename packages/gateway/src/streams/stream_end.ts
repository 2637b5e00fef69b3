/** What the caller of a stream is told at its end. */
import type { RetryDelayRange } from "@rosemarypin/admission";
import type { BackendFleet } from "../backends/mod.ts";
import {
  breakAnswerOff,
  type CallEnd,
  type CallerCall,
  endWithRefusal,
  type QueueOutlook,
  sendBufferedAnswer,
} from "../callers/mod.ts";
import { PROMPT_QUARANTINED } from "../prompts/mod.ts";
import type { RunEnd, StreamParts, StreamProgress } from "./stream_run.ts";

/**
 * Range of the retry delay where no rate is known. The loss of an engine is
 * detected within one second and other engines hold its layers one to two
 * seconds later. A random delay in the range spreads the retries of callers that
 * were refused together.
 */
const RETRY_AFTER_LOSS_SECONDS: RetryDelayRange = {
  minSeconds: 1.2,
  maxSeconds: 3.2,
};
/** Range when all engines are full; answers take one to two seconds. */
const RETRY_WHEN_FULL_SECONDS: RetryDelayRange = {
  minSeconds: 0.5,
  maxSeconds: 2,
};

/** Ends a call whose stream is complete, or can't be completed. */
export function endStreamCall(
  call: CallerCall,
  state: {
    readonly lastEnd: RunEnd;
    readonly progress: StreamProgress;
    readonly attempts: number;
    readonly runs: number;
    readonly parts: StreamParts;
    /** What is known of the wait for engines, for the time to come back. */
    readonly outlook: QueueOutlook;
    /** Milliseconds until engines want requests again, if they don't now. */
    readonly backoffMs: number;
    /** Time to come back that another instance named. */
    readonly retryAfterSeconds: number | null;
  },
): CallEnd {
  const { lastEnd, progress, attempts, runs, parts, backoffMs } = state;
  const pace = progress.pace.summary();
  const firstByteMs = pace.firstMs;
  if (lastEnd.kind === "complete") {
    const { status } = lastEnd;
    const outcome = "answered";
    return { status, outcome, reason: outcome, attempts, firstByteMs, pace };
  }
  if (call.hasCallerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs, pace };
  }
  if (progress.hasBegun) {
    breakAnswerOff(call.response);
    const reason = lastEnd.kind === "failed" ? "failed_midway" : lastEnd.detail;
    return { status: 0, outcome: "cut", reason, attempts, firstByteMs, pace };
  }
  if (lastEnd.kind === "failed") {
    const { answer, body } = lastEnd;
    const { status } = answer;
    sendBufferedAnswer(parts.codec, call.response, { ...answer, body });
    const reason = `status_${status}`;
    return { status, outcome: "answered", reason, attempts, firstByteMs, pace };
  }
  const outcome = runs > 0 ? "unknown" : "not_run";
  const isFull = lastEnd.detail === "no_room";
  const { retryAfterSeconds } = state;
  return endWithRefusal(parts, call, {
    ...state.outlook,
    outcome,
    reason: lastEnd.detail,
    attempts,
    retryDelay: isFull ? RETRY_WHEN_FULL_SECONDS : RETRY_AFTER_LOSS_SECONDS,
    backoffMs,
    retryAfterSeconds,
    isFinal:
      lastEnd.detail === PROMPT_QUARANTINED && retryAfterSeconds === null,
  });
}

/**
 * Milliseconds until the first of the engines that want no requests at present
 * wants some again; 0 without such engines.
 */
export function soonestBackoffEndMs(
  fleet: BackendFleet,
  service: string,
): number {
  const backoffs = fleet
    .ofService(service)
    .filter(({ leaving }) => !leaving)
    .map(fleet.backoffs.remainingMs)
    .filter((remainingMs) => remainingMs > 0);
  return backoffs.length > 0 ? Math.min(...backoffs) : 0;
}
