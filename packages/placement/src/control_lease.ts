/** Lease on the right to order the engines of one failure domain. */

import {
  elapsedMs,
  type Moment,
  readMoment,
  surelyElapsedMs,
} from "@rosemarypin/release";
import {
  type LeaseObject,
  leaseObjectSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";

/** Duration of a lease, and the interval at which it is renewed or polled. */
export interface LeaseTimes {
  readonly durationMs: number;
  readonly stepEveryMs: number;
}

const DEFAULT_TIMES: LeaseTimes = { durationMs: 6_000, stepEveryMs: 2_000 };
/** Interval at which an instance checks whether it became a candidate. */
const CANDIDACY_CHECK_MS = 500;
/**
 * The holder stops ordering this long before its lease ends: an order in
 * flight takes up to 1 s, and clock rates may differ by up to 1 %.
 */
const SAFETY_MARGIN_MS = 1_500;
/** Bound on the duration of others' leases, which would block a domain. */
const MAX_DURATION_MS = 60_000;
/** A lost reply or a conflict is resolved by reading the lease once more. */
const MAX_ATTEMPTS_PER_STEP = 2;

const log = createLogger("lease");

export interface ControlLeaseOptions {
  readonly deployment: string;
  readonly failureDomain: string;
  readonly holder: string;
  readonly incarnation: number;
  readonly store: ObjectStore;
  /** Whether this instance competes for the lease; by default always. */
  readonly isCandidate?: () => boolean;
  readonly times?: LeaseTimes;
  /** Called after the lease was acquired. */
  readonly onAcquired?: () => void;
}

/** A lease that is certain to be valid now. */
export interface HeldLease {
  readonly fencingNumber: number;
  /** When the store confirmed the write that acquired the lease. */
  readonly since: Moment;
}

/** Competes for a lease, and renews it once acquired. */
export interface ControlLease {
  /** The lease if it is certain to be valid now, else `null`. */
  held(): HeldLease | null;
  /**
   * Releases the lease and stops competing for it. Orders in flight must have
   * ended before, as the next holder orders without waiting.
   */
  release(): Promise<void>;
}

interface HeldLeaseState extends HeldLease {
  /** When the write that acquired or last renewed it was sent. */
  readonly renewedAt: Moment;
  readonly version: number;
  readonly lease: LeaseObject;
}

/** Starts to acquire the lease, and to renew it once acquired. */
export function createControlLease(options: ControlLeaseOptions): ControlLease {
  const { store, failureDomain } = options;
  const key = storedKeys.lease(options.deployment, failureDomain);
  const isCandidate = options.isCandidate ?? (() => true);
  const times = options.times ?? DEFAULT_TIMES;
  let heldLease: HeldLeaseState | null = null;
  /** Version last read of another holder's lease, and when first read. */
  let observed: { version: number; firstReadAt: Moment } | null = null;
  let stopped = false;
  let currentStep: Promise<void> = Promise.resolve();
  let timer: NodeJS.Timeout | undefined;
  void runLoop();

  async function runLoop(): Promise<void> {
    currentStep = step();
    await currentStep;
    if (stopped) return;
    const isCompeting = heldLease !== null || isCandidate();
    const waitMs = isCompeting ? times.stepEveryMs : CANDIDACY_CHECK_MS;
    timer = setTimeout(() => void runLoop(), waitMs);
  }

  async function step(): Promise<void> {
    if (heldLease) {
      if (!isCandidate()) return releaseHeld();
      if (await renew(heldLease)) return;
    } else if (!isCandidate()) {
      observed = null;
      return;
    }
    for (let attempt = 0; attempt < MAX_ATTEMPTS_PER_STEP; attempt += 1) {
      if (stopped || (await tryAcquire())) return;
    }
  }

  /** Renews without a read; a changed version makes the write conflict. */
  async function renew(current: HeldLeaseState): Promise<boolean> {
    const lease = {
      ...current.lease,
      renewal: current.lease.renewal + 1,
    };
    return write(lease, { version: current.version, since: current.since });
  }

  /**
   * Reads the lease and acquires it if it is free. Resolves to `false` after
   * a conflict or a lost reply, when another attempt can succeed at once.
   */
  async function tryAcquire(): Promise<boolean> {
    const result = await store.read(key);
    if (result.kind !== "ok") return true;
    const lease = parseLease(result.value);
    if (lease === "unreadable") return true;
    const version = result.value?.version ?? null;
    if (lease === null) return acquire(1, version);
    // The reply to an earlier write was lost, but this instance has the lease.
    if (isOwn(lease) && !lease.released) return renewOwn(lease, version);
    const isFree = lease.released || isEarlierIncarnation(lease);
    if (isFree) return acquire(lease.fencingNumber + 1, version);
    if (observed === null || observed.version !== version) {
      observed = { version: version ?? 0, firstReadAt: readMoment() };
      return true;
    }
    // Clocks of instances are not compared: a lease has lapsed when its version
    // has not changed for its whole duration by the local clock.
    const durationMs = Math.min(lease.durationMs, MAX_DURATION_MS);
    if (surelyElapsedMs(observed.firstReadAt) < durationMs) return true;
    return acquire(lease.fencingNumber + 1, version);
  }

  function isOwn(lease: LeaseObject): boolean {
    const { holder, incarnation } = options;
    return lease.holder === holder && lease.incarnation === incarnation;
  }

  /**
   * Whether a previous process of this instance holds the lease. That process
   * has ended and sends no more orders, so the lease is acquired at once.
   * Waiting until it lapses would leave lost layers unplaced for 6 s.
   */
  function isEarlierIncarnation(lease: LeaseObject): boolean {
    const { holder, incarnation } = options;
    return lease.holder === holder && lease.incarnation < incarnation;
  }

  function renewOwn(
    lease: LeaseObject,
    version: number | null,
  ): Promise<boolean> {
    const since = heldLease?.since ?? readMoment();
    const renewed = { ...lease, renewal: lease.renewal + 1 };
    return write(renewed, { version, since });
  }

  function acquire(
    fencingNumber: number,
    version: number | null,
  ): Promise<boolean> {
    const { holder, incarnation } = options;
    const lease: LeaseObject = {
      holder,
      incarnation,
      fencingNumber,
      durationMs: times.durationMs,
      renewal: 0,
      released: false,
    };
    return write(lease, { version, since: null });
  }

  async function write(
    lease: LeaseObject,
    base: { readonly version: number | null; readonly since: Moment | null },
  ): Promise<boolean> {
    const renewedAt = readMoment();
    const written = await store.write(key, lease, {
      expectedVersion: base.version,
    });
    if (written.kind !== "ok") {
      // The lease stays valid until it lapses by the local clock: another
      // instance can acquire it only after its duration.
      log.detail("lease_write", { domain: failureDomain, kind: written.kind });
      return written.kind !== "conflict" && written.kind !== "reply_lost";
    }
    if (stopped) return true;
    const isNewlyAcquired = heldLease?.fencingNumber !== lease.fencingNumber;
    const { fencingNumber } = lease;
    const since = base.since ?? readMoment();
    const version = written.value;
    // The holder times the lease from before its write and other instances
    // from their read, which is later, so the holder's lease ends first.
    heldLease = { fencingNumber, since, renewedAt, version, lease };
    if (isNewlyAcquired) {
      log.info("lease_held", {
        domain: failureDomain,
        fencing_number: fencingNumber,
      });
      options.onAcquired?.();
    }
    return true;
  }

  async function releaseHeld(): Promise<void> {
    if (!heldLease) return;
    const { lease, version } = heldLease;
    heldLease = null;
    const released = { ...lease, released: true };
    await store.write(key, released, { expectedVersion: version });
    log.info("lease_released", { domain: failureDomain });
  }

  return {
    // Reads the clock on each call, so that a process that was paused past the
    // end of its lease sends no order.
    held() {
      if (!heldLease || stopped) return null;
      const leftMs =
        heldLease.lease.durationMs -
        SAFETY_MARGIN_MS -
        elapsedMs(heldLease.renewedAt);
      return leftMs > 0 ? heldLease : null;
    },
    async release() {
      stopped = true;
      clearTimeout(timer);
      await currentStep;
      await releaseHeld();
    },
  };
}

function parseLease(
  object: StoredObject | null,
): LeaseObject | null | "unreadable" {
  if (object === null) return null;
  const parsed = leaseObjectSchema.safeParse(object.value);
  if (parsed.success) return parsed.data;
  // If fencing numbers restarted at 1, engines that check them would refuse
  // every order.
  log.warn("bad_lease", { key: object.key, reason: parsed.error.message });
  return "unreadable";
}
