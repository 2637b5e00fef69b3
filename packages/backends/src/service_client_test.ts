import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import {
  afterBodyPart,
  type CutAnswer,
  describeCut,
  startCuttingServer,
} from "@rosemarypin/fakes";
import fc from "fast-check";
import { afterEach, describe, expect, it } from "vitest";
import { createServiceClient, type ServiceResult } from "./service_client.ts";

const TIMEOUT_MS = 20_000;
const RUNS = { seed: 58, numRuns: 400 };

let server: Server | undefined;
afterEach(() => {
  server?.close();
});

const request = {
  method: "GET",
  path: "/stock",
  headers: {},
  body: Buffer.alloc(0),
};

/** Sends a call to a server that answers it with raw bytes. */
async function callServer(
  answer: (socket: Socket) => void,
  options: { readonly freshConnection: boolean },
): Promise<ServiceResult> {
  const listening = createServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => answer(socket));
  });
  server = listening;
  listening.listen(0, "127.0.0.1");
  await once(listening, "listening");
  const { port } = listening.address() as AddressInfo;
  const address = { host: "127.0.0.1", port };
  const settings = { timeoutMs: TIMEOUT_MS, ...options };
  return createServiceClient().send(address, request, settings);
}

const connections = [
  ["a pooled connection", { freshConnection: false }],
  ["a new connection", { freshConnection: true }],
] as const;

describe("service client, answer without a length and without chunks", () => {
  // The HTTP client takes a reset for the regular end of such an answer.
  it.each(connections)(
    "is no answer if it is reset: %s",
    async (_, options) => {
      const result = await callServer((socket) => {
        afterBodyPart(() => socket.resetAndDestroy());
        socket.write('HTTP/1.1 200 OK\r\n\r\n{"part');
      }, options);
      expect(result.kind).toBe("broken");
    },
  );
});

describe("service client, answer that breaks off at any byte", () => {
  const cuts: fc.Arbitrary<Omit<CutAnswer, "hasBody">> = fc.record({
    version: fc.constantFrom("1.0", "1.1"),
    framing: fc.constantFrom("length", "chunks", "identity", "connection"),
    status: fc.constantFrom(200, 201, 204, 304, 404, 500),
    body: fc.stringMatching(/^[a-z0-9]{0,40}$/),
    missingBytes: fc.oneof(
      fc.constant(0),
      fc.nat({ max: 40 }),
      fc.nat({ max: 150 }),
    ),
    end: fc.constantFrom("close", "reset"),
  });
  const calls = fc.record({
    method: fc.constantFrom("GET", "POST", "HEAD"),
    freshConnection: fc.boolean(),
  });

  it("claims no more than its server sent", async () => {
    const kinds = { answer: 0, unmarked: 0, none: 0 };
    let cut: CutAnswer;
    const cutting = await startCuttingServer(() => cut);
    const address = { host: "127.0.0.1", port: cutting.port };
    const client = createServiceClient();
    const property = fc.asyncProperty(cuts, calls, async (drawn, call) => {
      const { method, freshConnection } = call;
      const hasBody = method !== "HEAD" && ![204, 304].includes(drawn.status);
      cut = { ...drawn, hasBody };
      const sent = describeCut(cut);
      const options = { timeoutMs: TIMEOUT_MS, freshConnection };
      const result = await client.send(
        address,
        { ...request, method },
        options,
      );
      if (result.kind !== "answer") {
        kinds.none += 1;
        // A reset may overtake what was sent before it.
        if (cut.end === "close") expect(sent.isMarkedWhole).toBe(false);
        return;
      }
      const { status, body, isDelimited } = result.answer;
      kinds[isDelimited ? "answer" : "unmarked"] += 1;
      expect(status).toBe(cut.status);
      expect(isDelimited).toBe(sent.isMarkedWhole);
      if (hasBody) expect(body.toString()).toBe(sent.body);
    });
    await fc.assert(property, RUNS);
    cutting.close();
    expect(Math.min(...Object.values(kinds))).toBeGreaterThan(10);
  });
});
