/**
 * Forwards answers that come as a stream of events, and takes a broken one up
 * on another pipeline behind the last event that the caller has.
 */
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import {
  beginAnswer,
  drawReturn,
  endWithRefusal,
  type ReturnSpan,
} from "./caller_answer.ts";
import type { CallEnd, CallerCall } from "./caller_call.ts";
import type { RequestCodec } from "./protocol.ts";
import { createStreamPace } from "./stream_pace.ts";
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
 * How long an answer that has begun waits for a pipeline while layers of a
 * lost engine are loaded elsewhere, which takes one to two seconds. One that
 * has not begun is refused at once instead: its caller can come back.
 */
const LONGEST_WAIT_MS = 4_000;
const WAIT_STEP_MS = 100;

/**
 * When to come back, in seconds. A lost engine's layers are noticed within
 * one second and held by others one to two seconds later; callers that were
 * refused together return one by one.
 */
const RETURN_SECONDS: ReturnSpan = { least: 1.2, most: 3.2 };

const log = createLogger("streams");

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
  let waitedMs = 0;
  const { tokens, unreadTokens } = sizeOf(call);
  let last: RunEnd = { kind: "not_run", detail: "no_pipeline" };
  while (!call.signal.aborted) {
    const pipeline = router.choose({
      service: call.service,
      tokens,
      unreadTokens,
      avoided,
      // Sent to engines without room, answers push others out of memory.
      ...(progress.begun && waitedMs < LONGEST_WAIT_MS ? { mostLoad: 1 } : {}),
    });
    if (!pipeline) {
      if (!progress.begun || waitedMs >= LONGEST_WAIT_MS) {
        log.warn("no_pipeline", {
          request: call.id,
          missing_layers: router.missingLayers({
            service: call.service,
            avoided,
          }),
          avoided: [...avoided].join(",") || undefined,
          waited_ms: waitedMs,
        });
        break;
      }
      // Engines that this call kept away from may have come back.
      avoided.clear();
      await pause(WAIT_STEP_MS, call.signal);
      waitedMs += WAIT_STEP_MS;
      continue;
    }
    if (attempts > 0 && !budget.take(call.service.name)) {
      pipeline.release();
      break;
    }
    attempts += 1;
    const run = {
      pipeline,
      tokens,
      unreadTokens,
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

/** Tokens of a call's prompt, and those with its expected answer. */
function sizeOf({ facts, service }: CallerCall): {
  readonly tokens: number;
  readonly unreadTokens: number;
} {
  const model = service.engine?.model;
  const usualAnswer = model?.usualAnswerTokens ?? 0;
  const unreadTokens = facts.promptTokens ?? model?.usualPromptTokens ?? 0;
  const answer = Math.min(facts.mostAnswerTokens ?? usualAnswer, usualAnswer);
  return { tokens: unreadTokens + answer, unreadTokens };
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
    retryAfterSeconds: drawReturn(RETURN_SECONDS),
  });
}
