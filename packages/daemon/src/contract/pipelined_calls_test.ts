import { type AddressInfo, connect } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import type { CallerServer } from "@rosemarypin/connections";
import { afterEach, describe, expect, it } from "vitest";
import { startCallerServer } from "../caller_server.ts";
import { closeGracefully, closeRest } from "../graceful_close.ts";
import { fakeCallerParts, fakeSettings, goodKey } from "./fake_parts.ts";

const WORK_MS = 100;

let callers: CallerServer;
let url: AddressInfo;
/** Keys of the orders that ran, in their order. */
let ran: string[];
let running: number;
let mostAtOnce: number;
let isDraining: boolean;
let parts: ReturnType<typeof fakeCallerParts>;

afterEach(() => {
  callers.closeAll();
  callers.server.close();
});

async function start(bodyBytes = 2): Promise<void> {
  ran = [];
  running = 0;
  mostAtOnce = 0;
  isDraining = false;
  parts = fakeCallerParts(fakeSettings());
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
  callers = await startCallerServer({
    ...parts,
    callService,
    isDraining: () => isDraining,
  });
  url = callers.server.address() as AddressInfo;
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
  { readsAfterMs = 0 } = {},
): Promise<{
  readonly answers: number;
  readonly bytes: number;
  /** Answers that announce the close of the connection. */
  readonly closes: number;
}> {
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
    });
    socket.once("close", () => {
      const closes = text.split(/connection: close/i).length - 1;
      resolve({ answers, bytes: text.length, closes });
    });
    socket.resume();
  });
}

describe("orders that are sent on one connection without waiting", () => {
  it("run one after the other, and each that runs is answered", async () => {
    await start();
    const { answers, closes } = await send(encodeOrders(12));
    expect({ answers, closes, ran: ran.length, mostAtOnce }).toEqual({
      answers: 5,
      closes: 1,
      ran: 5,
      mostAtOnce: 1,
    });
  });

  it("are all answered by a daemon that drains, and the last one announces the close", async () => {
    await start();
    isDraining = true;
    const { answers, closes } = await send(encodeOrders(3));
    expect({ answers, closes, ran: ran.length }).toEqual({
      answers: 3,
      closes: 1,
      ran: 3,
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
    const sent = send(encodeOrders(2), { readsAfterMs: 4_000 });
    await pause(3 * WORK_MS + 300);
    const closed = closeGracefully(callers);
    const { work } = parts;
    const rest = closeRest(callers, { closed, work, withinMs: 20_000 });
    const { answers, bytes } = await sent;
    expect(answers).toBe(2);
    expect(bytes).toBeGreaterThan(2 * size);
    expect(await rest).toBe(true);
  });
});
