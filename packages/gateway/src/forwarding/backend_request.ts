/** Requests to backend servers, for plain calls and streams. */
import {
  endlessAnswerError,
  type OpenAnswer,
  type OutgoingRequest,
} from "../backends/mod.ts";
import { type CallerCall, priorityOf, timeLeftMs } from "../callers/mod.ts";
import { createGrowingBuffer } from "../growing_buffer.ts";
import type {
  AnswerMetadata,
  AttemptMetadata,
  RequestCodec,
} from "../protocol.ts";

const MAX_SHORT_BODY_BYTES = 1_048_576;

/** Creates the request to a backend server for one attempt of a call. */
export function createOutgoingRequest(
  codec: RequestCodec,
  call: CallerCall,
  attempt: Pick<AttemptMetadata, "backendId" | "pipeline" | "lastEventId">,
): OutgoingRequest {
  return {
    method: call.method,
    path: call.path,
    headers: codec.encodeAttempt(call.rawHeaders, {
      ...attempt,
      organisation: call.organisation?.name ?? null,
      deadlineMs: timeLeftMs(call),
      priority: priorityOf(call),
    }),
    body: call.body,
  };
}

/**
 * Whether an answer belongs to the call and its body has no content coding. A
 * connection may first deliver a late answer of another request.
 */
export function isOwnAnswer(
  { metadata }: CallerCall,
  { requestId, hasPlainBody }: AnswerMetadata,
): boolean {
  return (
    hasPlainBody && (requestId === null || requestId === metadata.requestId)
  );
}

/** Reads a short body, such as that of an error; throws when it ends early. */
export async function readBody({ body }: OpenAnswer): Promise<Buffer> {
  const buffer = createGrowingBuffer();
  for await (const chunk of body) {
    buffer.append(chunk);
    if (buffer.bytes().length > MAX_SHORT_BODY_BYTES)
      throw endlessAnswerError("body");
  }
  return buffer.bytes();
}
