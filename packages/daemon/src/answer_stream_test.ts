import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import type { AnswerEvent } from "@rosemarypin/calls";
import { request } from "undici";
import { afterEach, describe, expect, it, vi } from "vitest";
import { type AnswerEnd, sendStream, sendWhole } from "./answer_stream.ts";

const provenance = { version: "v1", noteNumber: 1, digest: "d", attempts: 1 };
const failure = {
  outcome: "withdrawn" as const,
  code: "withdrawn",
  message: "withdrawn by release note 2: faulty",
  status: 410,
  noteNumber: 2,
};
const tokens: readonly AnswerEvent[] = [
  { type: "token", index: 0, text: "lift", engine: "engine-1" },
  { type: "token", index: 1, text: "the header", engine: "engine-1" },
];
const done: AnswerEvent = { type: "done", reason: "stop", provenance };
const failed: AnswerEvent = { type: "failed", failure };

/** What a caller receives for the events, after `pauseMs` before the last. */
async function receive(
  events: readonly AnswerEvent[],
  options: {
    readonly send: typeof sendStream;
    readonly style?: "chat" | "text";
    readonly beforeLast?: () => Promise<void>;
  },
) {
  let end: AnswerEnd | undefined;
  const server = createServer(async (_request, response) => {
    end = await options.send(play(events, options.beforeLast), {
      response,
      requestId: "request-1",
      model: "assist",
      style: options.style ?? "chat",
      readerStallMs: 1_000,
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const response = await request(`http://127.0.0.1:${port}/`);
  const text = await response.body.text();
  server.closeAllConnections();
  server.close();
  return {
    status: response.statusCode,
    contentType: response.headers["content-type"],
    text: text.replaceAll(/"created":\d+/g, '"created":0'),
    end: end?.kind,
  };
}

async function* play(
  events: readonly AnswerEvent[],
  beforeLast: (() => Promise<void>) | undefined,
): AsyncGenerator<AnswerEvent> {
  yield* events.slice(0, -1);
  await beforeLast?.();
  yield* events.slice(-1);
}

afterEach(() => {
  vi.useRealTimers();
});

describe("an answer as a stream", () => {
  it.each(["chat", "text"] as const)("of style %s", async (style) => {
    const send = sendStream;
    expect(await receive([...tokens, done], { send, style })).toMatchSnapshot();
  });

  it("that fails before its first token has a status", async () => {
    expect(await receive([failed], { send: sendStream })).toMatchSnapshot();
  });

  // A recall comes into force while a mechanic's answer streams. The status
  // went out with the first token, so the end must say what happened.
  it("that fails after its first token ends with an error event", async () => {
    const events = [...tokens, failed];
    expect(await receive(events, { send: sendStream })).toMatchSnapshot();
  });

  it("is kept alive by comments while no token comes", async () => {
    vi.useFakeTimers({ toFake: ["setInterval", "clearInterval"] });
    const beforeLast = async () => {
      vi.advanceTimersByTime(20_000);
    };
    const events = [...tokens, done];
    const { text } = await receive(events, { send: sendStream, beforeLast });
    expect(text.match(/^: keep-alive$/gm)).toHaveLength(2);
  });
});

describe("an answer as one body", () => {
  it.each([
    ["whole", [...tokens, done]],
    ["failed", [...tokens, failed]],
  ])("that is %s", async (_title, events) => {
    expect(await receive(events, { send: sendWhole })).toMatchSnapshot();
  });
});
