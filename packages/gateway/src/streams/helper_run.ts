/** Runs a streamed answer through another instance. */
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

/**
 * Hands the call off to another instance and forwards the events that it sends.
 * That instance chooses pipelines and recovers from lost stages by itself.
 */
export async function runOnHelper(
  call: CallerCall,
  options: {
    readonly progress: StreamProgress;
    readonly parts: Pick<StreamParts, "codec" | "handoff">;
  } & Omit<HandoffRequest, "lastEventId" | "isRepeatable">,
): Promise<HelperRunEnd> {
  const { progress, parts, ...request } = options;
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
  try {
    if (answer.status >= 300)
      return { kind: "failed", answer, body: await readBody(answer) };
    return await forwardEvents(call, answer, { progress, codec });
  } catch (error) {
    return brokenRun(error instanceof Error ? error.message : String(error));
  }
}

function brokenRun(detail: string): HelperRunEnd {
  return { kind: "broken", detail, isFirstEngineLost: false };
}
