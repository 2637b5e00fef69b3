import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { expect, it } from "vitest";
import {
  createPeerCaller,
  shareEncoding,
  startPeerServer,
} from "./peer_rpc.ts";

// Guards against a relay that encodes the same change for each of its 40
// followers.
it("encodes a shared result once, and others for each call", async () => {
  let encodings = 0;
  const result = {
    toJSON() {
      encodings += 1;
      return { text: 'a "quoted" word, and é' };
    },
  };
  const shared = shareEncoding({ ...result });
  const server = await startPeerServer(
    { host: "127.0.0.1", port: 0 },
    { shared: () => shared, own: () => ({ ...result }), none: () => null },
  );
  const { port } = server.address() as AddressInfo;
  const caller = createPeerCaller("127.0.0.1");
  const call = (method: string) =>
    caller.call({ host: "127.0.0.1", port }, method);
  const ok = { kind: "ok", value: { text: 'a "quoted" word, and é' } };
  for (const answer of await Promise.all(Array(40).fill("shared").map(call)))
    expect(answer).toEqual(ok);
  expect(encodings).toBe(1);
  for (const answer of await Promise.all(Array(3).fill("own").map(call)))
    expect(answer).toEqual(ok);
  expect(encodings).toBe(4);
  expect(await call("none")).toEqual({ kind: "ok", value: null });
  expect(await call("unknown")).toMatchObject({ kind: "rejected" });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

// Guards against a peer whose result fills the memory of its callers.
it("fails a call whose result has no end, and closes its connection", async () => {
  let openResults = 0;
  const server = createServer((_request, response) => {
    openResults += 1;
    response.once("close", () => {
      openResults -= 1;
    });
    const bytes = Buffer.alloc(64 * 1024, "x");
    function sendNext(): void {
      if (response.destroyed) return;
      if (response.write(bytes)) setImmediate(sendNext);
      else response.once("drain", sendNext);
    }
    sendNext();
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const startedAt = performance.now();
  const result = await createPeerCaller("127.0.0.1").call(
    { host: "127.0.0.1", port },
    "any",
    { timeoutMs: 20_000 },
  );
  expect(result.kind).not.toBe("ok");
  expect(performance.now() - startedAt).toBeLessThan(10_000);
  await expect.poll(() => openResults).toBe(0);
  server.close();
});
