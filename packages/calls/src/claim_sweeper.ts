/** Removes claims of keys that have expired. */

import { storedKeys } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { expiredBuckets } from "./claim_key.ts";

const HOUR_MS = 3_600_000;
/** A day's buckets are looked through, for hours in which none swept. */
const BUCKETS = 24;
/** Slow, so that bookings keep the store's calls for themselves. */
const PAUSE_MS = 100;

const log = createLogger("claims");

export interface ClaimSweeperOptions {
  readonly deployment: string;
  readonly services: readonly string[];
  readonly store: ObjectStore;
  /** How many instances sweep, so that one an hour does on average. */
  readonly instances: () => number;
  /** A number from 0 to 1. */
  readonly random?: () => number;
}

/** Sweeps now and then. */
export interface ClaimSweeper {
  /** Removes what has expired; resolves to how many claims it removed. */
  sweep(): Promise<number>;
  stop(): void;
}

/**
 * Starts to sweep at random times.
 *
 * Two instances may sweep the same bucket: a removal holds only for the
 * version that was read, and expired claims are never written again, but for
 * a late write, which the next sweep finds.
 */
export function createClaimSweeper(options: ClaimSweeperOptions): ClaimSweeper {
  const { deployment, store, random = Math.random } = options;
  let timer: NodeJS.Timeout | undefined;
  let stopped = false;

  function schedule(): void {
    const longestMs = 2 * HOUR_MS * options.instances();
    timer = setTimeout(() => void run(), random() * longestMs);
  }

  async function run(): Promise<void> {
    const removed = await sweep();
    if (removed > 0) log.info("claims_removed", { count: removed });
    if (!stopped) schedule();
  }

  async function sweep(): Promise<number> {
    let removed = 0;
    for (const service of options.services) {
      for (const bucket of expiredBuckets(BUCKETS)) {
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
      await new Promise((resolve) => setTimeout(resolve, PAUSE_MS));
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
