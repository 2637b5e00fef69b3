/** Store calls, bytes and added latency of a booking, for each way. */

import {
  type Claim,
  type ClaimRequest,
  createObjectClaimStore,
} from "@rosemarypin/calls";
import { createObjectStore } from "@rosemarypin/platform";
import { startStore } from "@rosemarypin/platform/stand_in";
import {
  createGuardedObjectStore,
  LONG_WATCH_TIMEOUTS,
  type ObjectStore,
} from "@rosemarypin/store";
import { pause } from "@rosemarypin/timing";
import { build, type Histogram } from "hdr-histogram-js";
import type { BenchCommand } from "../bench_command.ts";
import { measureConnections } from "./connections.ts";
import { countStore, type StoreCost } from "./counted_store.ts";
import {
  createShardClaims,
  type ShardOptions,
  shardOf,
} from "./shard_claims.ts";

const INSTANCES = 4;
const STORE_DELAY_MS = 3;
/** There and back between failure domains. */
const PEER_HOP_MS = 0.5;
const RUN_MS = 3_000;
const RATES = [10, 100, 200];
const MICROSECONDS = 1_000;
const ANSWERED = {
  kind: "answered",
  status: 201,
  contentType: "application/json",
  body: "x".repeat(400),
  isDelimited: true,
} as const;

/** One instance's way to claim and to settle one booking. */
interface Way {
  readonly claim: (request: ClaimRequest) => Promise<boolean>;
  readonly settle: (request: ClaimRequest) => Promise<unknown>;
}

const SIXTEEN: ShardOptions = { shards: 16, gatherMs: 0 };

type Ways = (stores: readonly ObjectStore[]) => readonly Way[];

const ways: Readonly<Record<string, Ways>> = {
  "one record per key": (stores) => stores.map(recordWay),
  "16 shards, any writer": (stores) =>
    stores.map((store) => shardWay(store, SIXTEEN)),
  "16 shards, one owner each": (stores) => ownedShards(stores, SIXTEEN),
  "4 shards, one owner each, 20 ms groups": (stores) =>
    ownedShards(stores, { shards: 4, gatherMs: 20 }),
};

export const command: BenchCommand = {
  summary: "store calls and latency of bookings, for each way to claim them",
  async run() {
    for (const [name, create] of Object.entries(ways)) {
      for (const rate of RATES) await measure(name, { create, rate });
    }
    await measureConnections();
    return 0;
  },
};

async function measure(
  name: string,
  options: { readonly create: Ways; readonly rate: number },
): Promise<void> {
  const api = await startStore();
  api.faults.delayMs = STORE_DELAY_MS;
  const cost: StoreCost = { calls: 0, bytes: 0 };
  const stores = Array.from({ length: INSTANCES }, () =>
    countStore(
      createGuardedObjectStore({
        client: createObjectStore(api.address, LONG_WATCH_TIMEOUTS),
        callsPerSecond: 10_000,
      }),
      cost,
    ),
  );
  const latency = build();
  const result = await drive(options.create(stores), {
    rate: options.rate,
    latency,
  });
  const micros = (percentile: number) =>
    (latency.getValueAtPercentile(percentile) / MICROSECONDS).toFixed(1);
  console.log(
    `way="${name}" bookings_per_second=${options.rate} ` +
      `store_calls_per_booking=${(cost.calls / result.bookings).toFixed(2)} ` +
      `bytes_written_per_booking=${Math.round(cost.bytes / result.bookings)} ` +
      `claim_p50_ms=${micros(50)} claim_p99_ms=${micros(99)} ` +
      `refused=${result.refused} bookings=${result.bookings}`,
  );
  await api.stop();
}

/** Bookings come at an even rate, whether or not earlier ones have ended. */
async function drive(
  instances: readonly Way[],
  options: { readonly rate: number; readonly latency: Histogram },
) {
  const { rate, latency } = options;
  const running: Promise<void>[] = [];
  const startedAt = performance.now();
  let bookings = 0;
  let refused = 0;

  async function book(number: number): Promise<void> {
    const way = instances[number % instances.length];
    if (!way) return;
    const request = requestOf(number);
    const claimedAt = performance.now();
    const won = await way.claim(request);
    const tookMs = performance.now() - claimedAt;
    latency.recordValue(Math.round(tookMs * MICROSECONDS));
    if (!won) refused += 1;
    else await way.settle(request);
  }

  while (performance.now() - startedAt < RUN_MS) {
    const due = ((performance.now() - startedAt) / 1_000) * rate;
    while (bookings < due) running.push(book(bookings++));
    await pause(1);
  }
  await Promise.all(running);
  return { bookings, refused };
}

function requestOf(number: number): ClaimRequest {
  return {
    service: "dealer-app",
    organisation: "kano",
    idempotencyKey: `order-${number}`,
    requestId: `00000000-0000-4000-8000-${String(number).padStart(12, "0")}`,
    fingerprint: "f".repeat(64),
  };
}

function recordWay(store: ObjectStore, index: number): Way {
  const claims = createObjectClaimStore({
    deployment: "bench",
    owner: `entry-${index}`,
    incarnation: 1,
    store,
  });
  const held = new Map<string, Claim>();
  return {
    async claim(request) {
      const result = await claims.claim(request);
      if (result.kind !== "claimed") return false;
      held.set(request.requestId, result.claim);
      return true;
    },
    async settle({ requestId }) {
      const claim = held.get(requestId);
      held.delete(requestId);
      if (claim) await claims.settle(claim, ANSWERED);
    },
  };
}

function shardWay(store: ObjectStore, options: ShardOptions): Way {
  const claims = createShardClaims(store, options);
  return {
    claim: claims.claim,
    settle: (request) => claims.settle(request, ANSWERED),
  };
}

/** Each instance hands a booking to the owner of its shard. */
function ownedShards(
  stores: readonly ObjectStore[],
  options: ShardOptions,
): readonly Way[] {
  const owners = stores.map((store) => createShardClaims(store, options));
  return stores.map((_, index) => {
    async function ask<T>(
      request: ClaimRequest,
      work: (owner: (typeof owners)[number]) => Promise<T>,
    ): Promise<T> {
      const at =
        shardOf(request.idempotencyKey, options.shards) % owners.length;
      if (at !== index) await pause(PEER_HOP_MS);
      const owner = owners[at];
      if (!owner) throw new Error(`no instance owns shard ${at}`);
      return work(owner);
    }
    return {
      claim: (request) => ask(request, (owner) => owner.claim(request)),
      settle: (request) =>
        ask(request, (owner) => owner.settle(request, ANSWERED)),
    };
  });
}
