import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import type { AnswerEvent } from "@rosemarypin/calls";
import { request } from "undici";
import { afterEach, expect, test, vi } from "vitest";
import { sendStream } from "./answer_stream.ts";

const TOKEN_BYTES = 64 * 1_024;
/** Far more than the kernel holds of one connection. */
const TOKENS = 4_096;
/** Longer than any of the tests. */
const readerStallMs = 300_000;
/** What Node.js holds back itself before it reports a full socket. */
const HELD_AT_MOST = 4 * TOKEN_BYTES;

interface Sent {
  /** Tokens taken from the answer. */
  taken: number;
  readonly response: ServerResponse;
  ended: boolean;
}

let server: Server | undefined;
let slow: Socket | undefined;
afterEach(() => {
  slow?.destroy();
  server?.closeAllConnections();
  server?.close();
});

async function startAnswers() {
  const sent = new Map<string, Sent>();
  server = createServer(async (incoming, response) => {
    const requestId = incoming.url?.slice(1) ?? "";
    const state: Sent = { response, taken: 0, ended: false };
    sent.set(requestId, state);
    async function* give(): AsyncGenerator<AnswerEvent> {
      const text = "x".repeat(TOKEN_BYTES);
      for (let index = 0; index < TOKENS; index++) {
        if (response.destroyed) return;
        state.taken += 1;
        yield { type: "token", index, text, engine: "engine-1" };
        await new Promise((resolve) => setImmediate(resolve));
      }
    }
    const output = { response, requestId, model: "assist", readerStallMs };
    await sendStream(give(), { ...output, style: "text" });
    response.end();
    state.ended = true;
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  return { port, sent };
}

async function startSlowCaller(port: number): Promise<void> {
  slow = connect(port, "127.0.0.1").pause();
  await once(slow, "connect");
  slow.write("GET /slow HTTP/1.1\r\nhost: test\r\n\r\n");
}

/**
 * A tablet at the edge of the workshop's network opens an answer and reads
 * nothing of it. Tokens would pile up in the entry instance until its small
 * memory is full, and all other callers would lose their answers with it.
 */
test("a caller that does not read holds only its own answer back", async () => {
  const { port, sent } = await startAnswers();
  await startSlowCaller(port);
  const whole = await request(`http://127.0.0.1:${port}/quick`);
  let bytes = 0;
  for await (const chunk of whole.body) bytes += chunk.length;
  expect(bytes).toBeGreaterThan(TOKENS * TOKEN_BYTES);
  expect(sent.get("quick")?.ended).toBe(true);
  expect(sent.get("slow")?.ended).toBe(false);
  expect(sent.get("slow")?.taken).toBeLessThan(TOKENS);
  const held = sent.get("slow")?.response.writableLength;
  expect(held).toBeLessThan(HELD_AT_MOST);
}, 60_000);

/**
 * The same tablet goes out of reach for good while its answer waits for it.
 * The task must end, or each such caller leaves one behind.
 */
test("a slow caller that leaves ends its answer", async () => {
  const { port, sent } = await startAnswers();
  await startSlowCaller(port);
  await vi.waitUntil(() => sent.get("slow")?.response.writableNeedDrain, {
    timeout: 10_000,
  });
  slow?.destroy();
  await vi.waitUntil(() => sent.get("slow")?.ended, { timeout: 10_000 });
});
