/** Runs an answer, with as many attempts as it needs to complete. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { NoteKeeper } from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type { AnswerRequest } from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import { runAttempt } from "./answer_attempt.ts";
import type { AttemptEnd } from "./answer_attempt_state.ts";
import { acquireEngines } from "./answer_engine_acquisition.ts";
import type { AnswerEvent } from "./answer_event.ts";
import {
  createGiveUpFailure,
  createTakenOverFailure,
} from "./answer_failure.ts";
import { createLinkSpeeds, type LinkSpeeds } from "./answer_link_speeds.ts";
import {
  createTokenPace,
  defaultLiveness,
  type LivenessLimits,
  type TokenPace,
} from "./answer_liveness.ts";
import {
  defaultMigrationLimits,
  type Migration,
  type MigrationLimits,
  releaseMigration,
} from "./answer_migration.ts";
import {
  createProgress,
  type Progress,
  toProvenance,
} from "./answer_progress.ts";
import type { RecoveryLimiter } from "./answer_recovery_limiter.ts";
import { chooseVersion } from "./answer_version.ts";
import type { CallFailure } from "./call_failure.ts";

/** Consecutive attempts with few new tokens after which an answer fails. */
const MAX_SHORT_ATTEMPTS = 8;
/**
 * Tokens from which on an attempt isn't a short one. A prompt that ends its
 * engines gets a token or two from each.
 */
const MIN_TOKENS_OF_ATTEMPT = 4;

const log = createLogger("answer");

/** What an instance needs to run answers. */
export interface AnswerDependencies {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly router: Router;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly recoveries: RecoveryLimiter;
  readonly metrics?: Metrics;
  readonly liveness?: LivenessLimits;
  /**
   * Shared by all answers of an instance. Without it each answer starts with
   * default speeds.
   */
  readonly linkSpeeds?: LinkSpeeds;
  readonly migrationLimits?: MigrationLimits;
}

interface RunOptions extends AnswerDependencies {
  readonly signal: AbortSignal;
  /** State to continue from when the answer is resumed on this instance. */
  readonly progress?: Progress;
}

/**
 * Runs an answer and yields its events. The last one is `done` or `failed`,
 * unless `signal` aborts the answer. An internal error also ends in `failed`.
 */
export async function* runAnswer(
  request: AnswerRequest,
  options: RunOptions,
): AsyncGenerator<AnswerEvent> {
  const progress = options.progress ?? createProgress();
  try {
    yield* runAttempts(request, { ...options, progress });
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    log.warn("answer_broke", { request: request.requestId, reason });
    yield {
      type: "failed",
      failure: createGiveUpFailure("internal_error", progress),
    };
  }
}

async function* runAttempts(
  request: AnswerRequest,
  options: RunOptions & { readonly progress: Progress },
): AsyncGenerator<AnswerEvent> {
  const { progress } = options;
  const pace = createTokenPace(options.liveness ?? defaultLiveness);
  const linkSpeeds = options.linkSpeeds ?? createLinkSpeeds();
  let migration: Migration | null = null;
  let shortAttempts = 0;
  try {
    while (!options.signal.aborted) {
      const record = await options.keeper.fresh();
      const failure = chooseVersion(request, { ...options, record });
      if (failure) return yield { type: "failed", failure };
      if (shortAttempts >= MAX_SHORT_ATTEMPTS) {
        const exhausted = createGiveUpFailure("attempts_used_up", progress);
        return yield { type: "failed", failure: exhausted };
      }
      const attemptOptions: NextAttemptOptions = {
        ...options,
        progress,
        pace,
        linkSpeeds,
        migration,
      };
      migration = null;
      const tokensBefore = progress.deliveredTokens.length;
      const attemptsBefore = progress.attemptNumber;
      const end: NextAttemptEnd = yield* runNextAttempt(
        request,
        attemptOptions,
      );
      const finalEvent = toFinalEvent(end, progress);
      if (finalEvent) return yield finalEvent;
      if (end.kind === "migrated") migration = end.migration;
      const newTokens = progress.deliveredTokens.length - tokensBefore;
      if (newTokens >= MIN_TOKENS_OF_ATTEMPT) shortAttempts = 0;
      else if (end.kind !== "migrated" || end.migration.isRecovery)
        shortAttempts += progress.attemptNumber - attemptsBefore;
      log.info("attempt_ended", {
        request: request.requestId,
        attempt: progress.attemptNumber,
        delivered: progress.deliveredTokens.length,
        reason: describeEnd(end),
      });
    }
  } finally {
    if (migration) releaseMigration(migration);
  }
}

/** The caller's last event, or `null` when another attempt follows. */
function toFinalEvent(
  end: NextAttemptEnd,
  progress: Progress,
): AnswerEvent | null {
  switch (end.kind) {
    case "done": {
      const provenance = toProvenance(progress);
      return { type: "done", reason: end.reason, provenance };
    }
    case "refused":
      return { type: "failed", failure: end.failure };
    case "taken_over":
      return { type: "failed", failure: createTakenOverFailure() };
    default:
      return null;
  }
}

function describeEnd(end: NextAttemptEnd): string {
  if (end.kind === "migrated")
    return `migrated off ${end.migration.sources.join(",")}`;
  return end.kind === "retry" ? end.reason : end.kind;
}

interface NextAttemptOptions extends RunOptions {
  readonly progress: Progress;
  readonly pace: TokenPace;
  readonly linkSpeeds: LinkSpeeds;
  /** Engines acquired in advance for the next attempt. */
  readonly migration: Migration | null;
}

interface Refused {
  readonly kind: "refused";
  readonly failure: CallFailure;
}

type NextAttemptEnd = AttemptEnd | Refused;

interface AcquiredEngines {
  readonly kind: "acquired";
  readonly grant: Grant;
  readonly releaseSlot: (() => void) | null;
}

/**
 * Runs one attempt. An attempt that recovers from a loss keeps a slot of the
 * recovery limiter until its first token.
 */
async function* runNextAttempt(
  request: AnswerRequest,
  options: NextAttemptOptions,
): AsyncGenerator<AnswerEvent, NextAttemptEnd> {
  const { progress, signal, metrics, migration } = options;
  const isLossRecovery =
    progress.mayHaveRun && (!migration || migration.isRecovery === true);
  const acquired: AcquiredEngines | Refused = migration
    ? { kind: "acquired", ...migration }
    : await acquireEnginesAndSlot(request, options);
  if (acquired.kind === "refused") return acquired;
  const { grant, releaseSlot } = acquired;
  try {
    if (signal.aborted) return { kind: "retry", reason: "caller disconnected" };
    const liveness = options.liveness ?? defaultLiveness;
    const migrationLimits = options.migrationLimits ?? defaultMigrationLimits;
    const onFirstToken = () => {
      releaseSlot?.();
      if (isLossRecovery) metrics?.recoveries.inc({ model: request.model });
    };
    const attempt = {
      ...options,
      grant,
      liveness,
      migrationLimits,
      onFirstToken,
    };
    return yield* runAttempt(request, attempt);
  } finally {
    releaseSlot?.();
    grant.release();
  }
}

async function acquireEnginesAndSlot(
  request: AnswerRequest,
  options: NextAttemptOptions,
): Promise<AcquiredEngines | Refused> {
  const { progress, recoveries, signal } = options;
  const isRecovery = progress.mayHaveRun;
  const granted = await acquireEngines(request, progress, options);
  if (granted.kind === "refused") return granted;
  const { grant } = granted;
  // The slot is acquired after the engines: an answer that waits for layers
  // that no engine serves must not block answers that can continue.
  const releaseSlot = isRecovery
    ? await recoveries.acquireSlot(request.priority, signal)
    : null;
  return { kind: "acquired", grant, releaseSlot };
}
