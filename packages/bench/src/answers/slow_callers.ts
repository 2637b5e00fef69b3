/** What callers that do not read cost, and what they cost the others. */
import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { type AnswerEvent, runAnswer } from "@rosemarypin/calls";
import { sendStream } from "@rosemarypin/daemon";
import { request } from "undici";
import {
  type EngineProcessOptions,
  startEngineProcess,
} from "./engine_process.ts";
import {
  describeRequest,
  type Entry,
  MODEL,
  sleep,
  startEntry,
} from "./entry.ts";
import { heapMegabytes } from "./heap.ts";

const HOST = "127.0.0.1";
const SLOW_CALLERS = 40;
const READERS = 20;
const TOKENS = 4_096;
const BATCH_MS = 8;
const LAYERS = 1;
const MEASURE_MS = 3_000;
/** Makes events large, so that the kernel's buffers fill in seconds. */
const LONG_ID = "i".repeat(8_192);
/** Longer than the measurement. */
const READER_STALL_MS = 300_000;
const STALL_CHECK_MS = 1_000;
const STALL_CHECKS = 20;

interface SlowStream {
  readonly response: ServerResponse;
  taken: number;
}

/** Prints bytes held for each slow caller and the others' tokens a second. */
export async function measureSlowCallers(
  options: Pick<EngineProcessOptions, "folder" | "processes">,
): Promise<void> {
  const speed = { layers: LAYERS, batchMs: BATCH_MS };
  const engine = await startEngineProcess("engine-2", { ...options, ...speed });
  const entry = await startEntry({ engines: [engine], layers: LAYERS });
  const slow: SlowStream[] = [];
  const { server, port } = await startServer(entry, slow);
  const left = new AbortController();
  const count = { bytes: 0 };
  const readers = Array.from({ length: READERS }, (_, index) =>
    readAll(`http://${HOST}:${port}/quick-${index}`, {
      signal: left.signal,
      count,
    }),
  );
  await sleep(MEASURE_MS);
  const alone = await measureRate(count);
  const before = heapMegabytes();
  const sockets = Array.from({ length: SLOW_CALLERS }, (_, index) =>
    openUnread(port, `/slow-${index}`),
  );
  const stalled = await waitForStall(slow);
  const beside = await measureRate(count);
  const heldKilobytes = ((heapMegabytes() - before) * 1_024) / SLOW_CALLERS;
  const waiting = slow.map(({ response }) => response.writableLength);
  console.log(
    `slow_callers=${SLOW_CALLERS} stalled=${stalled} ` +
      `kb_held_per_caller=${heldKilobytes.toFixed(1)} ` +
      `most_kb_waiting=${(Math.max(...waiting) / 1_024).toFixed(1)} ` +
      `event_kb=${((2 * LONG_ID.length) / 1_024).toFixed(0)} ` +
      `readers=${READERS} kb_per_second_alone=${alone.toFixed(0)} ` +
      `kb_per_second_beside=${beside.toFixed(0)}`,
  );
  left.abort();
  for (const socket of sockets) socket.destroy();
  await Promise.all(readers);
  server.closeAllConnections();
  server.close();
  entry.stop();
}

async function startServer(
  entry: Entry,
  slow: SlowStream[],
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer(async ({ url = "/" }, response) => {
    const isSlow = url.startsWith("/slow");
    const stream: SlowStream = { response, taken: 0 };
    if (isSlow) slow.push(stream);
    const left = new AbortController();
    response.once("close", () => left.abort());
    const name = url.slice(1);
    const tokens = giveTokens(name, { entry, stream, signal: left.signal });
    const requestId = isSlow ? LONG_ID : name;
    await sendStream(tokens, {
      response,
      requestId,
      model: MODEL,
      style: "text",
      readerStallMs: READER_STALL_MS,
    });
    response.end();
  });
  server.listen(0, HOST);
  await once(server, "listening");
  return { server, port: (server.address() as AddressInfo).port };
}

/** Tokens of one answer after the other: a stop token must not end them. */
async function* giveTokens(
  name: string,
  options: {
    readonly entry: Entry;
    readonly stream: SlowStream;
    readonly signal: AbortSignal;
  },
): AsyncGenerator<AnswerEvent> {
  const { entry, stream, signal } = options;
  const size = { words: 4, tokens: TOKENS };
  for (let round = 0; !signal.aborted; round++) {
    const request = describeRequest(`${name}-${round}`, size);
    for await (const event of runAnswer(request, {
      ...entry.answers,
      signal,
    })) {
      if (event.type !== "token") continue;
      stream.taken += 1;
      yield event;
    }
  }
}

async function readAll(
  url: string,
  options: { readonly signal: AbortSignal; readonly count: { bytes: number } },
): Promise<void> {
  try {
    const { body } = await request(url, { signal: options.signal });
    for await (const chunk of body) options.count.bytes += chunk.length;
  } catch {
    // The measurement is over.
  }
}

/** A caller that asks and never reads; the kernel alone takes bytes for it. */
function openUnread(port: number, path: string): Socket {
  const socket = connect(port, HOST).pause();
  socket.write(`GET ${path} HTTP/1.1\r\nhost: bench\r\n\r\n`);
  return socket;
}

/** Kilobytes a second that the readers get. */
async function measureRate(count: { bytes: number }): Promise<number> {
  const startedAt = performance.now();
  const { bytes } = count;
  await sleep(MEASURE_MS);
  const seconds = (performance.now() - startedAt) / 1_000;
  return (count.bytes - bytes) / 1_024 / seconds;
}

/** Resolves to how many slow streams stand still, all of them if in time. */
async function waitForStall(slow: readonly SlowStream[]): Promise<number> {
  let stalled = 0;
  for (let check = 0; check < STALL_CHECKS; check++) {
    const before = slow.map(({ taken }) => taken);
    await sleep(STALL_CHECK_MS);
    stalled = slow.filter(
      ({ taken, response }, index) =>
        response.writableNeedDrain && taken === before[index],
    ).length;
    if (stalled === SLOW_CALLERS) break;
  }
  return stalled;
}
