import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { startWeightStore, type WeightLoad } from "@rosemarypin/stand_ins";
import { afterEach, describe, expect, it } from "vitest";
import { createHttpWeightStore } from "./weight_store.ts";

setFlagsFromString("--expose-gc");
const collectGarbage: () => void = runInNewContext("gc");

const HOST = "127.0.0.1";
const wanted = {
  engine: "engine-1",
  model: "assist",
  version: "v1",
  layers: { from: 0, to: 4 },
  megabytes: 1,
};
const servers: Server[] = [];
afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

function urlOf(server: Server): string {
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  return `http://${HOST}:${port}`;
}

function load(url: string) {
  const store = createHttpWeightStore({ url, megabytesPerSecond: 1_000 });
  return store.load(wanted, new AbortController().signal);
}

describe("weight store client", () => {
  it("loads from the stand-in and reports when it is down", async () => {
    const options = { host: HOST, port: 0, megabytesPerSecond: 1_000 };
    const server = await startWeightStore(options);
    servers.push(server);
    const url = urlOf(server);
    expect(await load(url)).toEqual({ kind: "loaded" });
    const body = JSON.stringify({ down: true });
    await fetch(`${url}/faults`, { method: "POST", body });
    expect((await load(url)).kind).toBe("unavailable");
    const journal = await fetch(`${url}/journal`);
    const loads = (await journal.json()) as WeightLoad[];
    expect(loads).toMatchObject([
      { engine: "engine-1", served: true },
      { engine: "engine-1", served: false },
    ]);
  });

  /** Only a client error is specific to the requested weights. */
  const rows: [string, (response: ServerResponse) => void, string][] = [
    ["404", (response) => response.writeHead(404).end(), "refused"],
    ["400", (response) => response.writeHead(400).end(), "refused"],
    ["429", (response) => response.writeHead(429).end(), "unavailable"],
    ["500", (response) => response.writeHead(500).end(), "unavailable"],
    ["reset", (response) => response.destroy(), "unavailable"],
  ];
  it.each(rows)("classifies the response: %s", async (_what, answer, kind) => {
    const server = createServer((_request, response) => answer(response));
    servers.push(server);
    server.listen(0, HOST);
    await once(server, "listening");
    expect((await load(urlOf(server))).kind).toBe(kind);
  });

  // Guards against a timeout that is collected as garbage before it fires, so
  // that an engine waits for its weights for ever.
  it("gives up a hanging load although garbage is collected meanwhile", async () => {
    const server = createServer(() => {});
    servers.push(server);
    server.listen(0, HOST);
    await once(server, "listening");
    const collecting = setInterval(collectGarbage, 100);
    expect((await load(urlOf(server))).kind).toBe("unavailable");
    clearInterval(collecting);
  });

  it("reports a refused connection as unavailable", async () => {
    expect((await load(`http://${HOST}:1`)).kind).toBe("unavailable");
  });
});
