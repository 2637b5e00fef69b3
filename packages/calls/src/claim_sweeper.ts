/** Periodic removal of the claims of expired keys. */

import { storedKeys } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { expiredBuckets } from "./claim_key.ts";

const HOUR_MS = 3_600_000;
/** A sweep covers a day, to make up for hours in which no instance swept. */
const BUCKETS_PER_SWEEP = 24;
/** Limits the rate of removals, which share the store with bookings. */
const PAUSE_BETWEEN_REMOVALS_MS = 100;

const log = createLogger("claims");

export interface ClaimSweeperOptions {
  readonly deployment: string;
  readonly services: readonly string[];
  readonly store: ObjectStore;
  /**
   * Number of instances that sweep. Their delays grow with it, so that the
   * fleet sweeps about once an hour.
   */
  readonly instances: () => number;
  /** Returns a random number from 0 to 1. */
  readonly random?: () => number;
}

/** Sweeps expired claims at random times. */
export interface ClaimSweeper {
  /** Removes expired claims; resolves to the number of removed claims. */
  sweep(): Promise<number>;
  stop(): void;
}

/**
 * Creates a sweeper and schedules its first sweep.
 *
 * Two instances may sweep the same bucket at once, as each removal is
 * conditional on the version that was listed. A delayed write can still
 * create an expired claim afterwards; the next sweep removes it.
 */
export function createClaimSweeper(options: ClaimSweeperOptions): ClaimSweeper {
  const { deployment, store, random = Math.random } = options;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  function schedule(): void {
    const maxDelayMs = 2 * HOUR_MS * options.instances();
    timer = setTimeout(() => void run(), random() * maxDelayMs);
  }

  async function run(): Promise<void> {
    const removed = await sweep();
    if (removed > 0) log.info("claims_removed", { count: removed });
    if (!stopped) schedule();
  }

  async function sweep(): Promise<number> {
    let removed = 0;
    for (const service of options.services) {
      for (const bucket of expiredBuckets(BUCKETS_PER_SWEEP)) {
        removed += await sweepBucket(service, bucket);
      }
    }
    return removed;
  }

  async function sweepBucket(service: string, bucket: string) {
    const prefix = storedKeys.claimBucket(deployment, service, bucket);
    const listed = await store.list(prefix);
    let removed = 0;
    for (const { key, version } of listed.kind === "ok" ? listed.value : []) {
      if (stopped) break;
      const result = await store.remove(key, { expectedVersion: version });
      if (result.kind === "ok") removed += 1;
      await new Promise((resolve) =>
        setTimeout(resolve, PAUSE_BETWEEN_REMOVALS_MS),
      );
    }
    return removed;
  }

  schedule();
  return {
    sweep,
    stop() {
      stopped = true;
      clearTimeout(timer);
    },
  };
}
