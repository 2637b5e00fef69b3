/** `npm run bench -- store`: what the fleet costs the object API. */

import { setMaxListeners } from "node:events";
import {
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { type StoreStandIn, startStore } from "@rosemarypin/platform/stand_in";
import { pause } from "@rosemarypin/timing";
import { request } from "undici";
import type { BenchCommand } from "../bench_command.ts";
import {
  type StartClient,
  startOwnClient,
  startPlainClient,
} from "./clients.ts";

const FLEET = 340;
const SETTLE_MS = 5_000;
const REST_MS = 20_000;
const OUTAGE_MS = 15_000;
const RETURN_MS = 12_000;
const SAMPLE_MS = 1_000;

/** Calls at rest with real daemons, then the return of the store. */
export const storeBench: BenchCommand = {
  summary: "store calls at rest, and after the store's return",
  async run() {
    const atRest = await measureRest();
    console.log(`calls/s per instance at rest: ${atRest.toFixed(2)}`);
    console.log(
      "clients | before calls/s | outage calls/s | return peak calls/s in 1 s | 99% back s",
    );
    const plain = await measureReturn("plain", startPlainClient);
    const own = await measureReturn("own", startOwnClient);
    console.log(
      `store calls/s per instance ${atRest.toFixed(2)} return peak plain ${plain} own ${own}`,
    );
    return 0;
  },
};

/** Four daemons with nothing to do: watch and leases only. */
async function measureRest(): Promise<number> {
  const plan = await planDeployment(kanemShape);
  const url = plan.daemons[0]?.platform.objectApi ?? "";
  const deployment = await startDeployment(plan);
  try {
    await pause(SETTLE_MS);
    const before = await readCalls(url);
    await pause(REST_MS);
    const calls = (await readCalls(url)) - before;
    return calls / (REST_MS / 1_000) / plan.daemons.length;
  } finally {
    await deployment.stop();
  }
}

/** Takes the store away from a whole fleet and gives it back. */
async function measureReturn(
  name: string,
  startClient: StartClient,
): Promise<number> {
  const server = await startStore();
  const { address } = server;
  server.put("bench-notes", "head", {});
  const stopping = new AbortController();
  const { signal } = stopping;
  setMaxListeners(0, signal);
  for (let at = 0; at < FLEET; at++)
    startClient({ address, fleet: FLEET, signal });
  await pause(SETTLE_MS);
  const before = await sample(server, SETTLE_MS);
  server.setFaults({ down: true });
  const outage = await sample(server, OUTAGE_MS);
  server.setFaults({ down: false });
  const back = await sample(server, RETURN_MS);
  stopping.abort();
  await server.stop();
  const peak = Math.round(Math.max(...back.rates));
  const backAfter = (back.watchesBackMs / 1_000).toFixed(1);
  console.log(
    [name, mean(before.rates), mean(outage.rates), peak, backAfter].join(" | "),
  );
  return peak;
}

/** Calls a second in each sample, and when 99% of the watches stood again. */
async function sample(server: StoreStandIn, durationMs: number) {
  const startedAt = performance.now();
  const rates: number[] = [];
  let watchesBackMs = Infinity;
  let last = { ...server.counts };
  const watchesBefore = last.watch ?? 0;
  let lastAt = startedAt;
  while (performance.now() - startedAt < durationMs) {
    await pause(SAMPLE_MS);
    const counts = { ...server.counts };
    const now = performance.now();
    const calls = (counts.calls ?? 0) - (last.calls ?? 0);
    rates.push((calls / (now - lastAt)) * 1_000);
    const watches = (counts.watch ?? 0) - watchesBefore;
    if (watches >= FLEET * 0.99) {
      watchesBackMs = Math.min(watchesBackMs, now - startedAt);
    }
    last = counts;
    lastAt = now;
  }
  return { rates, watchesBackMs };
}

function mean(values: readonly number[]): number {
  const sum = values.reduce((total, value) => total + value, 0);
  return Math.round(sum / values.length);
}

async function readCalls(url: string): Promise<number> {
  const response = await request(`${url}/counts`);
  const counts = (await response.body.json()) as Record<string, number>;
  return counts.calls ?? 0;
}
