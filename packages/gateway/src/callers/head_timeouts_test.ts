import { once } from "node:events";
import { createServer, type Server } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, beforeEach, expect, it } from "vitest";
import { startHeadTimeouts } from "./head_timeouts.ts";

const BODY_MS = 500;
const BODY = "0123456789";
const HEAD = `POST / HTTP/1.1\r\nHost: test\r\nContent-Length: ${BODY.length}\r\n\r\n`;

let server: Server;
let socket: Socket;
let text: string;

beforeEach(async () => {
  text = "";
  // The check of the listener is the only one, as in the gateway.
  const options = { headersTimeout: 0, requestTimeout: 0 };
  server = createServer(options, (request, response) => {
    request.resume();
    response.writeHead(404, { "Content-Length": 0 }).end();
  });
  startHeadTimeouts(server, { headMs: () => 10_000, bodyMs: BODY_MS });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port, address } = server.address() as AddressInfo;
  socket = connect(port, address);
  socket.on("error", () => {});
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
  });
  await once(socket, "connect");
});

afterEach(() => {
  socket.destroy();
  server.closeAllConnections();
  server.close();
});

function countAnswers(): number {
  return text.split("HTTP/1.1 404").length - 1;
}

it("closes a connection on which the rest of a refused body doesn't come", async () => {
  socket.write(HEAD + BODY.slice(0, 1));
  await expect.poll(countAnswers).toBe(1);
  // Any byte ends the idle timeout.
  socket.write(BODY.slice(1, 2));
  const closed = once(socket, "close").then(() => "closed");
  expect(await Promise.race([closed, pause(4 * BODY_MS)])).toBe("closed");
});

it("leaves one whose rest comes in time, and takes its next requests", async () => {
  socket.write(HEAD + BODY.slice(0, 1));
  await expect.poll(countAnswers).toBe(1);
  socket.write(BODY.slice(1));
  await pause(3 * BODY_MS);
  socket.write(HEAD + BODY);
  await expect.poll(countAnswers).toBe(2);
  await pause(3 * BODY_MS);
  expect(socket.readyState).toBe("open");
});
