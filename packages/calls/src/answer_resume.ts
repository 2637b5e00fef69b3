/** Goes on with an answer whose entry instance or connection was lost. */
import type { ParkedAnswers } from "@rosemarypin/backends";
import { mayContinue } from "@rosemarypin/release";
import type { AnswerRequest, ParkedAnswer } from "@rosemarypin/schemas";
import { type AnswerDependencies, runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { readIncarnations } from "./answer_liveness.ts";
import { emptyProgress, type Progress } from "./answer_progress.ts";
import {
  badCall,
  type CallFailure,
  failedRun,
  withdrawnBy,
} from "./call_failure.ts";

/** A caller may send the request again at once: its answer is gone. */
const LOST_RETRY_SECONDS = 1;
const NO_NOTE_RETRY_SECONDS = 2;
const EVENT_ID = /^([0-9a-zA-Z-]{1,64})@([0-9a-zA-Z._-]{1,63}):(\d{1,6})$/;

/** Where an answer can be found again, and what its caller has of it. */
export interface EventId {
  readonly requestId: string;
  /** Engine of the first stage, which keeps the answer for a while. */
  readonly engine: string;
  /** Index of the token. */
  readonly index: number;
}

/** The id of a token's server-sent event. */
export function formatEventId({ requestId, engine, index }: EventId): string {
  return `${requestId}@${engine}:${index}`;
}

/** Reads an id that a caller sent back; `null` when it is none of ours. */
export function parseEventId(text: string): EventId | null {
  const match = EVENT_ID.exec(text);
  if (!match) return null;
  const [, requestId = "", engine = "", index = ""] = match;
  return { requestId, engine, index: Number(index) };
}

export interface ResumeDependencies extends AnswerDependencies {
  readonly parked: ParkedAnswers;
}

export interface ResumeRequest {
  readonly last: EventId;
  readonly organisation: string;
  /** The organisation's share, as its other requests have it. */
  readonly weight: number;
  readonly deadlineAt: number;
}

/** The rest of an answer, or why there is none. */
export type ResumedAnswer =
  | {
      readonly kind: "resumed";
      readonly model: string;
      readonly events: AsyncIterable<AnswerEvent>;
    }
  | { readonly kind: "failed"; readonly failure: CallFailure };

/**
 * Sends what the caller does not have yet. The engine of the first stage has
 * seen every token that a caller may have, so the caller's last index tells
 * exactly what is missing; a later attempt then goes on, which ends what the
 * earlier instance may still run.
 */
export async function resumeAnswer(
  resume: ResumeRequest,
  options: ResumeDependencies & { readonly signal: AbortSignal },
): Promise<ResumedAnswer> {
  const { engine, requestId } = resume.last;
  const known = options.fleet
    .engines()
    .find(({ settings }) => settings.id === engine);
  if (!known) return { kind: "failed", failure: lostAnswer() };
  const { address } = known.settings;
  const found = await options.parked.readAnswer(address, requestId);
  if (found.kind !== "found") return { kind: "failed", failure: lostAnswer() };
  const { answer } = found;
  const failure = await refuse(answer, { resume, ...options });
  if (failure) return { kind: "failed", failure };
  const { model } = answer.request;
  const events = runRest(answer, { ...options, resume });
  return { kind: "resumed", model, events };
}

async function* runRest(
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

async function refuse(
  { request, tokens }: ParkedAnswer,
  options: AnswerDependencies & { readonly resume: ResumeRequest },
): Promise<CallFailure | null> {
  const { resume, keeper } = options;
  // Another organisation learns nothing, not even that the answer exists.
  if (request.organisation !== resume.organisation) return lostAnswer();
  if (resume.last.index >= tokens.length) {
    const message = "last-event-id is ahead of the answer";
    return badCall("bad_event_id", { message, status: 400 });
  }
  // Without a note that holds, the tokens may be those of a withdrawn batch.
  const record = await keeper.fresh();
  if (!record) return noNote();
  if (mayContinue(record, request)) return null;
  return withdrawnBy(record.number, {
    what: `version '${request.version}' of model '${request.model}'`,
    reason: record.note.reason,
  });
}

function noNote(): CallFailure {
  return failedRun("no_release_note", {
    message: "this instance has no release note to answer from; ask again",
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
  const progress = emptyProgress();
  progress.delivered.push(...tokens);
  const catalogue = options.keeper.current()?.catalogue;
  const model = catalogue?.models[request.model];
  progress.version = model?.versions[request.version] ?? null;
  progress.noteNumber = request.noteNumber;
  progress.digest = digest;
  progress.attempt = request.attempt;
  progress.started = true;
  // A token shows that each stage had the KV cache when it was made; an
  // engine that lost it since says so, and the next attempt rebuilds it.
  if (tokens.length === request.deliveredTokens.length) return progress;
  const incarnations = readIncarnations(options.fleet);
  for (const { engine, layers } of request.stages) {
    const incarnation = incarnations.get(engine);
    progress.kept.set(engine, { layers, incarnation });
  }
  return progress;
}

function lostAnswer(): CallFailure {
  return failedRun("answer_lost", {
    message: "no engine has this answer any more; send the request again",
    retryAfterSeconds: LOST_RETRY_SECONDS,
  });
}
