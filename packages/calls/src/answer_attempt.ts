/** Runs one attempt at an answer on one pipeline. */
import type { AttemptStart } from "@rosemarypin/backends";
import { mayContinue } from "@rosemarypin/release";
import type { AnswerRequest, LostCause } from "@rosemarypin/schemas";
import { readAttempt, refresh } from "./answer_attempt_events.ts";
import {
  type AttemptEnd,
  type AttemptOptions,
  mayGoOn,
  type RunningAttempt,
} from "./answer_attempt_state.ts";
import { addImports } from "./answer_cache_import.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { readIncarnations } from "./answer_liveness.ts";
import { createMover } from "./answer_migration.ts";
import { describeAttempt, rememberCaches } from "./answer_progress.ts";

/** Runs an attempt; stages that are lost on the way are noted. */
export async function* runAttempt(
  request: AnswerRequest,
  options: AttemptOptions,
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, keeper, fleet } = options;
  const { stages } = options.grant;
  progress.attempt += 1;
  progress.fruitless += 1;
  const incarnations = readIncarnations(fleet);
  const planned = describeAttempt(request, { progress, stages, incarnations });
  const attempt = addImports(planned, options);
  const before = progress.delivered.length;
  const stop = new AbortController();
  const signal = AbortSignal.any([options.signal, stop.signal]);
  const stopFollowing = keeper.onChange((record) => {
    if (!mayContinue(record, attempt)) stop.abort();
  });
  const lost = new Map<string, LostCause>();
  const mover = createMover({ ...options, request, attempt });
  const startedAt = performance.now();
  const state = { attempt, incarnations, signal, lost, mover, startedAt };
  const running = { ...options, ...state };
  try {
    if (!(await mayGoOn(attempt, keeper))) {
      return { kind: "retry", reason: "withdrawn while it waited" };
    }
    const start = await startInTime(running);
    if (start.kind !== "started") return noteNoStart(start, running);
    progress.started = true;
    return yield* readAttempt(start.events, running);
  } finally {
    stopFollowing();
    stop.abort();
    mover.stop();
    const gaveToken = progress.delivered.length > before;
    rememberCaches(progress, { attempt, gaveToken, incarnations });
    noteLost(running);
  }
}

/**
 * A frozen engine takes the connection and says nothing: the call would wait
 * for ever. In time it is cut, and counts as started, since the engine may
 * find the request in its buffers when it goes on.
 */
async function startInTime(running: RunningAttempt): Promise<AttemptStart> {
  const { engines, attempt, signal, liveness } = running;
  const [first] = attempt.stages;
  if (!first) throw new Error("a pipeline has at least one stage");
  const late = new AbortController();
  const timer = setTimeout(() => late.abort(), liveness.startMs);
  try {
    return await engines.start(first.address, attempt, {
      signal: AbortSignal.any([signal, late.signal]),
    });
  } finally {
    clearTimeout(timer);
  }
}

function noteNoStart(
  start: Exclude<AttemptStart, { kind: "started" }>,
  running: RunningAttempt,
): AttemptEnd {
  const { progress, attempt, signal, lost } = running;
  const [first] = attempt.stages;
  const engine = first?.engine ?? "";
  if (start.kind === "refused") {
    if (start.takenOver) return { kind: "taken_over" };
    progress.avoid.add(engine);
    // It knows what the fleet does not yet: until the fleet has read its state,
    // each answer would spend one attempt after another on it.
    if (first) void refresh(first, running);
    return { kind: "retry", reason: start.reason };
  }
  if (start.kind === "broken") progress.started = true;
  if (!signal.aborted) lost.set(engine, "unreachable");
  return { kind: "retry", reason: start.detail };
}

function noteLost({ lost, progress, fleet }: RunningAttempt): void {
  if (lost.size > 0) progress.lostAt ??= performance.now();
  for (const [engine, cause] of lost) {
    progress.kept.delete(engine);
    if (cause === "no_cache") continue;
    progress.avoid.add(engine);
    fleet.reportLost(engine);
  }
}
