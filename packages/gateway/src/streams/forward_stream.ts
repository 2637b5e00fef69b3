/**
 * Forwards answers that come as a stream of events, and takes a broken one up
 * on another pipeline behind the last event that the caller has.
 */

import {
  beginAnswer,
  type CallEnd,
  type CallerCall,
  createStreamPace,
  drawReturn,
  endWithRefusal,
  type ReturnSpan,
} from "../callers/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import { createAdmission } from "./admission.ts";
import type { AnswerSize } from "./pipeline_router.ts";
import {
  type RunEnd,
  runStream,
  type StreamParts,
  type StreamProgress,
} from "./stream_run.ts";

/** Pipelines that may refuse an answer before the caller is refused. */
const MOST_REFUSALS = 4;
/** Runs that may end with their first engine, so that no call goes on for
 * ever while engines fail one after the other. */
const MOST_LOST = 3;
/**
 * When to come back, in seconds. A lost engine's layers are noticed within
 * one second and held by others one to two seconds later; callers that were
 * refused together return one by one.
 */
const RETURN_SECONDS: ReturnSpan = { least: 1.2, most: 3.2 };
/** The same when all engines are full; answers take a second or two. */
const ROOM_SECONDS: ReturnSpan = { least: 0.5, most: 2 };

/** Forwards a call until its stream is complete or can't be. */
export async function forwardStream(
  call: CallerCall,
  parts: StreamParts,
): Promise<CallEnd> {
  const { budget, router } = parts;
  const progress: StreamProgress = {
    begun: false,
    lastEventId: call.facts.lastEventId,
    pace: createStreamPace(call.startedAt),
  };
  const avoided = new Set<string>();
  let attempts = 0;
  let runs = 0;
  let lost = 0;
  let last: RunEnd = { kind: "not_run", detail: "no_pipeline" };
  const size = sizeOf(call);
  const admission = createAdmission(call, router, { size, avoided });
  while (!call.signal.aborted) {
    const admitted = await admission.next({ hasBegun: progress.begun });
    if (admitted.kind === "refused") {
      if (attempts === 0) last = { kind: "not_run", detail: admitted.reason };
      break;
    }
    const { pipeline } = admitted;
    if (attempts > 0 && !budget.take(call.service.name)) {
      pipeline.release();
      break;
    }
    attempts += 1;
    const run = {
      pipeline,
      size,
      avoided,
      mayGoElsewhere:
        call.route.resumable && runs - lost + 1 < call.route.maxAttempts,
      stop: new AbortController(),
    };
    last = await runStream(call, run, { progress, parts });
    if (last.kind === "complete") break;
    if (last.kind === "not_run") {
      if (attempts - runs > MOST_REFUSALS) break;
      continue;
    }
    runs += 1;
    // A run on an engine that went away takes nothing from the bound.
    if (last.kind === "broken" && last.firstEngineAway) lost += 1;
    if (!call.route.resumable) break;
    if (runs - lost >= call.route.maxAttempts || lost > MOST_LOST) break;
  }
  return endOf(call, { last, progress, attempts, runs, codec: parts.codec });
}

/** Tokens that a call's answer is expected to take. */
function sizeOf({ facts, service }: CallerCall): AnswerSize {
  const model = service.engine?.model;
  const usual = model?.usualAnswerTokens ?? 0;
  const promptTokens = facts.promptTokens ?? model?.usualPromptTokens ?? 0;
  const expected = facts.expectedAnswerTokens ?? usual;
  const answerTokens = Math.min(facts.mostAnswerTokens ?? expected, expected);
  return { promptTokens, answerTokens };
}

function endOf(
  call: CallerCall,
  state: {
    readonly last: RunEnd;
    readonly progress: StreamProgress;
    readonly attempts: number;
    readonly runs: number;
    readonly codec: RequestCodec;
  },
): CallEnd {
  const { last, progress, attempts, runs, codec } = state;
  const pace = progress.pace.summary();
  const firstByteMs = pace.firstMs;
  if (last.kind === "complete") {
    const { status } = last;
    const outcome = "answered";
    return { status, outcome, reason: outcome, attempts, firstByteMs, pace };
  }
  if (call.callerLeft()) {
    const reason = "caller_left";
    return { status: 0, outcome: reason, reason, attempts, firstByteMs, pace };
  }
  if (progress.begun) {
    // An answer that ends early must not look complete to its caller.
    call.response.destroy();
    const reason = last.kind === "failed" ? "failed_midway" : last.detail;
    return { status: 0, outcome: "cut", reason, attempts, firstByteMs, pace };
  }
  if (last.kind === "failed") {
    const { status } = last.answer;
    beginAnswer(codec, call.response, last.answer);
    call.response.end(last.body);
    const reason = `status_${status}`;
    return { status, outcome: "answered", reason, attempts, firstByteMs, pace };
  }
  const outcome = runs > 0 ? "unknown" : "not_run";
  return endWithRefusal(codec, call, {
    outcome,
    reason: last.detail,
    attempts,
    retryAfterSeconds: drawReturn(
      last.detail === "no_room" ? ROOM_SECONDS : RETURN_SECONDS,
    ),
  });
}
