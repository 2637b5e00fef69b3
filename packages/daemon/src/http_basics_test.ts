import { once } from "node:events";
import { createServer, type IncomingMessage } from "node:http";
import { connect, type Socket } from "node:net";
import { expect, test } from "vitest";
import { type BodyResult, readBody } from "./http_basics.ts";

const LIMIT = 8;
const CHUNKED = "transfer-encoding: chunked";

/**
 * A body that never ends fills an instance's memory: it is killed and cuts
 * all its answers. Its length need not be told, so what comes is counted.
 */
test.each([
  ["a body at the limit", "content-length: 8", "12345678", "body"],
  ["a length above the limit", "content-length: 9", "", "too_large"],
  [
    "a body that grows past the limit",
    CHUNKED,
    "9\r\n123456789\r\n",
    "too_large",
  ],
  ["a body that breaks off", "content-length: 8", "half", "aborted"],
])("%s", async (_story, header, body, kind) => {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  const asked = once(server, "request") as Promise<[IncomingMessage]>;
  const socket = connect(port, "127.0.0.1");
  socket.write(`POST / HTTP/1.1\r\nhost: a\r\n${header}\r\n\r\n${body}`);
  const [request] = await asked;
  const reading = readBody(request, LIMIT);
  const result = await endOf(reading, socket);
  expect(result.kind).toBe(kind);
  socket.destroy();
  server.close();
});

/** The caller leaves once all it sent has been read. */
async function endOf(
  reading: Promise<BodyResult>,
  socket: Socket,
): Promise<BodyResult> {
  const sent = new Promise((resolve) => setTimeout(resolve, 100));
  await Promise.race([reading, sent]);
  socket.destroy();
  return reading;
}
