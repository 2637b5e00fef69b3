import { once } from "node:events";
import { createServer as createHttpServer } from "node:http";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";
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

/** A way to a port on which open connections can go silent. */
async function openSilenceableLink(target: number) {
  const sockets: Socket[] = [];
  const server = createServer((near) => {
    const far = connect(target, "127.0.0.1");
    for (const socket of [near, far]) {
      sockets.push(socket);
      // A failed socket also closes.
      socket.on("error", () => {});
    }
    near.on("data", (bytes) => far.write(bytes));
    far.on("data", (bytes) => near.write(bytes));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return {
    port: (server.address() as AddressInfo).port,
    countOpened: () => sockets.length / 2,
    silence() {
      for (const socket of sockets) socket.pause();
    },
    stop() {
      for (const socket of sockets) socket.destroy();
      server.close();
    },
  };
}

// Guards against a peer that seems lost as often as it has idle connections,
// although new ones work.
it("uses a new connection after a timeout on a silent one", async () => {
  const server = await startPeerServer(
    { host: "127.0.0.1", port: 0 },
    { wait: () => new Promise((resolve) => setTimeout(resolve, 50, "done")) },
  );
  const link = await openSilenceableLink(
    (server.address() as AddressInfo).port,
  );
  const caller = createPeerCaller("127.0.0.1");
  const address = { host: "127.0.0.1", port: link.port };
  const call = () => caller.call(address, "wait", { timeoutMs: 250 });
  await Promise.all([call(), call(), call()]);
  expect(link.countOpened()).toBe(3);
  // The connections become idle a moment later than the calls end.
  await new Promise((resolve) => setTimeout(resolve, 50));
  link.silence();
  expect(await call()).toMatchObject({ kind: "unreachable" });
  expect(await call()).toEqual({ kind: "ok", value: "done" });
  link.stop();
  expect(await call()).toEqual({ kind: "refused" });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

// Guards against a loop that waits for good, since another process answers at
// the address of a peer.
it.each([
  "{}",
  "null",
  "[]",
  "5",
  '{"jsonrpc":"2.0","id":99,"result":1}',
  '{"jsonrpc":"2.0","id":1}',
  '{"id":1,"error":null}',
  "not JSON",
])("a call that is answered with %s ends in time", async (text) => {
  const server = createHttpServer((request, response) => {
    request.resume();
    response.end(text);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const options = { timeoutMs: 500 };
  const result = createPeerCaller("127.0.0.1").call(address, "m", options);
  const hangs = new Promise((resolve) => setTimeout(resolve, 2_000, "hangs"));
  expect(await Promise.race([result, hangs])).not.toBe("hangs");
  server.closeAllConnections();
  server.close();
});

// Guards against a result that can't be encoded and leaves its caller waiting,
// with a rejection that ends the process.
it("a result that can't be encoded is answered with an error", async () => {
  const circular: Record<string, unknown> = {};
  circular.self = circular;
  const address = { host: "127.0.0.1", port: 0 };
  const server = await startPeerServer(address, { circular: () => circular });
  const { port } = server.address() as AddressInfo;
  const result = await createPeerCaller("127.0.0.1").call(
    { host: "127.0.0.1", port },
    "circular",
    { timeoutMs: 500 },
  );
  expect(result).toEqual({
    kind: "rejected",
    detail: "no answer to the call",
  });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
});

// Guards against a peer that is taken for one that has answered with an error,
// so that it isn't called again.
it("a call that gets no answer says why", async () => {
  const server = createHttpServer(() => {});
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const caller = createPeerCaller("127.0.0.1");
  const call = () => caller.call(address, "m", { timeoutMs: 100 });
  expect(await call()).toMatchObject({ kind: "unreachable" });
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  expect(await call()).toEqual({ kind: "refused" });
});

// Guards against a peer whose result fills the memory of its callers.
it("fails a call whose result has no end, and closes its connection", async () => {
  let openResults = 0;
  const server = createHttpServer((_request, response) => {
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
