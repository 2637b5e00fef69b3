import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { createEmit } from "./event_stream.ts";

const TEXT = "x".repeat(64 * 1_024);
/** Far more than the kernel holds of one connection. */
const TOKENS = 4_096;
const STALLED_MS = 300;

let server: Server | undefined;
let reader: Socket | undefined;
afterEach(() => {
  reader?.destroy();
  server?.closeAllConnections();
  server?.close();
});

/** An entry instance that opens a stream and reads nothing of it. */
async function openUnread(): Promise<ServerResponse> {
  server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  reader = connect(port, "127.0.0.1").pause();
  reader.write("GET / HTTP/1.1\r\nhost: test\r\n\r\n");
  const [, response] = await once(server, "request");
  return response as ServerResponse;
}

/** Resolves when there was no room for a while: the kernel holds no more. */
async function isStalled(room: Promise<void>): Promise<boolean> {
  const pause = new Promise<true>((resolve) => {
    setTimeout(() => resolve(true), STALLED_MS);
  });
  return Promise.race([room.then(() => false), pause]);
}

/**
 * An entry instance stops reading, since its caller does. The engine would
 * compute the whole answer into its own memory; it is told to wait for room
 * instead, until the reader leaves.
 */
test("a reader that does not read holds its sequence back", async () => {
  const response = await openUnread();
  const emit = createEmit(response);
  let waiting: Promise<void> | null = null;
  for (let index = 0; index < TOKENS && !waiting; index++) {
    const token = { index, text: TEXT, digest: "", attempt: 1 };
    const room = emit({ type: "token", ...token });
    if (room && (await isStalled(room))) waiting = room;
  }
  expect(waiting).not.toBeNull();
  expect(response.writableLength).toBeLessThan(4 * TEXT.length);
  reader?.destroy();
  await expect(waiting).resolves.toBeUndefined();
});
