/** Resumes an answer whose entry instance or connection was lost. */
import type { ParkedAnswers } from "@rosemarypin/backends";
import { mayContinue } from "@rosemarypin/release";
import type { AnswerRequest, ParkedAnswer } from "@rosemarypin/schemas";
import { type AnswerDependencies, runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { readIncarnations } from "./answer_liveness.ts";
import { createProgress, type Progress } from "./answer_progress.ts";
import {
  badCall,
  type CallFailure,
  failedRun,
  withdrawnBy,
} from "./call_failure.ts";

/** Short, since the answer is lost and waiting longer cannot recover it. */
const LOST_ANSWER_RETRY_SECONDS = 1;
const NO_NOTE_RETRY_SECONDS = 2;
const EVENT_ID = /^([0-9a-zA-Z-]{1,64})@([0-9a-zA-Z._-]{1,63}):(\d{1,6})$/;

/** Position in an answer's event stream, sent as its server-sent event id. */
export interface EventId {
  readonly requestId: string;
  /** Engine of the first stage, which stores the answer for a limited time. */
  readonly engine: string;
  /** Index of the token that the event delivers. */
  readonly index: number;
}

/** Formats the id of a token's server-sent event. */
export function formatEventId({ requestId, engine, index }: EventId): string {
  return `${requestId}@${engine}:${index}`;
}

/** Parses a `Last-Event-ID`; `null` when the format is not ours. */
export function parseEventId(text: string): EventId | null {
  const match = EVENT_ID.exec(text);
  if (!match) return null;
  const [, requestId = "", engine = "", index = ""] = match;
  return { requestId, engine, index: Number(index) };
}

/** What an instance needs to resume answers. */
export interface ResumeDependencies extends AnswerDependencies {
  readonly parked: ParkedAnswers;
}

/** A caller's request for the rest of an answer. */
export interface ResumeRequest {
  /** The last event that the caller received. */
  readonly last: EventId;
  readonly organisation: string;
  /** Fair-queueing weight of the organisation. */
  readonly weight: number;
  readonly deadlineAt: number;
}

/** The remaining events of an answer, or the failure to resume it. */
export type ResumedAnswer =
  | {
      readonly kind: "resumed";
      readonly model: string;
      readonly events: AsyncIterable<AnswerEvent>;
    }
  | { readonly kind: "failed"; readonly failure: CallFailure };

/**
 * Resumes an answer after the last event that the caller received. The engine
 * of the first stage stores every token that the caller can have received, so
 * the missing ones are replayed from there. A new attempt then continues the
 * answer and cancels an attempt that the previous instance may still run.
 */
export async function resumeAnswer(
  resume: ResumeRequest,
  options: ResumeDependencies & { readonly signal: AbortSignal },
): Promise<ResumedAnswer> {
  const { engine, requestId } = resume.last;
  const firstEngine = options.fleet
    .engines()
    .find(({ settings }) => settings.id === engine);
  if (!firstEngine)
    return { kind: "failed", failure: createLostAnswerFailure() };
  const { address } = firstEngine.settings;
  const readResult = await options.parked.readAnswer(address, requestId);
  if (readResult.kind !== "found")
    return { kind: "failed", failure: createLostAnswerFailure() };
  const { answer } = readResult;
  const failure = await checkResumable(answer, { resume, ...options });
  if (failure) return { kind: "failed", failure };
  const { model } = answer.request;
  const events = streamRemaining(answer, { ...options, resume });
  return { kind: "resumed", model, events };
}

async function* streamRemaining(
  answer: ParkedAnswer,
  options: ResumeDependencies & {
    readonly signal: AbortSignal;
    readonly resume: ResumeRequest;
  },
): AsyncGenerator<AnswerEvent> {
  const { resume } = options;
  const { engine, index } = resume.last;
  const { tokens, ended, digest } = answer;
  for (const [offset, text] of tokens.slice(index + 1).entries()) {
    yield { type: "token", index: index + 1 + offset, text, engine };
  }
  if (ended) {
    const { version, noteNumber, attempt: attempts } = answer.request;
    const provenance = { version, noteNumber, digest, attempts };
    return yield { type: "done", reason: ended, provenance };
  }
  const progress = restoreProgress(answer, options);
  yield* runAnswer(restoreRequest(answer, resume), { ...options, progress });
}

async function checkResumable(
  { request, tokens }: ParkedAnswer,
  options: AnswerDependencies & { readonly resume: ResumeRequest },
): Promise<CallFailure | null> {
  const { resume, keeper } = options;
  // Same failure as for a missing answer: other organisations must not learn
  // that the answer exists.
  if (request.organisation !== resume.organisation)
    return createLostAnswerFailure();
  if (resume.last.index >= tokens.length) {
    const message = "last-event-id is ahead of the answer";
    return badCall("bad_event_id", { message, status: 400 });
  }
  // Without a valid note, the tokens may be of a withdrawn version.
  const record = await keeper.fresh();
  if (!record) return createNoNoteFailure();
  if (mayContinue(record, request)) return null;
  return withdrawnBy(record.number, {
    what: `version '${request.version}' of model '${request.model}'`,
    reason: record.note.reason,
  });
}

function createNoNoteFailure(): CallFailure {
  return failedRun("no_release_note", {
    message: "this instance has no valid release note; retry the request",
    retryAfterSeconds: NO_NOTE_RETRY_SECONDS,
  });
}

function restoreRequest(
  { request }: ParkedAnswer,
  resume: ResumeRequest,
): AnswerRequest {
  const { requestId, organisation, model, adapter } = request;
  const { promptTokens, maxTokens, priority } = request;
  const { deadlineAt, weight } = resume;
  return {
    requestId,
    organisation,
    weight,
    model,
    adapter,
    promptTokens,
    maxTokens,
    priority,
    deadlineAt,
  };
}

function restoreProgress(
  { request, tokens, digest }: ParkedAnswer,
  options: AnswerDependencies,
): Progress {
  const progress = createProgress();
  progress.deliveredTokens.push(...tokens);
  const catalogue = options.keeper.current()?.catalogue;
  const model = catalogue?.models[request.model];
  progress.version = model?.versions[request.version] ?? null;
  progress.noteNumber = request.noteNumber;
  progress.digest = digest;
  progress.attemptNumber = request.attempt;
  progress.mayHaveRun = true;
  // Only an attempt that produced a token proves that its stages have the KV
  // cache. If an engine has lost its cache since, the next attempt fails there,
  // and the one after it recomputes.
  if (tokens.length === request.deliveredTokens.length) return progress;
  const incarnations = readIncarnations(options.fleet);
  for (const { engine, layers } of request.stages) {
    const incarnation = incarnations.get(engine);
    progress.caches.set(engine, { layers, incarnation });
  }
  return progress;
}

function createLostAnswerFailure(): CallFailure {
  return failedRun("answer_lost", {
    message: "the answer is no longer stored; send the request again",
    retryAfterSeconds: LOST_ANSWER_RETRY_SECONDS,
  });
}
