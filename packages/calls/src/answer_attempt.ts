/** Runs one attempt of an answer on one pipeline. */
import type { AttemptStart } from "@rosemarypin/backends";
import { mayContinue } from "@rosemarypin/release";
import type { AnswerRequest, LostCause } from "@rosemarypin/schemas";
import { refreshEngineState, streamAttempt } from "./answer_attempt_events.ts";
import {
  type AttemptEnd,
  type AttemptOptions,
  isVersionAllowed,
  type RunningAttempt,
} from "./answer_attempt_state.ts";
import { addCacheImports } from "./answer_cache_import.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { readIncarnations } from "./answer_liveness.ts";
import { createMigrator } from "./answer_migration.ts";
import { buildAttemptRequest, updateCaches } from "./answer_progress.ts";

/**
 * Runs an attempt until it ends. Engines found lost are reported to the fleet
 * and avoided by the next attempt.
 */
export async function* runAttempt(
  request: AnswerRequest,
  options: AttemptOptions,
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, keeper, fleet } = options;
  const { stages } = options.grant;
  progress.attemptNumber += 1;
  progress.attemptsSinceToken += 1;
  const incarnations = readIncarnations(fleet);
  const withoutImports = buildAttemptRequest(request, {
    progress,
    stages,
    incarnations,
  });
  const attempt = addCacheImports(withoutImports, options);
  const deliveredBefore = progress.deliveredTokens.length;
  const attemptAbort = new AbortController();
  const signal = AbortSignal.any([options.signal, attemptAbort.signal]);
  const unsubscribe = keeper.onChange((record) => {
    if (!mayContinue(record, attempt)) attemptAbort.abort();
  });
  const lostStages = new Map<string, LostCause>();
  const migrator = createMigrator({ ...options, request, attempt });
  const startedAt = performance.now();
  const state = {
    request,
    attempt,
    incarnations,
    signal,
    lostStages,
    migrator,
    startedAt,
  };
  const running = { ...options, ...state };
  try {
    if (!(await isVersionAllowed(attempt, keeper))) {
      return { kind: "retry", reason: "version withdrawn before the start" };
    }
    const start = await startWithTimeout(running);
    if (start.kind !== "started") return handleFailedStart(start, running);
    progress.mayHaveRun = true;
    return yield* streamAttempt(start.events, running);
  } finally {
    unsubscribe();
    attemptAbort.abort();
    migrator.stop();
    const hasNewToken = progress.deliveredTokens.length > deliveredBefore;
    updateCaches(progress, {
      attempt,
      hasNewToken,
      incarnations,
    });
    reportLostStages(running);
  }
}

/**
 * Starts the attempt on the first engine, with the start timeout. A frozen
 * process accepts the connection and never responds. After the timeout the
 * attempt still counts as started, since the engine may read the request from
 * its socket buffers once it resumes.
 */
async function startWithTimeout(
  running: RunningAttempt,
): Promise<AttemptStart> {
  const { engines, attempt, signal, liveness } = running;
  const [first] = attempt.stages;
  if (!first) throw new Error("the pipeline has no stages");
  const timeout = new AbortController();
  const timer = setTimeout(() => timeout.abort(), liveness.startTimeoutMs);
  try {
    return await engines.start(first.address, attempt, {
      signal: AbortSignal.any([signal, timeout.signal]),
    });
  } finally {
    clearTimeout(timer);
  }
}

function handleFailedStart(
  start: Exclude<AttemptStart, { kind: "started" }>,
  running: RunningAttempt,
): AttemptEnd {
  const { progress, attempt, signal, lostStages } = running;
  const [first] = attempt.stages;
  const engine = first?.engine ?? "";
  if (start.kind === "refused") {
    if (start.takenOver) return { kind: "taken_over" };
    progress.avoidedEngines.add(engine);
    // The engine may have changed state since the fleet last read it. Until the
    // fleet has the new state, other answers would be sent there and refused.
    if (first) void refreshEngineState(first, running);
    return { kind: "retry", reason: start.reason };
  }
  if (start.kind === "broken") progress.mayHaveRun = true;
  if (!signal.aborted) lostStages.set(engine, "unreachable");
  return { kind: "retry", reason: start.detail };
}

function reportLostStages({
  lostStages,
  progress,
  fleet,
}: RunningAttempt): void {
  if (lostStages.size > 0) progress.stageLostAt ??= performance.now();
  for (const [engine, cause] of lostStages) {
    progress.caches.delete(engine);
    if (cause === "no_cache") continue;
    progress.avoidedEngines.add(engine);
    fleet.reportLost(engine);
  }
}
