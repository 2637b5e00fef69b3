/** What plain calls and streams share of asking a backend server. */
import type { OpenAnswer, OutgoingRequest } from "../backends/mod.ts";
import { type CallerCall, priorityOf, timeLeftMs } from "../callers/mod.ts";
import type { AnswerFacts, AttemptFacts, RequestCodec } from "../protocol.ts";

/** Makes the request that goes to a backend server for a call. */
export function outgoingRequest(
  codec: RequestCodec,
  call: CallerCall,
  attempt: Pick<AttemptFacts, "backendId" | "pipeline" | "lastEventId">,
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

/** Whether an answer is this call's; a late one of another may come first. */
export function isOwnAnswer(
  { facts }: CallerCall,
  { requestId, plainBody }: AnswerFacts,
): boolean {
  return plainBody && (requestId === null || requestId === facts.requestId);
}

/** Reads a body to its end; throws when it breaks off. */
export async function readWhole({ body }: OpenAnswer): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of body) chunks.push(chunk);
  return Buffer.concat(chunks);
}
