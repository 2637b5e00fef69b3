/** Slopes of what an instance does for control, besides its answers. */
import {
  chooseEngines,
  createEngineFleet,
  type EngineClient,
  type EngineSnapshot,
} from "@rosemarypin/backends";
import { createRouter } from "@rosemarypin/routing";
import { type AnswerRequest, settingsSchema } from "@rosemarypin/schemas";
import { createMetrics } from "@rosemarypin/telemetry";
import { sampleEngine, sampleMember, sampleVersion } from "./sample_objects.ts";
import { heapBytes, microsPerCall } from "./slope.ts";

const silent = { readState: async () => null } as unknown as EngineClient;

/** Heap of a fleet that knows `count` engines. */
export function fleetBytes(count: number): number {
  const engines = listOf(count, (index) => sampleEngine(index));
  const states = engines.flatMap(({ state }) => state ?? []);
  return heapBytes(() => {
    const settings = engines.map((engine) => engine.settings);
    const fleet = createEngineFleet({ engines: settings, client: silent });
    for (const state of states) fleet.observe(state);
    fleet.stop();
    return fleet;
  });
}

/** Microseconds of one choice of a subset of 650 engines. */
export function subsetMicros(instances: number): number {
  const members = listOf(instances, sampleMember);
  const engines = listOf(650, (index) => ({
    ...sampleEngine(index).settings,
    failureDomain: `domain-${index % 8}`,
  }));
  const self = sampleMember(0);
  return microsPerCall(() => void chooseEngines(engines, { self, members }), {
    calls: 3,
    rounds: 3,
  });
}

/** Bytes of heap that the latency metrics of `models` models take. */
export function metricsBytes(models: number): number {
  return heapBytes(() => observedMetrics(models));
}

/** Length of the page that is scraped. */
export async function metricsPageBytes(models: number): Promise<number> {
  return (await observedMetrics(models).registry.metrics()).length;
}

function observedMetrics(models: number) {
  const metrics = createMetrics();
  for (let index = 0; index < models; index++) {
    const model = `model-${index}`;
    metrics.firstToken.observe({ model }, 0.1);
    metrics.betweenTokens.observe({ model }, 0.1);
    for (const outcome of ["done", "not_run", "failed"]) {
      metrics.requests.inc({ kind: "answer", name: model, outcome });
    }
  }
  return metrics;
}

/** The router's part of one request without its tokens, by engines used. */
export async function requestMicros(count: number): Promise<number> {
  const { acquire } = createSampleRouter(count);
  const requests = 2_000;
  const before = process.cpuUsage();
  for (let index = 0; index < requests; index++) (await acquire()).release();
  const { user, system } = process.cpuUsage(before);
  return (user + system) / requests;
}

/** The router's part of one token. */
export async function tokenMicros(count: number): Promise<number> {
  const grant = await createSampleRouter(count).acquire();
  return microsPerCall(() => grant.observeToken(), { calls: 20_000 });
}

function createSampleRouter(count: number) {
  const engines: EngineSnapshot[] = listOf(count, (index) =>
    sampleEngine(index),
  );
  const { shape } = settingsSchema;
  const limits = shape.limits.parse({});
  const objectives = shape.objectives.parse({});
  const router = createRouter({
    fleet: {
      engines: () => engines,
      observe() {},
      reportLost() {},
      occupy: () => () => {},
      stop() {},
    },
    failureDomain: "domain-1",
    limits,
    objectives,
    seed: 1,
  });
  const request: AnswerRequest = {
    requestId: "sample",
    organisation: "organisation-1",
    priority: "standard",
    model: "assist",
    adapter: undefined,
    promptTokens: ["a"],
    maxTokens: 100,
    deadlineAt: Date.now() + 3_600_000,
  };
  async function acquire() {
    const result = await router.acquire({
      request,
      version: sampleVersion,
      avoid: new Set(),
      isRecovery: false,
      signal: new AbortController().signal,
    });
    if (result.kind !== "granted") throw new Error("sample was not granted");
    return result.grant;
  }
  return { acquire };
}

function listOf<T>(count: number, make: (index: number) => T): T[] {
  return Array.from({ length: count }, (_, index) => make(index));
}
