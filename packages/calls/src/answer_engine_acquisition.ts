/** Gets engines for one attempt of an answer. */

import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { Progress } from "./answer_progress.ts";
import { type CallFailure, failedRun, notRun } from "./call_failure.ts";

/** How long an answer that began waits for engines to come back. */
const ENGINES_BACK_MS = 8_000;
const ENGINES_BACK_CHECK_MS = 100;
/** How long a recovery looks only at engines that did not fail it. */
const AVOID_MS = 300;

/** The engines of an attempt, or the answer's final failure. */
export type GrantEnd =
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly failure: CallFailure };

/**
 * An answer that began waits for engines to come back; one of which nothing
 * ran is refused by the router's own rules.
 */
export async function acquireEngines(
  request: AnswerRequest,
  progress: Progress,
  options: {
    readonly router: Pick<Router, "acquire">;
    readonly signal: AbortSignal;
  },
): Promise<GrantEnd> {
  const { router, signal } = options;
  const { version, avoid, started: isRecovery } = progress;
  if (!version) throw new Error("a version is chosen before a pipeline");
  const prefer = new Set(progress.kept.keys());
  const need = { request, version, avoid, prefer, isRecovery, signal };
  if (!isRecovery) {
    const result = await router.acquire(need);
    if (result.kind === "granted") return result;
    const { code, retryAfterSeconds } = result;
    const message = "no engines are free for this request; ask again later";
    const failure = notRun(code, { message, retryAfterSeconds });
    return { kind: "refused", failure };
  }
  const latest = Math.min(Date.now() + ENGINES_BACK_MS, request.deadlineAt);
  const recovery = { ...need, request: { ...request, deadlineAt: latest } };
  // An engine that failed this answer may have been restarted since, and be
  // the only one with its layers; the router looks at the set each time.
  const timer = setInterval(() => avoid.clear(), AVOID_MS);
  try {
    while (true) {
      const result = await router.acquire(recovery);
      if (result.kind === "granted") return result;
      if (signal.aborted || Date.now() >= latest) {
        return { kind: "refused", failure: noEngines(result) };
      }
      await pause(ENGINES_BACK_CHECK_MS);
    }
  } finally {
    clearInterval(timer);
  }
}

function noEngines(refusal: {
  readonly code: string;
  readonly retryAfterSeconds: number;
}): CallFailure {
  const { code, retryAfterSeconds } = refusal;
  const message = "the answer lost its engines and found no others";
  return failedRun(code, { message, retryAfterSeconds });
}
