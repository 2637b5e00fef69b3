/** Runs one answer over as many attempts as it needs. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import {
  mayContinue,
  type NoteKeeper,
  permitAnswer,
} from "@rosemarypin/release";
import type { Grant, Router } from "@rosemarypin/routing";
import type {
  AnswerProvenance,
  AnswerRequest,
  AttemptRequest,
  EngineEvent,
  ModelVersion,
  NoteRecord,
} from "@rosemarypin/schemas";
import { createLogger, type Metrics } from "@rosemarypin/telemetry";
import {
  badCall,
  type CallFailure,
  failedRun,
  notRun,
  withdrawnBy,
} from "./call_failure.ts";

/** Attempts before an answer is given up. */
const LARGEST_ATTEMPT = 6;
/** Silence on a stream after which its stages are asked for a sign of life. */
const STALL_MS = 2_000;
const NO_NOTE_RETRY_SECONDS = 2;

const log = createLogger("answer");

/** What a caller of `runAnswer` sees, in order. */
export type AnswerEvent =
  | { readonly type: "token"; readonly index: number; readonly text: string }
  | {
      readonly type: "done";
      readonly reason: "stop" | "length";
      readonly provenance: AnswerProvenance;
    }
  | { readonly type: "failed"; readonly failure: CallFailure };

export interface AnswerDependencies {
  readonly keeper: NoteKeeper;
  readonly router: Router;
  readonly fleet: EngineFleet;
  readonly engines: EngineClient;
  readonly metrics?: Metrics;
}

/** What has been reached so far, over all attempts. */
interface Progress {
  readonly delivered: string[];
  digest: string;
  version: ModelVersion | null;
  noteNumber: number;
  attempt: number;
  /** Whether an engine may have run any of it. */
  started: boolean;
  readonly avoid: Set<string>;
}

/** How one attempt ended. */
type AttemptEnd =
  | { readonly kind: "done"; readonly reason: "stop" | "length" }
  | { readonly kind: "retry"; readonly reason: string };

/** Runs an answer; the last event is `done` or `failed`. */
export async function* runAnswer(
  request: AnswerRequest,
  options: AnswerDependencies & { readonly signal: AbortSignal },
): AsyncGenerator<AnswerEvent> {
  const progress = emptyProgress();
  while (!options.signal.aborted) {
    const record = await options.keeper.fresh();
    const failure = chooseVersion(request, progress, record);
    if (failure) return yield { type: "failed", failure };
    if (progress.attempt >= LARGEST_ATTEMPT) {
      return yield { type: "failed", failure: gaveUp(progress) };
    }
    const granted = await acquire(request, progress, options);
    if (granted.kind === "refused") {
      return yield { type: "failed", failure: granted.failure };
    }
    const end = yield* runAttempt(request, {
      ...options,
      progress,
      grant: granted.grant,
    });
    if (end.kind === "done") {
      return yield {
        type: "done",
        reason: end.reason,
        provenance: provenanceOf(progress),
      };
    }
    log.info("attempt_ended", {
      request: request.requestId,
      attempt: progress.attempt,
      delivered: progress.delivered.length,
      reason: end.reason,
    });
    if (progress.started)
      options.metrics?.recoveries.inc({ model: request.model });
  }
}

function emptyProgress(): Progress {
  return {
    delivered: [],
    digest: "",
    version: null,
    noteNumber: 0,
    attempt: 0,
    started: false,
    avoid: new Set(),
  };
}

/**
 * Keeps to the version of the first attempt, so that no answer mixes
 * versions; a withdrawn one is left only while nothing was delivered.
 */
function chooseVersion(
  request: AnswerRequest,
  progress: Progress,
  record: NoteRecord | null,
): CallFailure | null {
  if (!record) {
    const code = "no_release_note";
    const message = "this instance has no release note to answer from";
    const hint = { message, retryAfterSeconds: NO_NOTE_RETRY_SECONDS };
    // Contact may lapse in the middle of an answer, which then did run.
    return progress.started ? failedRun(code, hint) : notRun(code, hint);
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
  const permission = permitAnswer(record, request);
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

async function acquire(
  request: AnswerRequest,
  progress: Progress,
  options: AnswerDependencies & { readonly signal: AbortSignal },
): Promise<
  | { readonly kind: "granted"; readonly grant: Grant }
  | { readonly kind: "refused"; readonly failure: CallFailure }
> {
  const version = progress.version;
  if (!version) throw new Error("a version is chosen before a pipeline");
  const result = await options.router.acquire({
    request,
    version,
    avoid: progress.avoid,
    isRecovery: progress.started,
    signal: options.signal,
  });
  if (result.kind === "granted") return result;
  const { code, retryAfterSeconds } = result;
  const failure = progress.started
    ? failedRun(code, {
        message: "the answer lost its engines and found no others; ask again",
        retryAfterSeconds,
      })
    : notRun(code, {
        message: "no engines are free for this request; ask again later",
        retryAfterSeconds,
      });
  return { kind: "refused", failure };
}

async function* runAttempt(
  request: AnswerRequest,
  options: AnswerDependencies & {
    readonly signal: AbortSignal;
    readonly progress: Progress;
    readonly grant: Grant;
  },
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, grant, engines, fleet, keeper } = options;
  const first = grant.stages[0];
  if (!first) throw new Error("a pipeline has at least one stage");
  progress.attempt += 1;
  const attempt = describeAttempt(request, { progress, grant });
  const stop = new AbortController();
  const signal = AbortSignal.any([options.signal, stop.signal]);
  const stopFollowing = keeper.onChange((record) => {
    if (!mayContinue(record, attempt)) stop.abort();
  });
  try {
    if (!(await mayGoOn(attempt, keeper))) {
      return { kind: "retry", reason: "withdrawn while it waited" };
    }
    const start = await engines.start(first.address, attempt, { signal });
    if (start.kind === "refused") {
      progress.avoid.add(first.engine);
      return { kind: "retry", reason: start.reason };
    }
    if (start.kind === "not_sent") {
      lose(first.engine, { progress, fleet });
      return { kind: "retry", reason: start.detail };
    }
    progress.started = true;
    if (start.kind === "broken") {
      if (!signal.aborted) lose(first.engine, { progress, fleet });
      return { kind: "retry", reason: start.detail };
    }
    return yield* readAttempt(start.events, { ...options, attempt, signal });
  } finally {
    stopFollowing();
    stop.abort();
    grant.release();
  }
}

async function* readAttempt(
  events: AsyncIterable<EngineEvent>,
  options: AnswerDependencies & {
    readonly progress: Progress;
    readonly grant: Grant;
    readonly attempt: AttemptRequest;
    readonly signal: AbortSignal;
  },
): AsyncGenerator<AnswerEvent, AttemptEnd> {
  const { progress, grant, fleet, attempt, signal } = options;
  const iterator = events[Symbol.asyncIterator]();
  while (true) {
    const next = await nextEvent(iterator);
    if (signal.aborted || !(await mayGoOn(attempt, options.keeper))) {
      return { kind: "retry", reason: "cancelled" };
    }
    if (next.kind === "stalled") {
      await loseSilentStages(grant, options);
      return { kind: "retry", reason: "stalled" };
    }
    if (next.kind === "ended") {
      const first = grant.stages[0];
      if (first) lose(first.engine, { progress, fleet });
      return { kind: "retry", reason: "stream broke" };
    }
    const { event } = next;
    if (event.attempt !== attempt.attempt) continue;
    switch (event.type) {
      case "started":
        break;
      case "token": {
        const expected = progress.delivered.length;
        if (event.index < expected) break;
        if (event.index > expected) {
          return { kind: "retry", reason: "a token is missing" };
        }
        progress.delivered.push(event.text);
        progress.digest = event.digest;
        grant.observeToken();
        yield { type: "token", index: event.index, text: event.text };
        break;
      }
      case "done":
        return { kind: "done", reason: event.reason };
      case "stage_lost": {
        const lost = grant.stages[event.stage];
        if (lost) lose(lost.engine, { progress, fleet });
        return { kind: "retry", reason: event.reason };
      }
      case "cancelled":
        return { kind: "retry", reason: event.reason };
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
  keeper: NoteKeeper,
): Promise<boolean> {
  const record = await keeper.fresh();
  return record !== null && mayContinue(record, attempt);
}

type NextEvent =
  | { readonly kind: "event"; readonly event: EngineEvent }
  | { readonly kind: "ended" }
  | { readonly kind: "stalled" };

async function nextEvent(
  iterator: AsyncIterator<EngineEvent>,
): Promise<NextEvent> {
  let timer: NodeJS.Timeout | undefined;
  const stalled = new Promise<NextEvent>((resolve) => {
    timer = setTimeout(() => resolve({ kind: "stalled" }), STALL_MS);
  });
  const read = iterator.next().then(
    (result): NextEvent =>
      result.done ? { kind: "ended" } : { kind: "event", event: result.value },
    (): NextEvent => ({ kind: "ended" }),
  );
  const next = await Promise.race([read, stalled]);
  clearTimeout(timer);
  return next;
}

/** A stage that is frozen or cut off does not answer; the others do. */
async function loseSilentStages(
  grant: Grant,
  options: AnswerDependencies & { readonly progress: Progress },
): Promise<void> {
  const { engines, fleet, progress } = options;
  const states = await Promise.all(
    grant.stages.map(({ address }) => engines.readState(address)),
  );
  grant.stages.forEach(({ engine }, index) => {
    if (states[index] === null) lose(engine, { progress, fleet });
  });
}

function lose(
  engine: string,
  options: { readonly progress: Progress; readonly fleet: EngineFleet },
): void {
  options.progress.avoid.add(engine);
  options.fleet.reportLost(engine);
}

function describeAttempt(
  request: AnswerRequest,
  options: { readonly progress: Progress; readonly grant: Grant },
): AttemptRequest {
  const { progress, grant } = options;
  return {
    requestId: request.requestId,
    attempt: progress.attempt,
    model: request.model,
    version: progress.version?.version ?? "",
    adapter: request.adapter,
    noteNumber: progress.noteNumber,
    stages: [...grant.stages],
    promptTokens: [...request.promptTokens],
    deliveredTokens: [...progress.delivered],
    maxTokens: request.maxTokens,
    priority: request.priority,
  };
}

function gaveUp(progress: Progress): CallFailure {
  const message = `no attempt of ${progress.attempt} could finish; ask again`;
  const retryAfterSeconds = 2;
  return progress.started
    ? failedRun("attempts_used_up", { message, retryAfterSeconds })
    : notRun("attempts_used_up", { message, retryAfterSeconds });
}

function provenanceOf(progress: Progress): AnswerProvenance {
  return {
    version: progress.version?.version ?? "",
    noteNumber: progress.noteNumber,
    digest: progress.digest,
    attempts: progress.attempt,
  };
}
