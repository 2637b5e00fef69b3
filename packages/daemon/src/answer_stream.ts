/** Turns the events of an answer into OpenAI-style JSON or SSE. */
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import {
  type AnswerEvent,
  type CallFailure,
  formatEventId,
} from "@rosemarypin/calls";
import { closeConnection } from "@rosemarypin/connections";
import type { AnswerProvenance } from "@rosemarypin/schemas";
import { failureBody, sendFailure, sendJson } from "./http_basics.ts";

const KEEP_ALIVE_MS = 10_000;

/** Which of the two completion endpoints was called. */
export type AnswerStyle = "chat" | "text";

export interface AnswerOutput {
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly model: string;
  readonly style: AnswerStyle;
  /** How long the caller may leave bytes unread, in milliseconds. */
  readonly readerStallMs: number;
}

/** How an answer ended, for logs and metrics. */
export type AnswerEnd =
  | { readonly kind: "done"; readonly provenance: AnswerProvenance }
  | { readonly kind: "failed"; readonly failure: CallFailure }
  | { readonly kind: "caller_left" };

/** Sends the events as server-sent events, one for each token. */
export async function sendStream(
  events: AsyncIterable<AnswerEvent>,
  output: AnswerOutput,
): Promise<AnswerEnd> {
  const keepAlive = setInterval(() => sendComment(output), KEEP_ALIVE_MS);
  try {
    return await sendEvents(events, output);
  } finally {
    clearInterval(keepAlive);
  }
}

/** Shows proxies on the way that the stream lives while no token comes. */
function sendComment({ response }: AnswerOutput): void {
  const isOpen = response.headersSent && !response.writableEnded;
  if (isOpen && !response.writableNeedDrain) response.write(": keep-alive\n\n");
}

async function sendEvents(
  events: AsyncIterable<AnswerEvent>,
  output: AnswerOutput,
): Promise<AnswerEnd> {
  const { response, requestId } = output;
  for await (const event of events) {
    if (event.type === "failed") {
      if (!response.headersSent) {
        sendFailure(response, event.failure, { requestId });
      } else {
        const body = JSON.stringify(failureBody(event.failure, requestId));
        response.end(`event: error\ndata: ${body}\n\n`);
      }
      return { kind: "failed", failure: event.failure };
    }
    if (!response.headersSent) startStream(output);
    if (event.type === "token") {
      const data = JSON.stringify(tokenChunk(event, output));
      const id = formatEventId({ ...event, requestId });
      await write(`id: ${id}\ndata: ${data}\n\n`, output);
      continue;
    }
    const data = JSON.stringify(lastChunk(event, output));
    response.end(`data: ${data}\n\ndata: [DONE]\n\n`);
    return { kind: "done", provenance: event.provenance };
  }
  return { kind: "caller_left" };
}

/** Collects the events and sends one JSON answer. */
export async function sendWhole(
  events: AsyncIterable<AnswerEvent>,
  output: AnswerOutput,
): Promise<AnswerEnd> {
  const { response, requestId } = output;
  const tokens: string[] = [];
  for await (const event of events) {
    if (event.type === "token") {
      tokens.push(event.text);
      continue;
    }
    if (event.type === "failed") {
      sendFailure(response, event.failure, { requestId });
      return { kind: "failed", failure: event.failure };
    }
    sendJson(response, 200, {
      body: wholeAnswer(tokens, { event, output }),
      headers: { "x-request-id": requestId },
    });
    return { kind: "done", provenance: event.provenance };
  }
  return { kind: "caller_left" };
}

function startStream({ response, requestId }: AnswerOutput): void {
  response.writeHead(200, {
    "content-type": "text/event-stream",
    "cache-control": "no-store",
    "x-request-id": requestId,
  });
}

/**
 * A slow caller holds its own answer back, not the daemon's memory. One that
 * stops reading would keep its engines busy for good, so it is cut off.
 */
async function write(text: string, output: AnswerOutput): Promise<void> {
  const { response, readerStallMs } = output;
  if (response.write(text) || response.destroyed) return;
  const closed = new AbortController();
  const onClose = () => closed.abort();
  const timer = setTimeout(
    () => closeConnection(response.socket, "slow_reader"),
    readerStallMs,
  );
  response.once("close", onClose);
  try {
    await once(response, "drain", { signal: closed.signal });
  } catch {
    // The caller left; the answer's own signal ends the work.
  } finally {
    clearTimeout(timer);
    response.off("close", onClose);
  }
}

type TokenEvent = Extract<AnswerEvent, { type: "token" }>;
type DoneEvent = Extract<AnswerEvent, { type: "done" }>;

function tokenChunk(event: TokenEvent, output: AnswerOutput): unknown {
  const text = tokenText(event.text, event.index);
  const choice =
    output.style === "chat"
      ? { index: 0, delta: { content: text }, finish_reason: null }
      : { index: 0, text, finish_reason: null };
  return envelope(output, { choices: [choice], chunk: true });
}

function lastChunk(event: DoneEvent, output: AnswerOutput): unknown {
  const choice =
    output.style === "chat"
      ? { index: 0, delta: {}, finish_reason: event.reason }
      : { index: 0, text: "", finish_reason: event.reason };
  const body = envelope(output, { choices: [choice], chunk: true });
  return { ...body, rosemarypin: event.provenance };
}

function wholeAnswer(
  tokens: readonly string[],
  options: { readonly event: DoneEvent; readonly output: AnswerOutput },
): unknown {
  const { event, output } = options;
  const text = tokens.map(tokenText).join("");
  const choice =
    output.style === "chat"
      ? {
          index: 0,
          message: { role: "assistant", content: text },
          finish_reason: event.reason,
        }
      : { index: 0, text, finish_reason: event.reason };
  const body = envelope(output, { choices: [choice], chunk: false });
  const usage = { completion_tokens: tokens.length };
  return { ...body, usage, rosemarypin: event.provenance };
}

function envelope(
  output: AnswerOutput,
  options: { readonly choices: readonly unknown[]; readonly chunk: boolean },
) {
  const kind = output.style === "chat" ? "chat.completion" : "text_completion";
  const suffix = output.style === "chat" && options.chunk ? ".chunk" : "";
  return {
    id: output.requestId,
    object: `${kind}${suffix}`,
    created: Math.floor(Date.now() / 1_000),
    model: output.model,
    choices: options.choices,
  };
}

/** Engines give words; the text between them is one space. */
function tokenText(text: string, index: number): string {
  return index === 0 ? text : ` ${text}`;
}
