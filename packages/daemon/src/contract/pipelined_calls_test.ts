import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { startCallerServer } from "../caller_server.ts";
import { closeGracefully } from "../graceful_close.ts";
import { fakeCallerParts, fakeSettings, goodKey } from "./fake_parts.ts";

const WORK_MS = 100;

let server: Server;
let url: AddressInfo;
/** Keys of the orders that ran, in their order. */
let ran: string[];
let running: number;
let mostAtOnce: number;

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

async function start(bodyBytes = 2): Promise<void> {
  ran = [];
  running = 0;
  mostAtOnce = 0;
  const parts = fakeCallerParts(fakeSettings());
  const callService: typeof parts.callService = async () => {
    ran.push(`order-${ran.length}`);
    running += 1;
    mostAtOnce = Math.max(mostAtOnce, running);
    await pause(WORK_MS);
    running -= 1;
    const result = await parts.callService();
    const body = Buffer.alloc(bodyBytes, " ");
    return { ...result, answer: { ...result.answer, body } };
  };
  server = await startCallerServer({ ...parts, callService });
  url = server.address() as AddressInfo;
}

function encodeOrder(key: string): string {
  const lines = [
    "POST /services/bookings/orders HTTP/1.1",
    "host: test",
    `authorization: Bearer ${goodKey}`,
    `idempotency-key: ${key}`,
    "content-length: 2",
  ];
  return `${lines.join("\r\n")}\r\n\r\n{}`;
}

function encodeOrders(count: number): string {
  return Array.from({ length: count }, (_, index) =>
    encodeOrder(`order-${index}`),
  ).join("");
}

/** Sends the bytes, and counts whole answers until the connection closes. */
async function send(
  bytes: string,
  { untilAnswers = Number.POSITIVE_INFINITY, readsAfterMs = 0 } = {},
): Promise<{ readonly answers: number; readonly bytes: number }> {
  const socket = connect(url.port, url.address);
  let text = "";
  let answers = 0;
  socket.on("error", () => {});
  if (readsAfterMs > 0) socket.pause();
  socket.write(bytes);
  await pause(readsAfterMs);
  return new Promise((resolve) => {
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("latin1");
      answers = text.split("HTTP/1.1 201").length - 1;
      if (answers >= untilAnswers) socket.end();
    });
    socket.once("close", () => resolve({ answers, bytes: text.length }));
    socket.resume();
  });
}

describe("orders that are sent on one connection without waiting", () => {
  it("are all answered, one after the other, however many there are", async () => {
    await start();
    const { answers } = await send(encodeOrders(12), { untilAnswers: 12 });
    expect({ answers, ran: ran.length, mostAtOnce }).toEqual({
      answers: 12,
      ran: 12,
      mostAtOnce: 1,
    });
  });

  it("are answered before bytes behind them that are no request", async () => {
    await start();
    const { answers } = await send(`${encodeOrders(2)}no request\r\n\r\n`);
    expect({ answers, ran: ran.length }).toEqual({ answers: 2, ran: 2 });
  });

  it("are answered whole to a slow reader while the server closes", async () => {
    const size = 8_000_000;
    await start(size);
    const sent = send(encodeOrders(2), { readsAfterMs: 1_500 });
    await pause(3 * WORK_MS + 300);
    const closed = closeGracefully(server);
    const { answers, bytes } = await sent;
    expect(answers).toBe(2);
    expect(bytes).toBeGreaterThan(2 * size);
    await closed;
  });
});
