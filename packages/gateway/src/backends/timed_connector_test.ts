import { once } from "node:events";
import { type AddressInfo, createServer, type Socket } from "node:net";
import { expect, it } from "vitest";
import { createBackendExchange } from "./backend_exchange.ts";
import { createTimedConnector } from "./timed_connector.ts";

const TIMEOUT_MS = 50;

// Guards against servers and instances that count as unreachable because this
// process was blocked while it connected to them.
it("connects when the process was blocked for longer than the timeout", async () => {
  const server = createServer((socket) => socket.destroy());
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const connect = createTimedConnector(TIMEOUT_MS);
  const connected = new Promise<Error | null>((resolve) =>
    connect(
      { hostname: "127.0.0.1", port: String(port), protocol: "http:" },
      (...[error]) => resolve(error),
    ),
  );
  const blockedUntil = performance.now() + 4 * TIMEOUT_MS;
  while (performance.now() < blockedUntil);
  expect(await connected).toBeNull();
  server.close();
});

// Guards against a part of an answer that looks whole because its connection is
// reset together with its last bytes.
it.each([
  ["an end", "part", (socket: Socket) => socket.end()],
  ["a reset", "error", (socket: Socket) => socket.resetAndDestroy()],
])("tells %s right behind the last bytes", async (_name, expected, close) => {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    const answer = "HTTP/1.1 200 OK\r\n\r\npart";
    socket.once("data", () => socket.write(answer, () => close(socket)));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const { signal } = new AbortController();
  const answer = await createBackendExchange().send(
    { address: `127.0.0.1:${port}` },
    { method: "GET", path: "/", headers: [], body: null },
    { signal, freshConnection: false },
  );
  if (answer.kind !== "answer") throw new Error(answer.detail);
  const read = readText(answer.body).catch(() => "error");
  expect(await read).toBe(expected);
  server.close();
});

async function readText(body: AsyncIterable<Buffer>): Promise<string> {
  let text = "";
  for await (const chunk of body) text += chunk.toString();
  return text;
}
