import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import {
  call,
  connectTo,
  createAnswerReader,
  type Deployment,
  drawSettings,
  encodeHead,
  START_TIMEOUT_MS,
  startDeployment,
  streamHeaders,
  until,
  writeSettings,
} from "@rosemarypin/platform/stand_in";
import {
  afterAll,
  afterEach,
  beforeAll,
  beforeEach,
  describe,
  expect,
  it,
} from "vitest";
import {
  createInstanceProcess,
  type InstanceProcess,
} from "../platform_soak/instance_process.ts";
import { type CrowdKind, ONE_BYTE_CHUNK, sendCrowd } from "./crowd.ts";
import { halfLines } from "./crowd_kinds.ts";
import { gatewayCrowdKinds } from "./gateway_crowds.ts";
import { type UsageWatch, watchUsage } from "./process_usage.ts";

const BYTES_PER_MB = 1_048_576;
/** The machine of the instance, and its share of descriptors for files. */
const MACHINE = { memory_mb: 256, max_fds: 600 };
const FILE_DESCRIPTORS = 200;
const OLD_HEAP_MB = 96;
const MAX_BODY_BYTES = 4_194_304;
const DEADLINE_MS = 50_000;
/** Time for which a crowd stays. */
const CROWD_MS = 4_000;
const TEST_TIMEOUT_MS = 150_000;

const root = fileURLToPath(new URL("../../../../", import.meta.url));
const lookup = { method: "GET", path: "/look/1", deadlineMs: DEADLINE_MS };

const kinds = gatewayCrowdKinds({
  bodyBytes: MAX_BODY_BYTES,
  deadlineMs: DEADLINE_MS,
});

/** Flags of the start command, with less memory for old objects. */
function runtimeFlags(): string[] {
  const deployment = readFileSync(`${root}deploy/system.toml`, "utf8");
  const [, command = ""] = /^run = "node (.*)"$/m.exec(deployment) ?? [];
  return command
    .split(" ")
    .filter((word) => word.startsWith("--"))
    .map((flag) =>
      flag.replace(/(max-old-space-size=)\d+/, `$1${OLD_HEAP_MB}`),
    );
}

let folder: string;
const named = kinds.map((kind) => [kind.what, kind] as const);

let deployment: Deployment;
let instance: InstanceProcess;
let pid: number;
let ports: { readonly callers: number; readonly peers: number };
let ready: number;
let watch: UsageWatch;

beforeAll(async () => {
  folder = mkdtempSync(join(tmpdir(), "rosemarypin-crowds-"));
  deployment = await startDeployment({
    engines: ["a", "a", "a", "a"],
    plainServers: ["a", "a"],
    instances: [],
    eventMs: 1,
  });
  const timeouts = { timeout_ms: DEADLINE_MS };
  const { routes } = deployment.content();
  deployment.configure({
    routes: routes.map((route) => ({ ...route, ...timeouts })),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAX_BODY_BYTES,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
  });
});
afterAll(async () => {
  await deployment.stop();
  rmSync(folder, { recursive: true });
});

beforeEach(async () => {
  const settings = await drawSettings("i-0", {
    domain: "a",
    storeAddress: deployment.store.address,
    graceMs: 5_000,
  });
  const settingsFile = join(folder, "settings.json");
  writeSettings(settingsFile, settings, MACHINE);
  const { callers, readiness, peers, metrics } = settings;
  ports = { callers: callers.port, peers: peers?.port ?? 0 };
  ready = readiness.port;
  instance = createInstanceProcess({
    name: "i-0",
    url: `http://${callers.host}:${callers.port}`,
    settingsFile,
    logFile: join(folder, "i-0.log"),
    nodeFlags: runtimeFlags(),
  });
  instance.start();
  pid = instance.pid();
  const listening = [...Object.values(ports), ready, metrics?.port ?? 0];
  watch = watchUsage(pid, listening);
  const isServed = async (options: Parameters<typeof call>[1]) =>
    (await call(instance.url, options)).status === 200;
  await until(() => isServed(lookup), START_TIMEOUT_MS);
  const ask = { path: "/ask/1", body: "why", headers: streamHeaders(2) };
  await until(() => isServed(ask), START_TIMEOUT_MS);
});
afterEach(() => instance.kill());

/** Waits until an ordinary request is answered. */
async function serveOne(): Promise<void> {
  const answers = async () =>
    (await call(instance.url, { ...lookup, deadlineMs: 5_000 })).status === 200;
  await until(answers, START_TIMEOUT_MS);
}

async function liveThrough(
  crowd: readonly CrowdKind[],
  port = ports.callers,
): Promise<void> {
  const sent = crowd.map((kind) => sendCrowd(kind, port));
  await new Promise((resolve) => setTimeout(resolve, CROWD_MS));
  expect(instance.ownEnds()).toBe(0);
  await serveOne();
  await Promise.all(sent.map((each) => each.leave()));
  await serveOne();
  const { memoryBytes, descriptors } = watch.stop();
  expect(instance.pid()).toBe(pid);
  expect(memoryBytes / BYTES_PER_MB).toBeLessThan(MACHINE.memory_mb);
  expect(descriptors).toBeLessThan(MACHINE.max_fds);
}

/** Sends a body and returns the status of its answer. */
async function sendBody(parts: readonly string[]): Promise<number> {
  const socket = connectTo(instance.url);
  const reading = createAnswerReader(socket).read(1);
  const order = { path: "/order/1", deadlineMs: DEADLINE_MS };
  socket.write(encodeHead(order, ["Transfer-Encoding: chunked"]));
  for (const part of parts)
    await new Promise((resolve) => socket.write(part, resolve));
  const [answer] = await reading;
  socket.destroy();
  return answer?.status ?? 0;
}

// Guards against clients that end a process, or take its memory, its
// descriptors or its event loop for themselves.
describe("an instance that is sent by a crowd", {
  timeout: TEST_TIMEOUT_MS,
}, () => {
  it.each(named)("lives and serves: %s", async (_what, kind) => {
    await liveThrough([kind]);
  });

  it("lives and serves: more connections than descriptors", async () => {
    await liveThrough([halfLines(MACHINE.max_fds + FILE_DESCRIPTORS)]);
  });

  it("lives and serves: all of these side by side", async () => {
    const some = kinds.map((kind) => ({ ...kind, connections: 20 }));
    await liveThrough([...some, halfLines(100)]);
  });

  it.each(["peers", "ready"] as const)(
    "lives and serves: bodies in chunks of one byte at its %s address",
    async (address) => {
      const port = address === "peers" ? ports.peers : ready;
      await liveThrough(kinds.slice(0, 1), port);
    },
  );

  // Guards against a bound that a sound caller meets.
  it("answers one body of a million chunks in calm", async () => {
    const parts = Array<string>(100).fill(ONE_BYTE_CHUNK.repeat(10_000));
    expect(await sendBody([...parts, "0\r\n\r\n"])).toBe(200);
    await serveOne();
    expect(instance.ownEnds()).toBe(0);
    expect(watch.stop().memoryBytes / BYTES_PER_MB).toBeLessThan(
      MACHINE.memory_mb,
    );
  });
});
