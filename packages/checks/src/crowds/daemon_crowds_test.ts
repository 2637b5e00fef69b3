import { connect } from "node:net";
import {
  type Deployment,
  KANEM_LAYERS,
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { createAnswerReader, until } from "@rosemarypin/platform/stand_in";
import { limitsSchema } from "@rosemarypin/schemas";
import { request } from "undici";
import {
  afterAll,
  afterEach,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
} from "vitest";
import { type CrowdKind, ONE_BYTE_CHUNK, sendCrowd } from "./crowd.ts";
import { crowdKinds, halfLines } from "./crowd_kinds.ts";
import { type UsageWatch, watchUsage } from "./process_usage.ts";

const BYTES_PER_MB = 1_048_576;
/** Memory of the daemon's machine, and of its old objects. */
const MEMORY_MB = 384;
const OLD_HEAP_MB = 128;
const MAX_CONNECTIONS = 300;
/** What a daemon opens beside its callers' connections. */
const OTHER_DESCRIPTORS = 150;
const BODY_BYTES = 1_048_576;
/** Time for which a crowd stays. */
const CROWD_MS = 4_000;
const TEST_TIMEOUT_MS = 150_000;
const ANSWER_TIMEOUT_MS = 45_000;
const NAME = "entry-1";

const ORDER = [
  "POST /services/dealer-app/orders HTTP/1.1",
  "host: test",
  "authorization: Bearer kano-demo-key",
  "content-type: application/json",
  "",
].join("\r\n");
const LOOKUP = ORDER.replace("POST", "GET").replace("orders", "stock/belt-22");
const COMPLETION = JSON.stringify({
  model: "assist",
  prompt: "why",
  max_tokens: 500,
  stream: true,
});
const STREAM = `${ORDER.replace("/services/dealer-app/orders", "/v1/completions")}content-length: ${COMPLETION.length}\r\n\r\n${COMPLETION}`;

const KEYED_ORDER = `${ORDER}idempotency-key: crowd\r\n`;

const kinds = crowdKinds(
  { order: ORDER, lookup: LOOKUP, stream: STREAM },
  BODY_BYTES,
);

/** Bodies that the daemon wants to read. */
const keyedKinds = crowdKinds(
  { order: KEYED_ORDER, lookup: LOOKUP, stream: STREAM },
  BODY_BYTES,
).filter(({ opening }) => opening.startsWith("POST /services"));
const named = kinds.map((kind) => [kind.what, kind] as const);

let deployment: Deployment;
let pid: number;
let watch: UsageWatch;
let port: number;
let adminPort: number;

beforeAll(async () => {
  const limits = {
    connections: MAX_CONNECTIONS,
    bodyBytes: BODY_BYTES,
    requestTimeoutMs: 60_000,
  };
  const overrides = { limits: limitsSchema.parse(limits) };
  const shape = { ...kanemShape, instances: 1, overrides };
  deployment = await startDeployment(await planDeployment(shape), {
    daemonNodeFlags: [`--max-old-space-size=${OLD_HEAP_MB}`],
  });
});
beforeEach(async () => {
  if (!deployment.processes.isRunning(NAME)) deployment.startInstance(NAME);
  const addresses = deployment.plan.daemons[0]?.instance.addresses;
  port = addresses?.callers.port ?? 0;
  adminPort = addresses?.admin.port ?? 0;
  pid = deployment.processes.pid(NAME);
  watch = watchUsage(pid, [port, adminPort]);
  await publishFirstNote();
  await serveOne();
});
afterEach(async () => {
  if (!deployment.processes.isRunning(NAME)) return;
  deployment.processes.signal(NAME, "SIGKILL");
  await deployment.processes.waitForExit(NAME);
});
afterAll(() => deployment.stop());

function chunkFor(text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`;
}

/** Publishes the note that brings the service and the model, once. */
async function publishFirstNote(): Promise<void> {
  const { plan } = deployment;
  const { model } = plan.shape;
  const layerSets = [{ name: "base", from: 0, to: KANEM_LAYERS }];
  const version = { version: "v1", layers: KANEM_LAYERS, layerSets };
  const note = {
    supersedes: 0,
    publishId: "first-note",
    reason: "the first version",
    added: [
      { kind: "version", model, ...version, serve: true },
      { kind: "service", service: plan.services.name },
    ],
    changed: [],
    withdrawn: [],
  };
  await until(async () => {
    const url = `http://127.0.0.1:${adminPort}/v1/notes`;
    const headers = {
      authorization: `Bearer ${plan.shape.adminKey}`,
      "content-type": "application/json",
    };
    const options = { method: "POST", headers, body: JSON.stringify(note) };
    try {
      const answer = await request(url, options as never);
      await answer.body.dump();
      return answer.statusCode < 300 || answer.statusCode === 409;
    } catch {
      return false;
    }
  }, ANSWER_TIMEOUT_MS);
}

/** Waits until an ordinary request is answered. */
function serveOne(): Promise<void> {
  const url = `http://127.0.0.1:${port}/services/dealer-app/stock/belt-22`;
  const headers = { authorization: "Bearer kano-demo-key" };
  return until(async () => {
    try {
      const answer = await request(url, { headers, headersTimeout: 5_000 });
      await answer.body.dump();
      return answer.statusCode === 200;
    } catch {
      return false;
    }
  }, ANSWER_TIMEOUT_MS);
}

async function liveThrough(
  crowd: readonly CrowdKind[],
  target = port,
): Promise<void> {
  const sent = crowd.map((kind) => sendCrowd(kind, target));
  await new Promise((resolve) => setTimeout(resolve, CROWD_MS));
  expect(deployment.processes.isRunning(NAME)).toBe(true);
  await serveOne();
  await Promise.all(sent.map((each) => each.leave()));
  await serveOne();
  const { memoryBytes, descriptors } = watch.stop();
  expect(deployment.processes.isRunning(NAME)).toBe(true);
  expect(memoryBytes / BYTES_PER_MB).toBeLessThan(MEMORY_MB);
  expect(descriptors).toBeLessThan(MAX_CONNECTIONS + OTHER_DESCRIPTORS);
}

// Guards against clients that end a daemon, or take its memory, its
// connections or its event loop for themselves.
describe("a daemon that is sent by a crowd", {
  timeout: TEST_TIMEOUT_MS,
}, () => {
  it.each(named)("lives and serves: %s", async (_what, kind) => {
    await liveThrough([kind]);
  });

  it.each(keyedKinds.map((kind) => [kind.what, kind] as const))(
    "lives and serves beside orders with a key: %s",
    async (_what, kind) => {
      await liveThrough([kind]);
    },
  );

  it("lives and serves: more connections than it allows", async () => {
    await liveThrough([halfLines(2 * MAX_CONNECTIONS)]);
  });

  it("lives and serves: all of these side by side", async () => {
    const some = kinds.map((kind) => ({ ...kind, connections: 20 }));
    await liveThrough([...some, halfLines(100)]);
  });

  it("lives and serves: bodies in chunks of one byte to its operators", async () => {
    await liveThrough(kinds.slice(0, 1), adminPort);
  });

  // Guards against a bound that a sound caller meets.
  it("answers one body of a million chunks in calm", async () => {
    const socket = connect(port, "127.0.0.1");
    const reading = createAnswerReader(socket).read(1);
    socket.write(`${KEYED_ORDER}transfer-encoding: chunked\r\n\r\n`);
    const [before, after] = ['{"part":"', '"}'];
    const count = BODY_BYTES - before.length - after.length;
    const chunks = ONE_BYTE_CHUNK.repeat(count);
    for (const text of [
      chunkFor(before),
      chunks,
      chunkFor(after),
      chunkFor(""),
    ])
      await new Promise((resolve) => socket.write(text, resolve));
    const [answer] = await reading;
    socket.destroy();
    expect(answer?.status).toBe(201);
    await serveOne();
    expect(watch.stop().memoryBytes / BYTES_PER_MB).toBeLessThan(MEMORY_MB);
  });
});
