import { once } from "node:events";
import type { IncomingMessage } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, expect, it } from "vitest";
import { type CallerServer, createCallerServer } from "./caller_server.ts";

const SETTLE_MS = 200;

let callers: CallerServer;
let socket: Socket;
let requests: IncomingMessage[];

afterEach(() => {
  socket.destroy();
  callers.closeAll();
  callers.server.close();
});

/** Starts a server that answers no request, and sends it bytes. */
async function send(bytes: string): Promise<void> {
  const received: IncomingMessage[] = [];
  requests = received;
  callers = createCallerServer({
    http: {},
    handle() {},
    mayKeepOpen: () => true,
    requestIdOf: () => "",
    refuseUnparsed: () => "",
    onClosed() {},
  });
  callers.server.on("request", (request) => received.push(request));
  callers.server.listen(0, "127.0.0.1");
  await once(callers.server, "listening");
  const { port } = callers.server.address() as AddressInfo;
  socket = connect(port, "127.0.0.1");
  socket.write(bytes);
  await expect.poll(() => requests.length).toBeGreaterThan(0);
  await pause(SETTLE_MS);
}

// Guards against requests that each take memory while they wait.
it("parses few requests ahead of one in progress", async () => {
  await send("GET / HTTP/1.1\r\nHost: x\r\n\r\n".repeat(20_000));
  expect(requests.length).toBeLessThan(32);
});

// Guards against a body whose chunks each cost an object until it is read.
it("parses few chunks of a body that nobody consumes", async () => {
  const head =
    "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  await send(head + "1\r\nx\r\n".repeat(20_000));
  expect(requests[0]?.readableLength).toBeLessThan(2_000);
});

// Guards against a body that stays unread behind its first part.
it("goes on with a body once it is consumed", async () => {
  const body = "x".repeat(1_000_000);
  await send(
    `POST / HTTP/1.1\r\nHost: x\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
  );
  const [request] = requests;
  let bytes = 0;
  request?.on("data", (part: Buffer) => {
    bytes += part.length;
  });
  await expect.poll(() => request?.complete).toBe(true);
  await expect.poll(() => bytes).toBe(body.length);
});
