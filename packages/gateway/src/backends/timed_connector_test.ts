import { once } from "node:events";
import { type AddressInfo, createServer } from "node:net";
import { expect, it } from "vitest";
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
