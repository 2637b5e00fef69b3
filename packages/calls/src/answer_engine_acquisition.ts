/** Acquires the engines for one attempt of an answer. */
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { Progress } from "./answer_progress.ts";
import { type CallFailure, failedRun, notRun } from "./call_failure.ts";

/** How long an answer that has started waits for available engines. */
const ENGINE_WAIT_TIMEOUT_MS = 8_000;
const ENGINE_RETRY_INTERVAL_MS = 100;
/** Interval after which a recovery may use engines that failed it before. */
const AVOID_RESET_INTERVAL_MS = 300;

/** The engines for an attempt, or the final failure of the answer. */
export type EngineAcquisition =
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly failure: CallFailure };

/**
 * Acquires a pipeline for the next attempt. An answer that has already started
 * retries until engines become available, for at most 8 s and not past its
 * deadline. One that has not started is refused as soon as the router refuses.
 */
export async function acquireEngines(
  request: AnswerRequest,
  progress: Progress,
  options: {
    readonly router: Pick<Router, "acquire">;
    readonly signal: AbortSignal;
  },
): Promise<EngineAcquisition> {
  const { router, signal } = options;
  const { version, avoidedEngines, mayHaveRun: isRecovery } = progress;
  if (!version) throw new Error("no version has been chosen for the answer");
  const prefer = new Set(progress.caches.keys());
  const requirements = {
    request,
    version,
    avoid: avoidedEngines,
    prefer,
    isRecovery,
    signal,
  };
  if (!isRecovery) {
    const result = await router.acquire(requirements);
    if (result.kind === "granted") return result;
    const { code, retryAfterSeconds } = result;
    const message = "no engines are available for this request; retry later";
    const failure = notRun(code, { message, retryAfterSeconds });
    return { kind: "refused", failure };
  }
  const waitDeadlineAt = Math.min(
    Date.now() + ENGINE_WAIT_TIMEOUT_MS,
    request.deadlineAt,
  );
  const recoveryRequirements = {
    ...requirements,
    request: { ...request, deadlineAt: waitDeadlineAt },
  };
  // An engine that failed this answer may have restarted since and be the only
  // one with its layers. The router reads the set on each selection.
  const timer = setInterval(
    () => avoidedEngines.clear(),
    AVOID_RESET_INTERVAL_MS,
  );
  try {
    while (true) {
      const result = await router.acquire(recoveryRequirements);
      if (result.kind === "granted") return result;
      if (signal.aborted || Date.now() >= waitDeadlineAt) {
        return { kind: "refused", failure: createNoEnginesFailure(result) };
      }
      await pause(ENGINE_RETRY_INTERVAL_MS);
    }
  } finally {
    clearInterval(timer);
  }
}

function createNoEnginesFailure(refusal: {
  readonly code: string;
  readonly retryAfterSeconds: number;
}): CallFailure {
  const { code, retryAfterSeconds } = refusal;
  const message = "the answer lost its engines and no others are available";
  return failedRun(code, { message, retryAfterSeconds });
}
