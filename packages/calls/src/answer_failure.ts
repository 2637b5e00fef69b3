/** Final failures specific to answers. */
import type { Progress } from "./answer_progress.ts";
import { type CallFailure, failedRun, notRun } from "./call_failure.ts";

const MIN_RETRY_AFTER_SECONDS = 1;

/**
 * Failure of an answer that gets no further attempt. The suggested retry delay
 * is the time since the loss of a stage, and at least one second.
 */
export function createGiveUpFailure(
  code: string,
  progress: Progress,
): CallFailure {
  const message = `failed after ${progress.attemptNumber} attempts; retry later`;
  const msSinceLoss =
    progress.stageLostAt === null
      ? 0
      : performance.now() - progress.stageLostAt;
  const retryAfterSeconds = Math.max(
    MIN_RETRY_AFTER_SECONDS,
    Math.ceil(msSinceLoss / 1_000),
  );
  const options = { message, retryAfterSeconds };
  return progress.mayHaveRun ? failedRun(code, options) : notRun(code, options);
}

/** Failure of a connection whose answer another connection has resumed. */
export function createTakenOverFailure(): CallFailure {
  return failedRun("taken_over", {
    message: "the answer was resumed on another connection",
  });
}
