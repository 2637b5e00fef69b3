import { type AddressInfo, connect } from "node:net";
import { createServiceClient, createServiceFleet } from "@rosemarypin/backends";
import {
  createClaimRegistry,
  createObjectClaimStore,
  createResultRecorder,
  createServiceCaller,
} from "@rosemarypin/calls";
import {
  type CutAnswer,
  createMemoryStore,
  describeCut,
  type MemoryStore,
  startCuttingServer,
  testSeeds,
} from "@rosemarypin/fakes";
import { claimStatusSchema, type ServiceSettings } from "@rosemarypin/schemas";
import fc from "fast-check";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { startCallerServer } from "../caller_server.ts";
import {
  fakeCallerParts,
  fakeKeeper,
  fakeSettings,
  goodKey,
} from "./fake_parts.ts";

const RUNS = { seed: 58, numRuns: 250 };
const DEADLINE_MS = 20_000;
const SERVICE = "bookings";

let cut: CutAnswer;
let cutting: Awaited<ReturnType<typeof startCuttingServer>>;
/** The first runs the calls; the others replay those with the same key. */
const instances: Awaited<ReturnType<typeof startInstance>>[] = [];

beforeAll(async () => {
  cutting = await startCuttingServer(() => cut);
  const service: ServiceSettings = {
    name: SERVICE,
    servers: [
      {
        id: "s1",
        failureDomain: "a",
        address: { host: "127.0.0.1", port: cutting.port },
      },
    ],
    calls: (["GET", "HEAD"] as const)
      .map((method) => ({ method, path: "/stock", idempotent: true }))
      .concat({ method: "POST" as never, path: "/orders", idempotent: false }),
    timeoutMs: DEADLINE_MS,
  };
  const memory = createMemoryStore();
  const owner = createClaimRegistry({ incarnation: 1 });
  for (const name of ["owner", "peer", "reader"])
    instances.push(await startInstance({ name, service, memory, owner }));
});

afterAll(() => {
  cutting.close();
  for (const { server } of instances) {
    server.closeAllConnections();
    server.close();
  }
});

async function startInstance(options: {
  readonly name: string;
  readonly service: ServiceSettings;
  readonly memory: MemoryStore;
  readonly owner: ReturnType<typeof createClaimRegistry>;
}) {
  const { name, service, memory, owner } = options;
  const claims = createObjectClaimStore({
    deployment: "contract",
    owner: name,
    incarnation: 1,
    store: memory.client().store,
  });
  const services = [service];
  const resultRecorder = createResultRecorder({ claims });
  const callService = createServiceCaller({
    keeper: fakeKeeper(),
    services,
    fleet: createServiceFleet({ services, client: createServiceClient() }),
    claims,
    registry:
      name === "owner" ? owner : createClaimRegistry({ incarnation: 1 }),
    owners: {
      async ask({ requestId }, { waitMs }) {
        if (name === "reader") return { kind: "process_ended" };
        const question = { incarnation: 1, requestId, waitMs };
        const status = await owner.ask(question);
        return claimStatusSchema.parse(JSON.parse(JSON.stringify(status)));
      },
    },
    failureDomain: "a",
    resultRecorder,
  });
  const settings = fakeSettings();
  const limits = { ...settings.limits, bodyBytes: 65_536 };
  const parts = fakeCallerParts({ ...settings, limits, services });
  const { server } = await startCallerServer({ ...parts, callService });
  const { port } = server.address() as AddressInfo;
  const settled = () => resultRecorder.finish(DEADLINE_MS);
  return { server, port, settled };
}

interface ReadAnswer {
  readonly status: number;
  readonly headers: ReadonlyMap<string, string>;
  readonly body: string;
  /** Whether the answer came to an end that it marked itself. */
  readonly isMarkedWhole: boolean;
}

interface Call {
  readonly method: string;
  readonly version: string;
  readonly key: string;
  readonly port: number;
}

/** Sends a call and reads until the answer ends, by its mark or connection. */
function readAnswer({ method, version, key, port }: Call): Promise<ReadAnswer> {
  const path = method === "POST" ? "/orders" : "/stock";
  const socket = connect(port, "127.0.0.1");
  socket.write(
    [
      `${method} /services/${SERVICE}${path} HTTP/${version}`,
      "host: rosemarypin",
      "connection: keep-alive",
      `authorization: Bearer ${goodKey}`,
      `idempotency-key: ${key}`,
      "content-length: 0",
      "\r\n",
    ].join("\r\n"),
  );
  return new Promise((resolve, reject) => {
    let text = "";
    const isDone = () => parse(text, method)?.isMarkedWhole === true;
    socket.on("error", reject);
    socket.on("data", (chunk) => {
      text += chunk.toString("latin1");
      if (isDone()) socket.destroy();
    });
    socket.once("close", () => {
      const answer = parse(text, method);
      if (answer) resolve(answer);
      else reject(new Error(`no answer: ${text}`));
    });
  });
}

function parse(text: string, method: string): ReadAnswer | null {
  const headEnd = text.indexOf("\r\n\r\n");
  if (headEnd < 0) return null;
  const [statusLine = "", ...lines] = text.slice(0, headEnd).split("\r\n");
  const headers = new Map(
    lines.map((line): [string, string] => {
      const [name = "", ...value] = line.split(": ");
      return [name.toLowerCase(), value.join(": ")];
    }),
  );
  const status = Number(statusLine.split(" ")[1]);
  const rest = text.slice(headEnd + 4);
  const end = { status, headers };
  if (method === "HEAD" || status === 204 || status === 304)
    return { ...end, body: rest, isMarkedWhole: true };
  const length = headers.get("content-length");
  if (length !== undefined)
    return { ...end, body: rest, isMarkedWhole: rest.length >= Number(length) };
  const isChunked = headers.has("transfer-encoding");
  const isMarkedWhole = isChunked && rest.endsWith("0\r\n\r\n");
  return { ...end, body: rest, isMarkedWhole };
}

describe("answer of a service that breaks off at any byte", () => {
  const cuts = fc.record({
    version: fc.constantFrom("1.0" as const, "1.1" as const),
    framing: fc.constantFrom(
      "length" as const,
      "chunks" as const,
      "identity" as const,
      "connection" as const,
    ),
    status: fc.constantFrom(200, 201, 204, 304, 404, 500),
    body: fc.stringMatching(/^[a-z0-9]{0,40}$/),
    missingBytes: fc.oneof(
      fc.constant(0),
      fc.nat({ max: 40 }),
      fc.nat({ max: 150 }),
    ),
    end: fc.constantFrom("close" as const, "reset" as const),
  });
  const headCuts = fc.record({
    version: fc.constant("1.1" as const),
    framing: fc.constantFrom("length" as const, "chunks" as const),
    status: fc.constantFrom(200, 404),
    body: fc.stringMatching(/^[a-z0-9]{0,40}$/),
    missingBytes: fc.oneof(fc.nat({ max: 20 }), fc.nat({ max: 250 })),
    end: fc.constantFrom("close" as const, "reset" as const),
    hasInterim: fc.boolean(),
    hasTrailers: fc.boolean(),
  });
  const calls = fc.record({
    method: fc.constantFrom("GET", "POST", "HEAD"),
    version: fc.constantFrom("1.0", "1.1"),
  });
  const kinds = { marked: 0, unmarked: 0, failed: 0, replayed: 0 };
  let count = 0;

  // Guards against lengths and chunks around a part of an answer.
  it("reaches callers with no more certainty than its server gave", async () => {
    const property = fc.asyncProperty(cuts, calls, expectNoMoreCertainty);
    await fc.assert(property, RUNS);
    expect(Math.min(...Object.values(kinds))).toBeGreaterThan(10);
  });

  // Guards against interim answers that pass for the head of an answer that is
  // cut, and trailers for a part of it.
  for (const { name, seed } of testSeeds([64])) {
    it(`reaches none as whole after a cut head or trailer (${name})`, async () => {
      const property = fc.asyncProperty(headCuts, calls, expectNoMoreCertainty);
      await fc.assert(property, { ...RUNS, seed });
    });
  }

  async function expectNoMoreCertainty(
    drawn: Omit<CutAnswer, "hasBody">,
    call: Pick<Call, "method" | "version">,
  ): Promise<void> {
    const hasBody =
      call.method !== "HEAD" && ![204, 304].includes(drawn.status);
    cut = { ...drawn, hasBody };
    const sent = describeCut(cut);
    count += 1;
    const key = `key-${count}`;
    const repeats = call.method === "POST" ? instances : instances.slice(0, 1);
    for (const { port, settled } of repeats) {
      const answer = await readAnswer({ ...call, key, port });
      await settled();
      const isFailure = answer.body.startsWith('{"error":');
      if (isFailure || (call.method === "HEAD" && answer.status === 502)) {
        kinds.failed += 1;
        expect(answer.isMarkedWhole).toBe(true);
        if (cut.end === "close") expect(sent.isMarkedWhole).toBe(false);
        continue;
      }
      if (answer.headers.has("idempotent-replayed")) kinds.replayed += 1;
      kinds[answer.isMarkedWhole ? "marked" : "unmarked"] += 1;
      expect(answer.status).toBe(cut.status);
      expect(answer.isMarkedWhole).toBe(sent.isMarkedWhole);
      expect(answer.body).toBe(hasBody ? sent.body : "");
      if (answer.isMarkedWhole) continue;
      expect(answer.headers.has("transfer-encoding")).toBe(false);
      expect(answer.headers.get("connection")).toBe("close");
    }
  }
});
