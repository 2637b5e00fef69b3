/** Runs one answer over as many attempts as it needs. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { runAttempt } from "./answer_attempt.ts";
import type { AttemptEnd } from "./answer_attempt_state.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { gaveUp, takenOver } from "./answer_failure.ts";
import { acquireEngines } from "./answer_grant.ts";
import {
  createTokenPace,
  defaultLiveness,
  type LivenessLimits,
  type TokenPace,
} from "./answer_liveness.ts";
import {
  emptyProgress,
  type Progress,
  provenanceOf,
} from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery.ts";
import { chooseVersion } from "./answer_version.ts";
import type { CallFailure } from "./call_failure.ts";

/** Attempts in a row without a new token before an answer is given up. */
const FRUITLESS_AT_MOST = 8;

const log = createLogger("answer");

export interface AnswerDependencies {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly router: Router;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly recoveries: RecoveryLimiter;
  readonly metrics?: Metrics;
  readonly liveness?: LivenessLimits;
}

interface RunOptions extends AnswerDependencies {
  readonly signal: AbortSignal;
  /** What another instance reached, when the answer is taken over. */
  readonly progress?: Progress;
}

/** Runs an answer; the last event is `done` or `failed`. */
export async function* runAnswer(
  request: AnswerRequest,
  options: RunOptions,
): AsyncGenerator<AnswerEvent> {
  const progress = options.progress ?? emptyProgress();
  try {
    yield* runAttempts(request, { ...options, progress });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    log.warn("answer_broke", { request: request.requestId, reason });
    yield { type: "failed", failure: gaveUp("internal_error", progress) };
  }
}

async function* runAttempts(
  request: AnswerRequest,
  options: RunOptions & { readonly progress: Progress },
): AsyncGenerator<AnswerEvent> {
  const { progress } = options;
  const pace = createTokenPace(options.liveness ?? defaultLiveness);
  while (!options.signal.aborted) {
    const record = await options.keeper.fresh();
    const failure = chooseVersion(request, { ...options, record });
    if (failure) return yield { type: "failed", failure };
    if (progress.fruitless >= FRUITLESS_AT_MOST) {
      const final = gaveUp("attempts_used_up", progress);
      return yield { type: "failed", failure: final };
    }
    const end = yield* runTurn(request, { ...options, progress, pace });
    if (end.kind === "done") {
      const provenance = provenanceOf(progress);
      return yield { type: "done", reason: end.reason, provenance };
    }
    if (end.kind === "refused") {
      return yield { type: "failed", failure: end.failure };
    }
    if (end.kind === "taken_over") {
      return yield { type: "failed", failure: takenOver() };
    }
    log.info("attempt_ended", {
      request: request.requestId,
      attempt: progress.attempt,
      delivered: progress.delivered.length,
      reason: end.reason,
    });
  }
}

/** One attempt, in its turn when it is a recovery. */
async function* runTurn(
  request: AnswerRequest,
  options: RunOptions & {
    readonly progress: Progress;
    readonly pace: TokenPace;
  },
): AsyncGenerator<
  AnswerEvent,
  AttemptEnd | { readonly kind: "refused"; readonly failure: CallFailure }
> {
  const { progress, recoveries, signal, metrics } = options;
  const isRecovery = progress.started;
  const granted = await acquireEngines(request, progress, options);
  if (granted.kind === "refused") return granted;
  const { grant } = granted;
  // The turn comes after the grant: an answer whose layers nobody holds must
  // not take turns away from answers that could go on.
  const endTurn = isRecovery
    ? await recoveries.takeTurn(request.priority, signal)
    : null;
  try {
    if (signal.aborted) return { kind: "retry", reason: "the caller left" };
    const liveness = options.liveness ?? defaultLiveness;
    const onProgress = () => {
      endTurn?.();
      if (isRecovery) metrics?.recoveries.inc({ model: request.model });
    };
    const attempt = { ...options, grant, liveness, onProgress };
    return yield* runAttempt(request, attempt);
  } finally {
    endTurn?.();
    grant.release();
  }
}
