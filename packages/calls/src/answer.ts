/** Runs one answer over as many attempts as it needs. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import {
  mayContinue,
  type NoteKeeper,
  permitAnswer,
} from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest, NoteRecord } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { type AttemptEnd, runAttempt } from "./answer_attempt.ts";
import type { AnswerEvent } from "./answer_event.ts";
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
import {
  badCall,
  type CallFailure,
  failedRun,
  notRun,
  withdrawnBy,
} from "./call_failure.ts";

/** Attempts in a row without a new token before an answer is given up. */
const FRUITLESS_AT_MOST = 8;
/** How long an answer that began waits for engines to come back. */
const ENGINES_BACK_MS = 8_000;
const ENGINES_BACK_CHECK_MS = 100;
/** How long a recovery looks only at engines that did not fail it. */
const AVOID_MS = 300;
const NO_NOTE_RETRY_SECONDS = 2;
const SHORTEST_RETRY_SECONDS = 1;

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

type GrantEnd =
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly failure: CallFailure };

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
  const granted = await acquire(request, progress, options);
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

/**
 * Keeps to the version of the first attempt, so that no answer mixes
 * versions; a withdrawn one is left only while nothing was delivered.
 */
function chooseVersion(
  request: AnswerRequest,
  options: {
    readonly progress: Progress;
    readonly record: NoteRecord | null;
    readonly router: Router;
  },
): CallFailure | null {
  const { progress, record, router } = options;
  if (!record) {
    const code = "no_release_note";
    if (progress.started) return gaveUp(code, progress);
    return notRun(code, {
      message: "this instance has no release note yet; try again",
      retryAfterSeconds: NO_NOTE_RETRY_SECONDS,
    });
  }
  const { version } = progress;
  if (version) {
    const answer = { ...request, version: version.version };
    if (mayContinue(record, answer)) return null;
    if (progress.delivered.length > 0) {
      return withdrawnBy(record.number, {
        what: `version '${version.version}' of model '${request.model}'`,
        reason: record.note.reason,
      });
    }
  }
  const { model, adapter } = request;
  const permission = permitAnswer(record, request, {
    isLoaded: (version) => router.covers({ model, version, adapter }),
  });
  if (permission.kind === "allowed") {
    progress.version = permission.version;
    progress.noteNumber = record.number;
    return null;
  }
  if (permission.kind === "withdrawn") {
    return withdrawnBy(permission.number, {
      what: `model '${request.model}'`,
      reason: permission.reason,
    });
  }
  return badCall("unknown_model", {
    message: `${permission.what} is not in release note ${record.number}`,
    status: 404,
  });
}

/**
 * An answer that began waits for engines to come back; one of which nothing
 * ran is refused by the router's own rules.
 */
async function acquire(
  request: AnswerRequest,
  progress: Progress,
  options: RunOptions,
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
      await sleep(ENGINES_BACK_CHECK_MS);
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

/** Says when a new try may fare better: after the time one attempt takes. */
function gaveUp(code: string, progress: Progress): CallFailure {
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

function takenOver(): CallFailure {
  return failedRun("taken_over", {
    message: "another connection of yours goes on with this answer",
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
