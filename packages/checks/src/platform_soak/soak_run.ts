/** A run of the soak: real processes, random faults, promises judged. */
import { mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  call,
  type Deployment,
  drawSettings,
  type EngineStandIn,
  type LinkState,
  openServerLinks,
  type PlainBehaviour,
  type ServerLinks,
  START_TIMEOUT_MS,
  startDeployment,
  streamHeaders,
  until,
  writeSettings,
} from "@rosemarypin/platform/stand_in";
import { createSeededRandom, type SeededRandom } from "../seeded_random.ts";
import {
  type FaultProxy,
  type ProxyFault,
  startFaultProxy,
} from "./fault_proxy.ts";
import {
  createInstanceProcess,
  type InstanceProcess,
} from "./instance_process.ts";
import { judgeCalls, type SoakCall, type SoakKind } from "./judges.ts";
import { createStepLog } from "./step_log.ts";

const GRACE_MS = 5_000;
const CALLERS = 6;
/** Faults overlap: an engine ends while an instance is replaced. */
const FAULTS_AT_ONCE = 2;
const HIGHEST_SEED = 2 ** 31 - 1;
const DEADLINE_MS = 3_000;
/** Requests in flight at the end may take until their deadline. */
const SETTLE_MS = DEADLINE_MS + 500;
/** Bound on what is in progress at the end, for a step that hangs. */
const END_TIMEOUT_MS = 25_000;

export interface SoakResult {
  readonly folder: string;
  readonly faults: readonly string[];
  readonly calls: readonly SoakCall[];
  /** Requests that an instance handed off to another one. */
  readonly handedOff: number;
  readonly broken: readonly string[];
}

/**
 * Runs for a time; every random choice comes from `random`. Each sequence of
 * faults has a generator of its own.
 */
export async function runPlatformSoak(
  random: SeededRandom,
  durationMs: number,
  kinds: readonly [Fault, ...Fault[]] = FAULTS,
): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), "rosemarypin-soak-"));
  const world = await startWorld(folder);
  const calls: SoakCall[] = [];
  const faults: string[] = [];
  /** Unplanned faults in progress, and the end of the last one. */
  let unplanned = 0;
  let unplannedAt = -Infinity;
  /** Instances that are being stopped, killed or frozen now. */
  const hurt = new Set<InstanceProcess>();
  /** Links of instances that are cut off from all servers now. */
  const cutLinks = new Set<ServerLinks>();
  const steps = createStepLog();
  // Drawn from the callers' choices, whose number depends on the speed of the
  // machine, the faults of a seed would differ from run to run.
  const faultSeeds = Array.from({ length: FAULTS_AT_ONCE }, () =>
    random.between(0, HIGHEST_SEED),
  );
  await waitUntilServed(world);
  const endsAt = performance.now() + durationMs;
  const isOver = () => performance.now() >= endsAt;
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    keepCalling(index),
  );
  const breakers = Array.from({ length: FAULTS_AT_ONCE }, (_, index) =>
    keepBreaking(createSeededRandom(faultSeeds[index] ?? 0)),
  );
  try {
    await steps.waitFor(
      Promise.all([...callers, ...breakers]),
      durationMs + END_TIMEOUT_MS,
    );
  } catch (error) {
    await Promise.all(world.instances.map((instance) => instance.kill()));
    throw error;
  }
  await sleep(SETTLE_MS);
  await world.stop();
  const logs = readLogs(folder);
  const read = new Set(valuesIn(logs, / request=(\S+)/g));
  const handedOff = new Set(
    valuesIn(logs, / event=request_handed_off request=(\S+)/g),
  );
  const broken = judgeCalls(calls, (id) => {
    return { runs: world.runsOf(id), wasRead: read.has(id) };
  });
  return { folder, faults, calls, handedOff: handedOff.size, broken };

  async function keepBreaking(faultRandom: SeededRandom): Promise<void> {
    while (!isOver()) await breakSomething(faultRandom);
  }

  /**
   * Every other caller keeps its connections, and goes on to use them until
   * the process has exited, also while it stops.
   */
  async function keepCalling(index: number): Promise<void> {
    const keeps = index % 2 === 0;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const mayCall = (instance: InstanceProcess) =>
      keeps ? !instance.isGone() : instance.isUp();
    for (let count = 0; !isOver(); count += 1) {
      const id = `c${index}-${count}`;
      const kind = random.pick<SoakKind>([
        "stream",
        "stream",
        "order",
        "lookup",
      ]);
      const events = random.between(2, 30);
      const instance = world.instances[random.between(0, 2)];
      if (!instance || !mayCall(instance)) {
        await sleep(20);
        continue;
      }
      const startedAt = performance.now();
      const answering = call(instance.url, {
        id,
        deadlineMs: DEADLINE_MS,
        ...(keeps ? { agent } : {}),
        ...requestOf(kind, events),
      });
      const answer = await steps.during(`${kind} ${id}`, answering);
      const isCalm = unplannedAt < startedAt - SETTLE_MS;
      const onlyPlanned = unplanned === 0 && isCalm;
      calls.push({ id, kind, events, answer, onlyPlanned });
    }
  }

  async function breakSomething(faultRandom: SeededRandom): Promise<void> {
    const fault = faultRandom.pick(kinds);
    const isPlanned = fault === "stop_instance" || fault === "configure";
    faults.push(fault);
    if (!isPlanned) unplanned += 1;
    const done = carryOut(fault, {
      world,
      random: faultRandom,
      hurt,
      cutLinks,
    });
    await steps.during(fault, done);
    if (!isPlanned) {
      unplanned -= 1;
      unplannedAt = performance.now();
    }
    await sleep(faultRandom.between(50, 900));
  }
}

/**
 * Waits until each instance answers each kind of request, so that the run tests
 * answers and not the start of the processes.
 */
async function waitUntilServed({ instances }: World): Promise<void> {
  const kinds: readonly SoakKind[] = ["stream", "order", "lookup"];
  const checks = instances.flatMap(({ url }) =>
    kinds.map((kind) =>
      until(async () => {
        const answer = await call(url, requestOf(kind, 2));
        return answer.status === 200;
      }, START_TIMEOUT_MS),
    ),
  );
  await Promise.all(checks);
}

/** Texts of the logs of all instances. */
function readLogs(folder: string): string[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith(".log"))
    .map((name) => readFileSync(join(folder, name), "utf8"));
}

/** Values of the first group of each match. */
function valuesIn(texts: readonly string[], pattern: RegExp): string[] {
  return texts.flatMap((text) =>
    [...text.matchAll(pattern)].map(([, value = ""]) => value),
  );
}

const FAULTS = [
  "stop_instance",
  "kill_instance",
  "freeze_instance",
  "configure",
  "store_down",
  "store_silent",
  "store_loses_replies",
  "door_closed",
  "engine_ends",
  "engine_silent",
  "engine_full",
  "engine_breaks",
  "connections_reset",
  "connections_harmed",
  "server_misbehaves",
  "instances_cut_off",
] as const;
export type Fault = (typeof FAULTS)[number];

interface World {
  readonly deployment: Deployment;
  readonly instances: readonly InstanceProcess[];
  readonly proxies: readonly FaultProxy[];
  readonly doors: readonly { closed: boolean }[];
  /** Links of each instance to all servers. */
  readonly links: readonly ServerLinks[];
  runsOf(id: string): number;
  stop(): Promise<void>;
}

async function startWorld(folder: string): Promise<World> {
  const deployment = await startDeployment({
    engines: ["a", "a", "a", "a", "b", "b", "b", "b"],
    plainServers: ["a", "b"],
    instances: [],
    eventMs: 15,
  });
  const servers = [...deployment.engines, ...deployment.plainServers];
  const proxies: FaultProxy[] = [];
  const behind = new Map<string, string>();
  for (const server of servers) {
    const proxy = await startFaultProxy(server.address);
    proxies.push(proxy);
    behind.set(server.id, proxy.address);
    if ("held" in server) deployment.registry.set(proxy.address, server);
  }
  const enterAll = () => {
    for (const server of servers) {
      if (server.isUp()) {
        deployment.enter(server, { address: behind.get(server.id) });
      } else deployment.store.remove("servers", server.id);
    }
  };
  enterAll();
  const heartbeat = setInterval(enterAll, 600);
  const links: ServerLinks[] = [];
  const doors: { closed: boolean }[] = [];
  const instances: InstanceProcess[] = [];
  for (const [index, domain] of ["a", "a", "b"].entries()) {
    const ownLinks = await openLinks();
    links.push(ownLinks);
    const door = await deployment.store.openDoor((text) =>
      withLinkAddresses(text, ownLinks, proxies),
    );
    doors.push(door);
    const settings = await drawSettings(`i-${index}`, {
      domain,
      storeAddress: door.address,
      graceMs: GRACE_MS,
    });
    const settingsFile = join(folder, `i-${index}.json`);
    writeSettings(settingsFile, settings);
    const instance = createInstanceProcess({
      name: `i-${index}`,
      url: `http://${settings.callers.host}:${settings.callers.port}`,
      settingsFile,
      logFile: join(folder, `i-${index}.log`),
    });
    instance.start();
    instances.push(instance);
  }

  /** Opens links to all servers; engines know each other by them too. */
  async function openLinks(): Promise<ServerLinks> {
    const opened = await openServerLinks(proxies.map(({ address }) => address));
    for (const engine of deployment.engines) {
      const address = behind.get(engine.id);
      if (address) deployment.registry.set(opened.addressOf(address), engine);
    }
    return opened;
  }

  return {
    deployment,
    instances,
    proxies,
    doors,
    links,
    runsOf: (id) =>
      servers
        .flatMap<{ readonly requestId: string }>(({ runs }) => runs)
        .filter((run) => run.requestId === id).length,
    async stop() {
      clearInterval(heartbeat);
      await Promise.all(instances.map((instance) => instance.kill()));
      await Promise.all(links.map((each) => each.stop()));
      await Promise.all(proxies.map((proxy) => proxy.stop()));
      await deployment.stop();
    },
  };
}

/** Replaces the servers' addresses by those of an instance's links to them. */
function withLinkAddresses(
  text: string,
  links: ServerLinks,
  proxies: readonly FaultProxy[],
): string {
  return proxies.reduce(
    (rewritten, { address }) =>
      rewritten.replaceAll(`"${address}"`, `"${links.addressOf(address)}"`),
    text,
  );
}

async function carryOut(
  fault: Fault,
  options: {
    readonly world: World;
    readonly random: SeededRandom;
    readonly hurt: Set<InstanceProcess>;
    readonly cutLinks: Set<ServerLinks>;
  },
): Promise<void> {
  const { world, random, hurt, cutLinks } = options;
  const { deployment, instances, proxies, doors } = world;
  const { store, engines, plainServers } = deployment;
  const lastsMs = random.between(200, 2_500);
  const instance = instances[random.between(0, instances.length - 1)];
  const engine = engines[random.between(0, engines.length - 1)];
  const proxy = proxies[random.between(0, proxies.length - 1)];
  const door = doors[random.between(0, doors.length - 1)];
  const server = plainServers[random.between(0, plainServers.length - 1)];
  if (!instance || !engine || !proxy || !door || !server) return;
  switch (fault) {
    case "stop_instance":
    case "kill_instance":
    case "freeze_instance":
      // Signals come one after the other; what else goes on overlaps them.
      if (hurt.has(instance)) return;
      hurt.add(instance);
      await hurtInstance(instance, fault, lastsMs);
      hurt.delete(instance);
      return;
    case "configure":
      deployment.configure();
      return;
    case "store_down":
      return during(lastsMs, (on) => {
        store.faults.down = on;
      });
    case "store_silent":
      return during(lastsMs, (on) => {
        store.faults.silent = on;
      });
    case "store_loses_replies":
      return during(lastsMs, (on) => {
        store.faults.loseReplies = on ? Number.POSITIVE_INFINITY : 0;
      });
    case "door_closed":
      return during(lastsMs, (on) => {
        door.closed = on;
      });
    case "engine_ends":
      await engine.stop();
      await sleep(lastsMs);
      return engine.restart();
    case "engine_silent":
      return during(lastsMs, (on) => {
        engine.silent = on;
      });
    case "engine_full":
      return during(lastsMs, (on) => {
        engine.full = on;
      });
    case "engine_breaks":
      return breakAnswers(engine, random, lastsMs);
    case "connections_reset":
      return proxy.reset();
    case "connections_harmed":
      proxy.fault = random.pick<ProxyFault>([
        "delayed",
        "silenced",
        "cut_one_way",
      ]);
      await sleep(lastsMs);
      proxy.fault = "none";
      return proxy.reset();
    case "server_misbehaves":
      server.behaviour = random.pick<PlainBehaviour>([
        "refuses",
        "drops",
        "cuts",
        "fails",
        "confuses",
        "unsigned",
        "hangs",
      ]);
      await sleep(lastsMs);
      server.behaviour = "answers";
      return;
    case "instances_cut_off":
      return cutOff(world.links, random, cutLinks);
  }
}

/** Cuts one to all of the instances off, except those that are cut off now. */
async function cutOff(
  links: readonly ServerLinks[],
  random: SeededRandom,
  cutLinks: Set<ServerLinks>,
): Promise<void> {
  const count = random.between(1, links.length);
  const state = random.pick<LinkState>(["refused", "reset", "hanging"]);
  const lastsMs = random.between(300, 4_000);
  const first = random.between(0, links.length - 1);
  const chosen = [...links, ...links]
    .slice(first, first + count)
    .filter((each) => !cutLinks.has(each));
  for (const each of chosen) cutLinks.add(each);
  await Promise.all(chosen.map((each) => each.set(state)));
  await sleep(lastsMs);
  await Promise.all(chosen.map((each) => each.set("open")));
  for (const each of chosen) cutLinks.delete(each);
}

async function hurtInstance(
  instance: InstanceProcess,
  fault: "stop_instance" | "kill_instance" | "freeze_instance",
  lastsMs: number,
): Promise<void> {
  if (fault === "freeze_instance") {
    instance.freeze();
    await sleep(lastsMs);
    return instance.thaw();
  }
  if (fault === "stop_instance") await instance.stop();
  else await instance.kill();
  instance.start();
  await sleep(1_000);
}

async function during(
  lastsMs: number,
  set: (on: boolean) => void,
): Promise<void> {
  set(true);
  await sleep(lastsMs);
  set(false);
}

async function breakAnswers(
  engine: EngineStandIn,
  random: SeededRandom,
  lastsMs: number,
): Promise<void> {
  engine.breaksAfter = random.between(0, 5);
  await sleep(lastsMs);
  engine.breaksAfter = null;
}

function requestOf(kind: SoakKind, events: number) {
  if (kind === "lookup") return { method: "GET", path: "/look/1" };
  if (kind === "order") return { path: "/order/1", body: "two filters" };
  return { path: "/ask/1", body: "why", headers: streamHeaders(events) };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
