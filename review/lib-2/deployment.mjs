/** Starts the project's program by the deploy file, on loopback addresses. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

export const HOST = "site.example";
export const KEY = "key-of-the-farm";
const START_MS = 10_000;

const root = new URL("../../", import.meta.url).pathname;

/** The words of `run` in the deploy file. */
function runCommand() {
  const text = readFileSync(join(root, "deploy/system.toml"), "utf8");
  const run = /^run = "(.*)"$/m.exec(text)?.[1];
  if (!run) throw new Error("no run command in the deploy file");
  return run.split(" ");
}

/** Draws ports that are free now, each followed by another free one. */
export async function drawPorts(count) {
  const ports = [];
  while (ports.length < count) {
    const first = await listenOn(0);
    const second = await listenOn(first.port + 1).catch(() => null);
    first.server.close();
    second?.server.close();
    if (second && !ports.includes(first.port - 1)) ports.push(first.port);
  }
  return ports;
}

function listenOn(port) {
  const server = createServer();
  return new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, "127.0.0.1", () =>
      resolve({ server, port: server.address().port }),
    );
  });
}

/** Starts and stops machines; each runs one process of the program. */
export function createMachines() {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const children = new Set();
  const kill = () => {
    for (const { child } of children) child.kill("SIGKILL");
  };
  // Also when the script itself is ended early.
  process.once("exit", kill);
  for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"])
    process.once(signal, () => process.exit(2));

  async function start(name, { zone, store, logs }) {
    const [front, ready, internal] = await drawPorts(3);
    const file = join(folder, `${name}.json`);
    const at = (port) => `127.0.0.1:${port}`;
    const settings = {
      node_name: name,
      role: "router",
      machine_class: "front",
      serves: ["front"],
      ip: "127.0.0.1",
      zone,
      region: "region",
      zones: { a: "region", b: "region" },
      listen: { front: at(front), ready: at(ready) },
      internal_ports: [internal, internal + 1],
      seeds: [],
      bootstrap: true,
      limits: { cpu_share: 0.675, cores: 2, memory_mb: 610, max_fds: 8200 },
      heartbeat_ms: 1200,
      bounds: {
        contact_ms: 3000,
        drain_ms: 2000,
        grace_s: 8,
        lost_ms: 200,
        config_apply_ms: 2000,
        budget_ratio: 0.2,
        budget_window_s: 10,
        budget_slack: 202,
        recover_s: 12,
        stall_ms: 2500,
      },
      platform: {
        address: store,
        form: "objects",
        writes_per_s: 400,
        reads_per_s: 2000,
        history_s: 20,
        value_bytes: 1048576,
      },
    };
    writeFileSync(file, JSON.stringify(settings));
    const [command, ...words] = runCommand();
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command, words, {
      cwd: root,
      env: { PATH, HOME, LANG, ROSEMARYPIN_SETTINGS: file },
      stdio: ["ignore", "pipe", "pipe"],
    });
    const ended = new Promise((resolve) => child.once("exit", resolve));
    children.add({ child, ended });
    for (const output of [child.stdout, child.stderr])
      output.on("data", (text) => logs?.push(`${name}: ${text}`));
    const machine = { name, front, ready, child, ended };
    await waitUntilReady(machine);
    return machine;
  }

  return {
    start,
    async stop() {
      kill();
      await Promise.all([...children].map(({ ended }) => ended));
      rmSync(folder, { recursive: true, force: true });
    },
  };
}

async function waitUntilReady({ name, ready, child }) {
  const until = Date.now() + START_MS;
  while (Date.now() < until && child.exitCode === null) {
    const answer = await fetch(`http://127.0.0.1:${ready}/-/ready`).catch(
      () => null,
    );
    if (answer?.status === 200) return;
    await pause(50);
  }
  throw new Error(`${name} isn't ready`);
}

export function pause(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

/** A configuration with the plain service `shop` and its routes. */
export function plainConfiguration(version = 3) {
  const route = {
    host: HOST,
    service: "shop",
    timeout_ms: 20_000,
    goal_ms: 386,
    priority: 1,
    public: false,
  };
  return {
    version,
    routes: [
      {
        ...route,
        name: "order",
        path_prefix: "/order/",
        kind: "non_idempotent",
        max_attempts: 1,
      },
      {
        ...route,
        name: "look",
        path_prefix: "/look/",
        kind: "idempotent",
        max_attempts: 2,
      },
    ],
    services: [{ name: "shop", health_path: "/health", max_conns: 110 }],
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [{ name: "farm", api_keys: [KEY] }],
  };
}

/** The entry by which a server registers in the store. */
export function entryOf({ service, address, zone, seq, state = "ready" }) {
  return {
    service,
    address,
    zone,
    version: "v1",
    slots: 6,
    state,
    cold_left_ms: 0,
    seq,
    born: 1_700_000_000_000,
  };
}

/** Lines of `record.txt`, with the seconds since the start. */
export function createRecord(file) {
  const startedAt = performance.now();
  const lines = [];
  return {
    seconds: () => (performance.now() - startedAt) / 1_000,
    add(text) {
      const at = ((performance.now() - startedAt) / 1_000).toFixed(3);
      lines.push(`${at.padStart(8)} ${text}`);
    },
    write() {
      writeFileSync(file, `${lines.join("\n")}\n`);
    },
  };
}
