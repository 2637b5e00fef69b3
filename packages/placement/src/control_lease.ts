/** The right to order the engines of one failure domain. */
import type { ObjectStore, StoredObject } from "@rosemarypin/platform";
import {
  type LeaseObject,
  leaseObjectSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

const DURATION_MS = 6_000;
const RENEW_EVERY_MS = 2_000;
/**
 * The holder stops this long before the lease ends: an order in flight takes
 * up to a second, and clocks may run up to one in a hundred apart.
 */
const SAFETY_MARGIN_MS = 1_500;

const log = createLogger("lease");

export interface ControlLeaseOptions {
  readonly deployment: string;
  readonly failureDomain: string;
  readonly holder: string;
  readonly incarnation: number;
  readonly store: ObjectStore;
}

/** A lease that is kept for as long as the process can. */
export interface ControlLease {
  /** Fencing number while the lease surely holds, else `null`. */
  fencingNumber(): number | null;
  stop(): void;
}

/** Starts to acquire and then to renew the lease. */
export function createControlLease(options: ControlLeaseOptions): ControlLease {
  const key = storedKeys.lease(options.deployment, options.failureDomain);
  let held: { fencingNumber: number; until: number } | null = null;
  /** What was last read, and since when it has not moved. */
  let seen: { version: number; since: number } | null = null;
  const timer = setInterval(() => void step(), RENEW_EVERY_MS);
  void step();

  async function step(): Promise<void> {
    const read = await options.store.read(key);
    if (read.kind !== "ok") return;
    const now = performance.now();
    const lease = parseLease(read.value);
    if (read.value === null || lease === null) return acquire(read.value, 1);
    if (isOwn(lease)) return renew(read.value, lease);
    held = null;
    if (seen?.version !== read.value.version) {
      seen = { version: read.value.version, since: now };
      return;
    }
    // The holder's clock is not ours: only a lease that has not moved for its
    // whole duration, by our clock, has lapsed.
    if (now - seen.since < lease.durationMs) return;
    return acquire(read.value, lease.fencingNumber + 1);
  }

  function isOwn(lease: LeaseObject): boolean {
    return (
      lease.holder === options.holder &&
      lease.incarnation === options.incarnation
    );
  }

  function acquire(
    current: StoredObject | null,
    fencingNumber: number,
  ): Promise<void> {
    return write(current, { ...ownLease(fencingNumber), renewal: 0 });
  }

  function renew(current: StoredObject, lease: LeaseObject): Promise<void> {
    return write(current, { ...lease, renewal: lease.renewal + 1 });
  }

  function ownLease(fencingNumber: number): LeaseObject {
    return {
      holder: options.holder,
      incarnation: options.incarnation,
      fencingNumber,
      durationMs: DURATION_MS,
      renewal: 0,
    };
  }

  async function write(
    current: StoredObject | null,
    lease: LeaseObject,
  ): Promise<void> {
    const sentAt = performance.now();
    const written = await options.store.write(key, lease, {
      expectedVersion: current?.version ?? null,
    });
    if (written.kind !== "ok") return;
    if (held?.fencingNumber !== lease.fencingNumber) {
      log.info("lease_held", {
        domain: options.failureDomain,
        fencing_number: lease.fencingNumber,
      });
    }
    // Counted from before the write: others count from after it.
    const until = sentAt + lease.durationMs - SAFETY_MARGIN_MS;
    held = { fencingNumber: lease.fencingNumber, until };
  }

  return {
    // The clock is read on each use, so a holder that was frozen past the end
    // of its lease finds out before it orders anything.
    fencingNumber() {
      if (!held || performance.now() >= held.until) return null;
      return held.fencingNumber;
    },
    stop() {
      clearInterval(timer);
      held = null;
    },
  };
}

function parseLease(object: StoredObject | null): LeaseObject | null {
  const parsed = leaseObjectSchema.safeParse(object?.value);
  return parsed.success ? parsed.data : null;
}
