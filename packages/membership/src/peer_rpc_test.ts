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
