import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, describe, expect, it } from "vitest";
import { createServiceClient, type ServiceResult } from "./service_client.ts";

const TIMEOUT_MS = 20_000;

let server: Server | undefined;
afterEach(() => {
  server?.close();
});

const request = {
  method: "GET",
  path: "/stock",
  headers: {},
  body: Buffer.alloc(0),
};

/** Sends a call to a server that answers it with raw bytes. */
async function callServer(
  answer: (socket: Socket) => void,
  options: { readonly freshConnection: boolean },
): Promise<ServiceResult> {
  const listening = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server = listening;
  listening.listen(0, "127.0.0.1");
  await once(listening, "listening");
  const { port } = listening.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const settings = { timeoutMs: TIMEOUT_MS, ...options };
  return createServiceClient().send(address, request, settings);
}

const connections = [
  ["a pooled connection", { freshConnection: false }],
  ["a new connection", { freshConnection: true }],
] as const;

describe("service client, answer without a length and without chunks", () => {
  // The HTTP client takes a reset for the regular end of such an answer.
  it.each(connections)(
    "is no answer if it is reset: %s",
    async (_, options) => {
      const result = await callServer((socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\n{"part', () =>
          setTimeout(() => socket.resetAndDestroy(), 20),
        );
      }, options);
      expect(result.kind).toBe("broken");
    },
  );
});
