/** Requests to backend servers, for plain calls and streams. */
import type { OpenAnswer, OutgoingRequest } from "../backends/mod.ts";
import { type CallerCall, priorityOf, timeLeftMs } from "../callers/mod.ts";
import type {
  AnswerMetadata,
  AttemptMetadata,
  RequestCodec,
} from "../protocol.ts";

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

/** Reads the whole body; throws when it ends early. */
export async function readBody({ body }: OpenAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
}
