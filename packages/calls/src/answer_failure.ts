/** Final failures that only answers have. */
import type { Progress } from "./answer_progress.ts";
import { type CallFailure, failedRun, notRun } from "./call_failure.ts";

const SHORTEST_RETRY_SECONDS = 1;

/** Says when a new try may fare better: after the time one attempt takes. */
export function gaveUp(code: string, progress: Progress): CallFailure {
  const message = `no attempt of ${progress.attempt} could finish; ask again`;
  const lostForMs =
    progress.lostAt === null ? 0 : performance.now() - progress.lostAt;
  const retryAfterSeconds = Math.max(
    SHORTEST_RETRY_SECONDS,
    Math.ceil(lostForMs / 1_000),
  );
  const options = { message, retryAfterSeconds };
  return progress.started ? failedRun(code, options) : notRun(code, options);
}

/** Another instance, or another connection here, goes on. */
export function takenOver(): CallFailure {
  return failedRun("taken_over", {
    message: "another connection of yours goes on with this answer",
  });
}
