import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { afterBodyPart } from "@rosemarypin/fakes";
import type { AttemptRequest } from "@rosemarypin/schemas";
import { afterEach, describe, expect, test } from "vitest";
import { createEngineClient } from "./engine_client.ts";

let server: Server | undefined;
afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

const attempt: AttemptRequest = {
  requestId: "answer-1",
  organisation: "kano",
  attempt: 1,
  model: "assist",
  version: "v1",
  noteNumber: 1,
  stages: [],
  promptTokens: ["a"],
  deliveredTokens: [],
  maxTokens: 1,
  priority: "standard",
};

/**
 * Only an engine's explicit refusal, or a failure to connect, proves that
 * nothing ran. Any other failure read as a refusal would become a false
 * `not_run`.
 */
describe("engine client, result of starting an attempt", () => {
  const rows: [string, number, string, string][] = [
    ["refused for the engine's refusal", 409, '{"error":"leaving"}', "refused"],
    ["broken for an error after a possible start", 500, "{}", "broken"],
    ["broken for a proxy's refusal", 503, "", "broken"],
    ["started for a started attempt", 200, "", "started"],
  ];
  test.each(rows)("%s", async (_name, status, body, kind) => {
    server = createServer((_request, response) => {
      response.writeHead(status);
      response.end(body);
    });
    const address = await listen(server);
    const { signal } = new AbortController();
    const start = await createEngineClient().start(address, attempt, {
      signal,
    });
    expect(start.kind).toBe(kind);
  });

  // Read as a plain refusal, it hides that a later attempt runs the answer.
  test.each([
    ["closed", (socket: Socket) => socket.end()],
    ["reset", (socket: Socket) => socket.resetAndDestroy()],
  ])("broken for a part of a refusal that was %s", async (_name, finish) => {
    server = createServer(({ socket }) => {
      afterBodyPart(() => finish(socket));
      socket.write('HTTP/1.1 409 Conflict\r\n\r\n{"error":"a later');
    });
    const address = await listen(server);
    const { signal } = new AbortController();
    const start = await createEngineClient().start(address, attempt, {
      signal,
    });
    expect(start.kind).toBe("broken");
  });

  test("broken for a reset before the response", async () => {
    server = createServer((request) => request.socket.destroy());
    const address = await listen(server);
    const { signal } = new AbortController();
    const start = await createEngineClient().start(address, attempt, {
      signal,
    });
    expect(start.kind).toBe("broken");
  });

  test("not sent for a refused connection", async () => {
    const closed = createServer();
    const address = await listen(closed);
    await new Promise((resolve) => closed.close(resolve));
    const { signal } = new AbortController();
    const start = await createEngineClient().start(address, attempt, {
      signal,
    });
    expect(start.kind).toBe("not_sent");
  });
});

async function listen(target: Server) {
  await new Promise<void>((resolve) => target.listen(0, "127.0.0.1", resolve));
  const { port } = target.address() as AddressInfo;
  return { host: "127.0.0.1", port };
}
