import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type { InstanceList } from "@rosemarypin/schemas";
import { startInstanceList, startWeightStore } from "@rosemarypin/stand_ins";
import { afterEach, describe, expect, it, vi } from "vitest";
import { readInstanceList } from "./instance_list.ts";

const HOST = "127.0.0.1";
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

async function startRawServer(
  answer: (response: ServerResponse) => void,
): Promise<string> {
  const server = createServer((_request, response) => answer(response));
  servers.push(server);
  server.listen(0, HOST);
  await once(server, "listening");
  return urlOf(server);
}

const leaving: InstanceList["instances"][number] = {
  id: "engine-1",
  kind: "engine",
  name: "assist",
  failureDomain: "a",
  host: HOST,
  port: 1,
  state: "leaving",
};

describe("readInstanceList", () => {
  it("returns a change after the lag of the list", async () => {
    const initial: InstanceList = { instances: [] };
    const options = { host: HOST, port: 0, lagMs: 100, initial };
    const server = await startInstanceList(options);
    servers.push(server);
    const url = `${urlOf(server)}/instances`;
    const next: InstanceList = { instances: [leaving] };
    expect(await readInstanceList(url)).toEqual(initial);
    await fetch(url, { method: "PUT", body: JSON.stringify(next) });
    await vi.waitUntil(
      async () => (await readInstanceList(url))?.instances.length === 1,
      { timeout: 10_000 },
    );
    expect(await readInstanceList(url)).toEqual(next);
  });

  /** A failed read must not be taken for an empty list. */
  const rows: [string, (response: ServerResponse) => void][] = [
    ["500", (response) => response.writeHead(500).end('{"error":"down"}')],
    ["invalid JSON", (response) => response.end("no json")],
    [
      "a body that violates the schema",
      (response) => response.end('{"instances":"all"}'),
    ],
    ["a truncated response", (response) => sendTruncatedResponse(response)],
    ["reset", (response) => response.destroy()],
  ];
  it.each(rows)("returns null after %s", async (_what, answer) => {
    expect(await readInstanceList(await startRawServer(answer))).toBeNull();
  });
});

function sendTruncatedResponse(response: ServerResponse): void {
  response.writeHead(200, { "content-length": 1_000 });
  response.write('{"instances":[]');
  setTimeout(() => response.destroy(), 50);
}

describe("weight store stand-in", () => {
  it("serves loads in sequence at its rate", async () => {
    const options = { host: HOST, port: 0, megabytesPerSecond: 1_000 };
    const server = await startWeightStore(options);
    servers.push(server);
    const ended: string[] = [];
    const load = async (name: string, megabytes: number) => {
      const body = JSON.stringify({ megabytes });
      const response = await fetch(urlOf(server), { method: "POST", body });
      expect(await response.json()).toEqual({ megabytes });
      ended.push(name);
    };
    const hasArrived = once(server, "request");
    const first = load("large", 300);
    await hasArrived;
    await Promise.all([first, load("small", 1)]);
    expect(ended).toEqual(["large", "small"]);
  });
});
