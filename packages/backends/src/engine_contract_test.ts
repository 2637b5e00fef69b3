import { once } from "node:events";
import { createServer, type Server, type ServerResponse } from "node:http";
import type {
  Address,
  AttemptRequest,
  EngineEvent,
  EngineOrder,
} from "@rosemarypin/schemas";
import {
  type EngineStandInSettings,
  startEngine,
} from "@rosemarypin/stand_ins";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { createEngineClient } from "./engine_client.ts";

const HOST = "127.0.0.1";
const LAYERS = { from: 0, to: 4 };
const HELD_LAYERS = { model: "assist", version: "v1", layers: LAYERS };
const SPEED = {
  batchMs: 1,
  layerMicros: 0,
  promptFactor: 0.1,
  linkMs: 0,
  batchSize: 8,
};

const client = createEngineClient();
const servers: Server[] = [];
afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

async function freeAddress(): Promise<Address> {
  const server = createServer();
  const address = await listen(server);
  await new Promise((resolve) => server.close(resolve));
  return address;
}

async function listen(server: Server): Promise<Address> {
  server.listen(0, HOST);
  await once(server, "listening");
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  return { host: HOST, port };
}

async function startStandIn(checksFencing: boolean): Promise<Address> {
  const address = await freeAddress();
  const settings: EngineStandInSettings = {
    kind: "engine",
    id: "engine-1",
    failureDomain: "a",
    accelerator: "fast",
    address,
    checksFencing,
    roles: [{ model: "assist", layers: LAYERS }],
    speed: SPEED,
  };
  servers.push(await startEngine(settings));
  return address;
}

/** Starts a server that responds with whatever `answer` writes. */
async function startFaulty(
  answer: (response: ServerResponse) => void,
): Promise<Address> {
  const server = createServer((request, response) => {
    request.resume();
    answer(response);
  });
  servers.push(server);
  return listen(server);
}

function attemptAt(
  address: Address,
  change: Partial<AttemptRequest> = {},
): AttemptRequest {
  return {
    requestId: "answer-1",
    organisation: "kano",
    attempt: 2,
    model: "assist",
    version: "v1",
    noteNumber: 1,
    stages: [{ engine: "engine-1", address, layers: LAYERS }],
    promptTokens: ["a", "b"],
    deliveredTokens: [],
    maxTokens: 3,
    priority: "standard",
    ...change,
  };
}

function orderOf(fencingNumber: number): EngineOrder {
  return { fencingNumber, noteNumber: 1, hold: [HELD_LAYERS], adapters: [] };
}

/** Starts an attempt; returns its events and whether the stream broke. */
async function start(
  address: Address,
  change: Partial<AttemptRequest> = {},
): Promise<{ kind: string; events: EngineEvent["type"][]; broke: boolean }> {
  const { signal } = new AbortController();
  const attempt = attemptAt(address, change);
  const result = await client.start(address, attempt, { signal });
  const events: EngineEvent["type"][] = [];
  if (result.kind !== "started") {
    return { kind: result.kind, events, broke: false };
  }
  try {
    for await (const event of result.events) events.push(event.type);
    return { kind: "started", events, broke: false };
  } catch {
    return { kind: "started", events, broke: true };
  }
}

describe("engine client with an engine", () => {
  let address: Address;
  beforeEach(async () => {
    address = await startStandIn(true);
    expect(await client.order(address, orderOf(5))).toMatchObject({
      kind: "ok",
      state: { held: [HELD_LAYERS], fencingNumber: 5 },
    });
  });

  it("streams an answer to its end", async () => {
    const { events } = await start(address);
    expect(events).toEqual(["started", "token", "token", "token", "done"]);
  });

  const refusals: [string, Partial<AttemptRequest>, string][] = [
    [
      "an attempt with a version that is not held",
      { version: "v2" },
      "refused",
    ],
    ["an invalid attempt", { maxTokens: -1 }, "broken"],
  ];
  it.each(refusals)("does not start %s", async (_what, change, kind) => {
    expect(await start(address, change)).toMatchObject({ kind, events: [] });
  });

  it("reports an older attempt as refused and taken over by a later one", async () => {
    await start(address);
    const { signal } = new AbortController();
    const older = attemptAt(address, { attempt: 1 });
    const result = await client.start(address, older, { signal });
    expect(result).toMatchObject({ kind: "refused", takenOver: true });
  });

  it("reports an attempt at a leaving engine as refused", async () => {
    const url = `http://${address.host}:${address.port}/leave`;
    await fetch(url, { method: "POST" });
    expect(await start(address)).toMatchObject({ kind: "refused" });
    const state = await client.readState(address);
    expect(state?.leaving).toBe(true);
  });
});

/**
 * Engines of some deployments ignore the fencing number, so no guarantee may
 * depend on it alone.
 */
it.each([
  ["checks fencing numbers", true, "fenced", 5],
  ["ignores fencing numbers", false, "ok", 4],
] as const)(
  "engine client, order with an old fencing number to an engine that %s",
  async (_what, checksFencing, kind, number) => {
    const address = await startStandIn(checksFencing);
    await client.order(address, orderOf(5));
    expect((await client.order(address, orderOf(4))).kind).toBe(kind);
    const state = await client.readState(address);
    expect(state?.fencingNumber).toBe(number);
  },
);

const STARTED = '{"type":"started","attempt":2}\n';
const TOKEN =
  '{"type":"token","attempt":2,"index":0,"text":"a","digest":"d"}\n';

/**
 * A stream that breaks must not look like one that ended, or the caller would
 * get half an answer as a complete one. No part of an unreadable line is passed
 * on, since it might be half a token.
 */
describe("engine client, stream of events", () => {
  it.each([
    ["breaks at a reset", [STARTED, TOKEN], true, ["started", "token"]],
    [
      "breaks at a line that is not JSON",
      [STARTED, "no json\n"],
      true,
      ["started"],
    ],
    [
      "breaks at an unknown event",
      [STARTED, '{"type":"hum"}\n'],
      true,
      ["started"],
    ],
    [
      "breaks at a token without an index",
      [TOKEN.replace('"index":0,', "")],
      true,
      [],
    ],
    [
      "joins a line that arrives in pieces",
      [STARTED.slice(0, 9), STARTED.slice(9)],
      false,
      null,
    ],
  ] as const)("%s", async (what, chunks, broke, events) => {
    const address = await startFaulty((response) => {
      response.writeHead(200);
      for (const chunk of chunks) response.write(chunk);
      if (what === "breaks at a reset")
        setTimeout(() => response.destroy(), 50);
      else response.end();
    });
    const result = await start(address);
    expect(result.broke).toBe(broke);
    expect(result.events).toEqual(events ?? ["started"]);
  });
});

/** An unexpected response is never taken for a state, nor for a success. */
describe("engine client with an unexpected response", () => {
  const rows: [string, (response: ServerResponse) => void, string][] = [
    ["409", (response) => response.writeHead(409).end("{}"), "fenced"],
    ["500", (response) => response.writeHead(500).end("{}"), "broken"],
    ["garbage", (response) => response.end("no json"), "broken"],
    ["another schema", (response) => response.end('{"held":1}'), "broken"],
    ["reset", (response) => response.destroy(), "broken"],
    ["silence", () => {}, "broken"],
  ];
  it.each(rows)(
    "reports a failed order and reads no state for %s",
    async (_what, answer, kind) => {
      const address = await startFaulty(answer);
      expect((await client.order(address, orderOf(1))).kind).toBe(kind);
      expect(await client.readState(address, { timeoutMs: 200 })).toBeNull();
      const parked = await client.readAnswer(address, "answer-1");
      expect(parked.kind).not.toBe("found");
    },
  );

  it("reports an order as not sent when no process listens", async () => {
    const address = await freeAddress();
    const result = await client.order(address, orderOf(1));
    expect(result).toMatchObject({ kind: "not_sent", refused: true });
  });
});
