/** Runs one answer over as many attempts as it needs. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { runAttempt } from "./answer_attempt.ts";
import type { AttemptEnd } from "./answer_attempt_state.ts";
import { acquireEngines } from "./answer_engine_acquisition.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { gaveUp, takenOver } from "./answer_failure.ts";
import { createLinkSpeeds, type LinkSpeeds } from "./answer_link_speeds.ts";
import {
  createTokenPace,
  defaultLiveness,
  type LivenessLimits,
  type TokenPace,
} from "./answer_liveness.ts";
import {
  defaultMoveLimits,
  giveBack,
  type Move,
  type MoveLimits,
} from "./answer_migration.ts";
import {
  emptyProgress,
  type Progress,
  provenanceOf,
} from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";
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
  /** Shared by the answers of an instance; without it nothing is measured. */
  readonly links?: LinkSpeeds;
  readonly moves?: MoveLimits;
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
  const links = options.links ?? createLinkSpeeds();
  let move: Move | null = null;
  try {
    while (!options.signal.aborted) {
      const record = await options.keeper.fresh();
      const failure = chooseVersion(request, { ...options, record });
      if (failure) return yield { type: "failed", failure };
      if (progress.fruitless >= FRUITLESS_AT_MOST) {
        const final = gaveUp("attempts_used_up", progress);
        return yield { type: "failed", failure: final };
      }
      const turn: TurnOptions = { ...options, progress, pace, links, move };
      move = null;
      const end: TurnEnd = yield* runTurn(request, turn);
      const last = lastEvent(end, progress);
      if (last) return yield last;
      if (end.kind === "moved") move = end.move;
      log.info("attempt_ended", {
        request: request.requestId,
        attempt: progress.attempt,
        delivered: progress.delivered.length,
        reason: reasonOf(end),
      });
    }
  } finally {
    if (move) giveBack(move);
  }
}

/** What the caller is told when no attempt follows. */
function lastEvent(end: TurnEnd, progress: Progress): AnswerEvent | null {
  switch (end.kind) {
    case "done": {
      const provenance = provenanceOf(progress);
      return { type: "done", reason: end.reason, provenance };
    }
    case "refused":
      return { type: "failed", failure: end.failure };
    case "taken_over":
      return { type: "failed", failure: takenOver() };
    default:
      return null;
  }
}

function reasonOf(end: TurnEnd): string {
  if (end.kind === "moved") return `moved off ${end.move.from.join(",")}`;
  return end.kind === "retry" ? end.reason : end.kind;
}

interface TurnOptions extends RunOptions {
  readonly progress: Progress;
  readonly pace: TokenPace;
  readonly links: LinkSpeeds;
  /** Engines that are held already. */
  readonly move: Move | null;
}

interface Refused {
  readonly kind: "refused";
  readonly failure: CallFailure;
}

type TurnEnd = AttemptEnd | Refused;

interface Turn {
  readonly kind: "turn";
  readonly grant: Grant;
  readonly endTurn: (() => void) | null;
}

/** One attempt, in its turn when it is a recovery. */
async function* runTurn(
  request: AnswerRequest,
  options: TurnOptions,
): AsyncGenerator<AnswerEvent, TurnEnd> {
  const { progress, signal, metrics, move } = options;
  const isLoss = progress.started && !move;
  const turn: Turn | Refused = move
    ? { kind: "turn", ...move }
    : await takeTurn(request, options);
  if (turn.kind === "refused") return turn;
  const { grant, endTurn } = turn;
  try {
    if (signal.aborted) return { kind: "retry", reason: "the caller left" };
    const liveness = options.liveness ?? defaultLiveness;
    const moves = options.moves ?? defaultMoveLimits;
    const onProgress = () => {
      endTurn?.();
      if (isLoss) metrics?.recoveries.inc({ model: request.model });
    };
    const attempt = { ...options, grant, liveness, moves, onProgress };
    return yield* runAttempt(request, attempt);
  } finally {
    endTurn?.();
    grant.release();
  }
}

async function takeTurn(
  request: AnswerRequest,
  options: TurnOptions,
): Promise<Turn | Refused> {
  const { progress, recoveries, signal } = options;
  const isRecovery = progress.started;
  const granted = await acquireEngines(request, progress, options);
  if (granted.kind === "refused") return granted;
  const { grant } = granted;
  // The turn comes after the grant: an answer whose layers nobody holds must
  // not take turns away from answers that could go on.
  const endTurn = isRecovery
    ? await recoveries.takeTurn(request.priority, signal)
    : null;
  return { kind: "turn", grant, endTurn };
}
