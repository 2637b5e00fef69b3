/** Runs one attempt at an answer on one pipeline. */
import type {
  AttemptStart,
  EngineClient,
  EngineFleet,
} from "@rosemarypin/backends";
import { mayContinue, type NoteKeeper } from "@rosemarypin/release";
import type { Grant } from "@rosemarypin/routing";
import type {
  AnswerRequest,
  AttemptRequest,
  EngineEvent,
  LostCause,
  Stage,
} from "@rosemarypin/schemas";
import type { Metrics } from "@rosemarypin/telemetry";
import type { AnswerEvent } from "./answer_event.ts";
import {
  createEventReader,
  findLostStages,
  type LivenessLimits,
  readIncarnations,
  type TokenPace,
} from "./answer_liveness.ts";
import { createTokenOrder, type TokenEvent } from "./answer_order.ts";
import {
  describeAttempt,
  type Progress,
  rememberCaches,
} from "./answer_progress.ts";

/** How one attempt ended. */
export type AttemptEnd =
  | { readonly kind: "done"; readonly reason: "stop" | "length" }
  | { readonly kind: "retry"; readonly reason: string }
  /** Another instance goes on with the answer. */
  | { readonly kind: "taken_over" };

export interface AttemptOptions {
  readonly keeper: Pick<NoteKeeper, "current" | "fresh" | "onChange">;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly metrics?: Metrics;
  readonly liveness: LivenessLimits;
  readonly pace: TokenPace;
  readonly progress: Progress;
  readonly grant: Grant;
  readonly signal: AbortSignal;
  /** Called with the first new token. */
  readonly onProgress: () => void;
}

interface RunningAttempt extends AttemptOptions {
  readonly attempt: AttemptRequest;
  readonly incarnations: ReadonlyMap<string, number>;
}

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
  const attempt = describeAttempt(request, { progress, stages, incarnations });
  const before = progress.delivered.length;
  const stop = new AbortController();
  const signal = AbortSignal.any([options.signal, stop.signal]);
  const stopFollowing = keeper.onChange((record) => {
    if (!mayContinue(record, attempt)) stop.abort();
  });
  const running = { ...options, attempt, incarnations, signal };
  const lost = new Map<string, LostCause>();
  try {
    if (!(await mayGoOn(attempt, keeper))) {
      return { kind: "retry", reason: "withdrawn while it waited" };
    }
    const start = await startInTime(running);
    if (start.kind !== "started") return noteNoStart(start, { running, lost });
    progress.started = true;
    return yield* readAttempt(start.events, { ...running, lost });
  } finally {
    stopFollowing();
    stop.abort();
    const gaveToken = progress.delivered.length > before;
    rememberCaches(progress, { attempt, gaveToken, incarnations });
    noteLost(lost, options);
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
  options: {
    readonly running: RunningAttempt;
    readonly lost: Map<string, LostCause>;
  },
): AttemptEnd {
  const { running, lost } = options;
  const { progress, attempt, signal } = running;
  const engine = attempt.stages[0]?.engine ?? "";
  if (start.kind === "refused") {
    if (start.takenOver) return { kind: "taken_over" };
    progress.avoid.add(engine);
    return { kind: "retry", reason: start.reason };
  }
  if (start.kind === "broken") progress.started = true;
  if (!signal.aborted) lost.set(engine, "unreachable");
  return { kind: "retry", reason: start.detail };
}

function noteLost(
  lost: ReadonlyMap<string, LostCause>,
  { progress, fleet }: AttemptOptions,
): void {
  if (lost.size > 0) progress.lostAt ??= performance.now();
  for (const [engine, cause] of lost) {
    progress.kept.delete(engine);
    if (cause === "no_cache") continue;
    progress.avoid.add(engine);
    fleet.reportLost(engine);
  }
}

async function* readAttempt(
  events: AsyncIterable<EngineEvent>,
  options: RunningAttempt & { readonly lost: Map<string, LostCause> },
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, attempt, signal, pace, lost, grant } = options;
  const reader = createEventReader(events);
  const order = createTokenOrder(progress.delivered.length);
  const first = attempt.stages[0]?.engine ?? "";
  let silentMs = 0;
  let waitingSince = performance.now();
  while (true) {
    const next = await reader.next(pace.silenceMs());
    if (signal.aborted || !(await mayGoOn(attempt, options.keeper))) {
      return { kind: "retry", reason: "cancelled" };
    }
    if (next.kind === "silent") {
      silentMs = performance.now() - waitingSince;
      const end = await lookIntoSilence(silentMs, { ...options, reader });
      if (end) return end;
      continue;
    }
    if (next.kind === "ended") {
      lost.set(first, "unreachable");
      return { kind: "retry", reason: "the stream broke" };
    }
    const { event } = next;
    // Late events of an attempt that was given up are no part of the answer.
    if (event.attempt !== attempt.attempt) continue;
    switch (event.type) {
      case "started":
      case "done":
        break;
      case "token": {
        const result = order.offer(event);
        if (result.kind === "overflow") {
          return { kind: "retry", reason: "a token is missing" };
        }
        for (const token of result.tokens) {
          pace.observe(performance.now() - waitingSince);
          grant.observeToken();
          take(token, options);
          const { index, text } = token;
          yield { type: "token", index, text, engine: first };
          waitingSince = performance.now();
          if (token.ends) return { kind: "done", reason: token.ends };
        }
        break;
      }
      case "stage_lost": {
        const stage = attempt.stages[event.stage];
        if (stage) lost.set(stage.engine, event.cause);
        if (stage && event.cause === "no_cache") await refresh(stage, options);
        return { kind: "retry", reason: event.reason };
      }
      case "cancelled":
        return event.takenOver
          ? { kind: "taken_over" }
          : { kind: "retry", reason: event.reason };
    }
  }
}

/**
 * A note may come while an answer waits for a pipeline, and a process that
 * was frozen finds tokens of a withdrawn version in its sockets before it
 * hears of the note: both are looked for at the point of use.
 */
async function mayGoOn(
  attempt: AttemptRequest,
  keeper: Pick<NoteKeeper, "fresh">,
): Promise<boolean> {
  const record = await keeper.fresh();
  return record !== null && mayContinue(record, attempt);
}

function take(token: TokenEvent, options: RunningAttempt): void {
  const { progress, metrics, onProgress, attempt } = options;
  progress.delivered.push(token.text);
  progress.digest = token.digest;
  options.grant.observeToken();
  if (progress.fruitless === 0) return;
  progress.fruitless = 0;
  onProgress();
  if (progress.lostAt === null) return;
  const seconds = (performance.now() - progress.lostAt) / 1_000;
  metrics?.recoverySeconds.observe({ model: attempt.model }, seconds);
  progress.lostAt = null;
}

/** Learns the new incarnation of an engine that was restarted. */
async function refresh(
  { address }: Stage,
  { engines, fleet, liveness }: RunningAttempt,
): Promise<void> {
  const timeoutMs = liveness.probeMs;
  const state = await engines.readState(address, { timeoutMs });
  if (state) fleet.observe(state);
}

/** Ends the attempt if a stage is lost, or if a message must be. */
async function lookIntoSilence(
  silentMs: number,
  options: RunningAttempt & {
    readonly lost: Map<string, LostCause>;
    readonly reader: { hasEvent(): boolean };
  },
): Promise<AttemptEnd | null> {
  const { attempt, liveness, lost, reader, signal } = options;
  const { probeMs } = liveness;
  const gone = await findLostStages(attempt.stages, { ...options, probeMs });
  if (signal.aborted) return { kind: "retry", reason: "cancelled" };
  if (reader.hasEvent()) return null;
  if (gone.length > 0) {
    for (const { engine } of gone) lost.set(engine, "unreachable");
    return { kind: "retry", reason: `no sign of ${names(gone)}` };
  }
  // All stages live and none works on the answer: a message between them was
  // lost. The next attempt counts on the same KV caches, so it costs little.
  if (silentMs < liveness.lostMessageMs) return null;
  return { kind: "retry", reason: "a message was lost" };
}

function names(stages: readonly Stage[]): string {
  return stages.map(({ engine }) => engine).join(",");
}
