/**
 * Ends processes of a whole deployment at once, starts them again while callers
 * go on, and measures when service is back.
 */
import { mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { setTimeout as pause } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import {
  configureSite,
  createRemoteStore,
  drawSettings,
  type RemoteStore,
  readyUrlOf,
  type StoreFaults,
  writeSettings,
} from "@rosemarypin/platform/stand_in";
import { claimPorts } from "@rosemarypin/ports";
import { type BalancedInstance, startBalancer } from "./balancer.ts";
import { type CallerOutcome, startCallerProcesses } from "./callers.ts";
import { type Child, createChild } from "./child.ts";
import { describePhase, type Phase, phaseTimesOf } from "./phases.ts";
import {
  KINDS,
  MODEL,
  type ServersPlan,
  type Site,
  type StorePlan,
} from "./site.ts";

const HOST = "127.0.0.1";
const GRACE_MS = 8_000;
const HEARTBEAT_MS = 1_200;
/** Silent intervals after which the store removes an entry. */
const LOST_HEARTBEATS = 3;
const STORE_DELAY_MS = 4;
const STORE_RATES = { writesPerSecond: 1_200, readsPerSecond: 6_000 } as const;
const LOADS_AT_ONCE = 15;
const EVENT_MS = 100;
const STORE_START_LIMIT_MS = 30_000;
const STORE_CHECK_MS = 100;
const START_LIMIT_MS = 90_000;
const SERVED_CHECK_MS = 500;
const READY_INTERVAL_MS = 250;
/** Share of the streams of some seconds that a deployment serves that is up. */
const UP_SHARE = 0.9;
const UP_WINDOW_MS = 4_000;

/** What ends at once. */
export type Loss = "instances" | "servers" | "both";

export interface ColdStartOptions {
  readonly site: Site;
  readonly loss: Loss;
  /** Share of the instances that end, if any do. */
  readonly share: number;
  /** Time until the processes are started again. */
  readonly downMs: number;
  /** Time from that start to the end of the run. */
  readonly watchMs: number;
  /** Faults of the store from the end of the processes on. */
  readonly storeFaults: Partial<StoreFaults>;
  /** How long these last. */
  readonly storeFaultMs: number;
  readonly seed: number;
  /** Share of a core that each instance has at most. */
  readonly coreShare: number;
  /** Command line of an instance; the settings file follows. */
  readonly program: readonly string[];
}

/** Requests that were sent in one second, counted from the second start. */
export interface SecondReport {
  readonly second: number;
  readonly sent: number;
  readonly served: number;
  readonly servedAtOnce: number;
  /** First attempts by status; 0 for a closed connection, -1 for none. */
  readonly firstStatuses: Readonly<Record<number, number>>;
}

export interface ColdStartReport {
  readonly seconds: readonly SecondReport[];
  readonly phases: readonly Phase[];
  /** Processor time of all instances from their start to each second. */
  readonly processorMs: readonly number[];
  readonly readyInstances: readonly number[];
  readonly storeCalls: Readonly<Record<string, number>>;
  readonly outcomes: readonly CallerOutcome[];
  readonly restartedAt: number;
  readonly folder: string;
}

/** Share of requests served that were sent within a time, counted in seconds. */
export function servedShare(
  { seconds }: Pick<ColdStartReport, "seconds">,
  { from, to }: { readonly from: number; readonly to: number },
): number {
  const within = seconds.filter(({ second }) => second >= from && second < to);
  const sum = (key: "sent" | "served") =>
    within.reduce((total, each) => total + each[key], 0);
  return sum("served") / Math.max(1, sum("sent"));
}

/** Runs the deployment, ends its processes and starts them again. */
export async function runColdStart(
  options: ColdStartOptions,
): Promise<ColdStartReport> {
  const children: Child[] = [];
  try {
    return await rehearse(options, children);
  } finally {
    await Promise.all(children.map((child) => child.kill()));
  }
}

/** Adds each process to `children`, which the caller ends. */
async function rehearse(
  options: ColdStartOptions,
  children: Child[],
): Promise<ColdStartReport> {
  const { site } = options;
  const folder = mkdtempSync(join(tmpdir(), "cold-start-"));
  const [storePort = 0] = await claimPorts(1);
  const storeAddress = `${HOST}:${storePort}`;
  const store = standIn("store_main", join(folder, "store.log"), {
    port: storePort,
    ...STORE_RATES,
    delayMs: STORE_DELAY_MS,
    entryLifeMs: LOST_HEARTBEATS * HEARTBEAT_MS,
  } satisfies StorePlan);
  const servers = Array.from({ length: site.serverProcesses }, (_, process) =>
    standIn("servers_main", join(folder, `servers-${process}.log`), {
      storeAddress,
      servers: site.servers.filter(
        (_, index) => index % site.serverProcesses === process,
      ),
      kinds: KINDS,
      ...MODEL,
      loadsAtOnce: LOADS_AT_ONCE / site.serverProcesses,
      eventMs: EVENT_MS,
      heartbeatMs: HEARTBEAT_MS,
    } satisfies ServersPlan),
  );
  const storeClient = createRemoteStore(storeAddress);
  children.push(store, ...servers);
  store.start();
  await untilAnswering(storeClient);
  for (const process of servers) process.start();
  await configureSite(storeClient, {
    ...MODEL,
    kinds: KINDS,
    loadsAtOnce: LOADS_AT_ONCE,
  });
  const { children: instances, addresses } = await prepareInstances(options, {
    folder,
    storeAddress,
  });
  children.push(...instances);
  for (const instance of instances) instance.start();
  const balancer = startBalancer(addresses);
  const { requestsPerSecond, events } = site;
  const callers = startCallerProcesses(site.callerProcesses, {
    instances: addresses,
    seed: options.seed,
    requestsPerSecond,
    events,
  });
  const telling = setInterval(
    () => callers.tellReady(balancer.ready()),
    READY_INTERVAL_MS,
  );
  try {
    await untilUp(callers.outcomes);
    const callsBefore = await storeClient.counts();
    const ending = endingOf(options, { instances, servers });
    await storeClient.setFaults(options.storeFaults);
    setTimeout(() => {
      void storeClient.setFaults(withoutFaults(options.storeFaults));
    }, options.storeFaultMs);
    await Promise.all(ending.map((child) => child.kill()));
    await pause(options.downMs);
    const restartedAt = Date.now();
    for (const child of ending) child.start();
    const processorMs: number[] = [];
    const readyInstances: number[] = [];
    while (Date.now() - restartedAt < options.watchMs) {
      const second = processorMs.length + 1;
      await pause(restartedAt + second * 1_000 - Date.now());
      const sum = instances.reduce((ms, each) => ms + each.processorMs(), 0);
      processorMs.push(sum);
      readyInstances.push(balancer.ready().length);
    }
    const callsAfter = await storeClient.counts();
    await callers.stop();
    const { outcomes } = callers;
    return {
      seconds: countSeconds(outcomes, {
        restartedAt,
        watchMs: options.watchMs,
      }),
      phases: readPhases(folder, { restartedAt, outcomes }),
      processorMs,
      readyInstances,
      storeCalls: differenceOf(callsAfter, callsBefore),
      outcomes,
      restartedAt,
      folder,
    };
  } finally {
    clearInterval(telling);
    balancer.stop();
    callers.end();
  }
}

function standIn(name: string, logFile: string, plan: object): Child {
  const path = join(dirname(fileURLToPath(import.meta.url)), `${name}.js`);
  const built = path.replace(/\/src\/cold_start\//, "/dist/cold_start/");
  return createChild([built, JSON.stringify(plan)], { logFile });
}

async function prepareInstances(
  {
    site,
    program,
    coreShare,
  }: Pick<ColdStartOptions, "site" | "program" | "coreShare">,
  {
    folder,
    storeAddress,
  }: { readonly folder: string; readonly storeAddress: string },
): Promise<{
  readonly children: readonly Child[];
  readonly addresses: readonly BalancedInstance[];
}> {
  const children: Child[] = [];
  const addresses: BalancedInstance[] = [];
  for (const { name, domain, ability } of site.instances) {
    const settings = await drawSettings(name, {
      domain,
      storeAddress,
      graceMs: GRACE_MS,
    });
    const file = join(folder, `${name}.json`);
    writeSettings(file, { ...settings, ability });
    const commandLine = [...program, "--settings", file];
    const logFile = join(folder, `${name}.log`);
    children.push(createChild(commandLine, { logFile, coreShare }));
    const { callers } = settings;
    addresses.push({
      domain,
      url: `http://${callers.host}:${callers.port}`,
      readyUrl: readyUrlOf(settings),
    });
  }
  return { children, addresses };
}

function endingOf(
  { loss, share }: Pick<ColdStartOptions, "loss" | "share">,
  {
    instances,
    servers,
  }: {
    readonly instances: readonly Child[];
    readonly servers: readonly Child[];
  },
): readonly Child[] {
  const count = Math.round(share * instances.length);
  const ending = loss === "servers" ? [] : instances.slice(0, count);
  return loss === "instances" ? ending : [...servers, ...ending];
}

async function untilAnswering(store: RemoteStore): Promise<void> {
  const endsAt = performance.now() + STORE_START_LIMIT_MS;
  for (;;) {
    try {
      await store.counts();
      return;
    } catch (error) {
      // Its process may still be starting.
      if (performance.now() > endsAt) throw error;
    }
    await pause(STORE_CHECK_MS);
  }
}

/** Waits until nearly all requests of the last seconds were served. */
async function untilUp(outcomes: readonly CallerOutcome[]): Promise<void> {
  const endsAt = performance.now() + START_LIMIT_MS;
  for (;;) {
    await pause(SERVED_CHECK_MS);
    const since = Date.now() - UP_WINDOW_MS;
    const recent = outcomes.filter(
      ({ endedAt, isStream }) => endedAt > since && isStream,
    );
    const served = recent.filter(({ isServed }) => isServed).length;
    const isLong = outcomes.some(({ sentAt }) => sentAt < since - UP_WINDOW_MS);
    if (isLong && served / Math.max(1, recent.length) > UP_SHARE) return;
    if (performance.now() > endsAt)
      throw new Error(`not up after ${START_LIMIT_MS} ms`);
  }
}

function countSeconds(
  outcomes: readonly CallerOutcome[],
  run: { readonly restartedAt: number; readonly watchMs: number },
): SecondReport[] {
  const first = -5;
  const count = Math.floor(run.watchMs / 1_000) - first;
  return Array.from({ length: count }, (_, index) => {
    const second = first + index;
    const within = outcomes.filter(
      ({ sentAt }) => Math.floor((sentAt - run.restartedAt) / 1_000) === second,
    );
    const firstStatuses: Record<number, number> = {};
    for (const { statuses } of within) {
      const status = statuses[0] ?? 0;
      firstStatuses[status] = (firstStatuses[status] ?? 0) + 1;
    }
    return {
      second,
      sent: within.length,
      served: within.filter(({ isServed }) => isServed).length,
      servedAtOnce: firstStatuses[200] ?? 0,
      firstStatuses,
    };
  });
}

function readPhases(
  folder: string,
  run: {
    readonly restartedAt: number;
    readonly outcomes: readonly CallerOutcome[];
  },
): Phase[] {
  const logs = readdirSync(folder).filter((name) => /^i-\d+\.log$/.test(name));
  const timesByName = new Map<string, number[]>();
  for (const name of logs) {
    const text = readFileSync(join(folder, name), "utf8");
    for (const [phase, at] of phaseTimesOf(text, run.restartedAt))
      timesByName.set(phase, [...(timesByName.get(phase) ?? []), at]);
  }
  const served = run.outcomes
    .filter(({ sentAt, isServed }) => isServed && sentAt >= run.restartedAt)
    .map(({ endedAt }) => endedAt - run.restartedAt);
  timesByName.set("served", served);
  return [...timesByName].flatMap(
    ([name, times]) => describePhase(name, times) ?? [],
  );
}

/** The usual values of the faults that were set. */
function withoutFaults(faults: Partial<StoreFaults>): Partial<StoreFaults> {
  const usual: Partial<StoreFaults> = {
    ...STORE_RATES,
    delayMs: STORE_DELAY_MS,
    down: false,
    silent: false,
    callsPerSecond: 0,
  };
  return Object.fromEntries(
    Object.keys(faults).map((name) => [name, usual[name as keyof StoreFaults]]),
  );
}

type Counts = Readonly<Record<string, number>>;

function differenceOf(after: Counts, before: Counts): Counts {
  return Object.fromEntries(
    Object.entries(after).map(([name, count]) => [
      name,
      count - (before[name] ?? 0),
    ]),
  );
}
