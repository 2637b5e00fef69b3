/** `GET /v1/answers/{requestId}`: the rest of an answer, on any instance. */
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  badCall,
  parseEventId,
  type ResumeDependencies,
  resumeAnswer,
} from "@rosemarypin/calls";
import type { Organisation } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { factsOfEnd } from "./answer_endpoint.ts";
import { sendStream } from "./answer_stream.ts";
import { sendFailure } from "./http_basics.ts";
import { factsOfFailure, type RequestMemory } from "./request_memory.ts";

const RESUMED_DEADLINE_MS = 60_000;
const ANSWER_PATH = /^\/v1\/answers\/([0-9a-zA-Z-]{1,64})$/;

const log = createLogger("resume");

interface ResumeExchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly organisation: Organisation;
  /** How long the caller may leave bytes unread, in milliseconds. */
  readonly readerStallMs: number;
}

/** The id of the answer that a request asks to resume, if it does. */
export function readResumePath(request: IncomingMessage): string | null {
  if (request.method !== "GET") return null;
  const [path = ""] = (request.url ?? "").split("?");
  return ANSWER_PATH.exec(path)?.[1] ?? null;
}

/** Streams the tokens after the one that `last-event-id` names. */
export async function resume(
  exchange: ResumeExchange,
  options: ResumeDependencies & { readonly requests: RequestMemory },
): Promise<void> {
  const { request, response, requestId, organisation, readerStallMs } =
    exchange;
  const last = parseEventId(String(request.headers["last-event-id"] ?? ""));
  if (last?.requestId !== requestId) {
    const message =
      "send last-event-id as it came with the answer's last event";
    const failure = badCall("bad_event_id", { message, status: 400 });
    return sendFailure(response, failure, { requestId });
  }
  const left = new AbortController();
  response.once("close", () => left.abort());
  const deadlineAt = Date.now() + RESUMED_DEADLINE_MS;
  const resumed = await resumeAnswer(
    {
      last,
      organisation: organisation.name,
      weight: organisation.weight,
      deadlineAt,
    },
    { ...options, signal: left.signal },
  );
  const remembered = options.requests.begin({
    kind: "resumed_answer",
    requestId,
    name: resumed.kind === "failed" ? "unknown" : resumed.model,
    organisation: organisation.name,
  });
  if (resumed.kind === "failed") {
    remembered.end(factsOfFailure(resumed.failure));
    return sendFailure(response, resumed.failure, { requestId });
  }
  const query = new URL(request.url ?? "/", "http://caller").searchParams;
  const style = query.get("style") === "chat" ? "chat" : "text";
  const { model, events } = resumed;
  const output = {
    response,
    requestId,
    model,
    style,
    readerStallMs,
  } as const;
  const end = await sendStream(events, output);
  remembered.end(factsOfEnd(end));
  log.info("answer_resumed", {
    request: requestId,
    organisation: organisation.name,
    from: last.index + 1,
    outcome: end.kind,
  });
}
