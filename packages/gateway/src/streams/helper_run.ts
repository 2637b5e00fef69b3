/** Runs a streamed answer through another instance. */
import type { OpenAnswer } from "../backends/mod.ts";
import type { CallerCall } from "../callers/mod.ts";
import { isOwnAnswer, readBody } from "../forwarding/mod.ts";
import type { HandoffRequest, HandoffResult } from "../handoff/mod.ts";
import {
  forwardEvents,
  type RunEnd,
  type StreamParts,
  type StreamProgress,
} from "./stream_run.ts";

export type HelperRunEnd =
  | Exclude<RunEnd, { readonly kind: "not_run" }>
  | Extract<HandoffResult, { readonly kind: "refused" | "unavailable" }>;

/** An answer that another instance has begun; no event was forwarded yet. */
export interface BegunAnswer {
  readonly kind: "begun";
  readonly answer: OpenAnswer;
}

export interface HelperRequest
  extends Omit<HandoffRequest, "lastEventId" | "isRepeatable"> {
  readonly progress: StreamProgress;
  readonly parts: Pick<StreamParts, "codec" | "handoff">;
}

/**
 * Hands the call off until another instance has begun its answer. That instance
 * chooses pipelines and recovers from lost stages by itself.
 */
export async function beginOnHelper(
  call: CallerCall,
  { progress, parts, ...request }: HelperRequest,
): Promise<BegunAnswer | HelperRunEnd> {
  const { codec, handoff } = parts;
  const result = await handoff.send(call, {
    ...request,
    lastEventId: progress.lastEventId,
    isRepeatable: call.route.resumable,
  });
  if (result.kind === "broken") return brokenRun(result.detail);
  if (result.kind !== "answer") return result;
  const { answer } = result;
  const metadata = codec.decodeAnswer(answer.status, answer.headers);
  if (!isOwnAnswer(call, metadata)) {
    answer.abandon();
    return brokenRun("answer_of_another_request");
  }
  const isRefused = answer.status >= 400 && answer.status < 500;
  if (!metadata.isSigned && !isRefused) {
    answer.abandon();
    return brokenRun(`helper_${answer.status}`);
  }
  if (answer.status < 300) return { kind: "begun", answer };
  try {
    return { kind: "failed", answer, body: await readBody(answer) };
  } catch (error) {
    return brokenByError(error);
  }
}

/** Forwards the events of an answer that another instance has begun. */
export async function forwardBegun(
  call: CallerCall,
  { answer }: BegunAnswer,
  { progress, parts }: Pick<HelperRequest, "progress" | "parts">,
): Promise<HelperRunEnd> {
  try {
    const { codec } = parts;
    return await forwardEvents(call, answer, { progress, codec });
  } catch (error) {
    return brokenByError(error);
  }
}

function brokenByError(error: unknown): HelperRunEnd {
  return brokenRun(error instanceof Error ? error.message : String(error));
}

function brokenRun(detail: string): HelperRunEnd {
  return { kind: "broken", detail, isFirstEngineLost: false };
}
