import { once } from "node:events";
import type { Server } from "node:http";
import { connect } from "node:net";
import type { ServiceCallResult } from "@rosemarypin/calls";
import { settingsSchema } from "@rosemarypin/schemas";
import { createMetrics } from "@rosemarypin/telemetry";
import { afterEach, describe, expect, it, vi } from "vitest";
import { hashKey } from "./authentication.ts";
import {
  type CallerServerOptions,
  startCallerServer,
} from "./caller_server.ts";
import { createOwnLimits } from "./contract/fake_parts.ts";
import { createInstanceLevels } from "./instance_levels.ts";
import { createRequestMemory } from "./request_memory.ts";
import { createWorkInProgress } from "./work_in_progress.ts";

const KEY = "kano-test-key";
const HOST = "127.0.0.1";

const answer: ServiceCallResult = {
  kind: "answer",
  repeated: false,
  answer: {
    status: 201,
    contentType: "text/plain",
    body: Buffer.from("ok"),
    isDelimited: true,
  },
};

let server: Server | null = null;
afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function start(callService: CallerServerOptions["callService"]) {
  const work = createWorkInProgress();
  const settings = settingsSchema.parse({
    deployment: "test",
    region: "ng-south",
    instance: {
      id: "one",
      failureDomain: "a",
      addresses: {
        callers: { host: HOST, port: 1 },
        peers: { host: HOST, port: 2 },
        admin: { host: HOST, port: 3 },
      },
    },
    adminKeySha256: hashKey("operators-test-key"),
    platform: { objectApi: "http://127.0.0.1:4" },
    organisations: [{ name: "kano", keySha256: hashKey(KEY) }],
  });
  settings.instance.addresses.callers.port = 0;
  const started = await startCallerServer({
    settings,
    answers: {} as CallerServerOptions["answers"],
    callService,
    metrics: createMetrics(),
    levels: createInstanceLevels(settings),
    work,
    requests: createRequestMemory({ instance: "entry-1" }),
    limits: createOwnLimits(settings),
  });
  server = started.server;
  const address = server.address();
  const port = typeof address === "object" && address ? address.port : 0;
  return { port, work };
}

function orderHead(length: number): string {
  return [
    "POST /services/dealer-app/orders HTTP/1.1",
    "host: test",
    `authorization: Bearer ${KEY}`,
    "idempotency-key: order-1",
    `content-length: ${length}`,
    "\r\n",
  ].join("\r\n");
}

describe("a caller of a call that must not be repeated", () => {
  it("sends half a body and leaves: the call is not begun", async () => {
    const callService = vi.fn(async () => answer);
    const { port, work } = await start(callService);
    const socket = connect(port, HOST);
    await once(socket, "connect");
    socket.write(`${orderHead(10)}half`);
    await vi.waitUntil(() => work.count() === 1);
    socket.destroy();
    expect(await work.waitForEnd(5_000)).toBe(true);
    expect(callService).not.toHaveBeenCalled();
  });

  it("leaves while the call runs: the call goes on to its end", async () => {
    // The mechanic's tablet loses its network while the order is placed. The
    // order goes on and its answer is kept, for the same key to find.
    let end: (result: ServiceCallResult) => void = () => {};
    const callService = vi.fn(
      () =>
        new Promise<ServiceCallResult>((resolve) => {
          end = resolve;
        }),
    );
    const { port, work } = await start(callService);
    const socket = connect(port, HOST);
    await once(socket, "connect");
    socket.write(`${orderHead(4)}part`);
    await vi.waitUntil(() => callService.mock.calls.length === 1);
    socket.destroy();
    await once(socket, "close");
    expect(work.count()).toBe(1);
    end(answer);
    expect(await work.waitForEnd(5_000)).toBe(true);
  });

  it("is not told not_run when this instance fails meanwhile", async () => {
    // An unforeseen fault is thrown after the order was sent. The caller was
    // told not_run, asked again, and the order could have run twice.
    const { port } = await start(() => Promise.reject(new Error("unforeseen")));
    const url = `http://${HOST}:${port}/services/dealer-app/orders`;
    const headers = { authorization: `Bearer ${KEY}`, "idempotency-key": "k" };
    const response = await fetch(url, { method: "POST", headers });
    expect(await response.json()).toMatchObject({
      error: { outcome: "outcome_unknown", code: "internal_error" },
    });
  });
});
