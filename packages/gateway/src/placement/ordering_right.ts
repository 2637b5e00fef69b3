/** The right to order the engines of each failure domain. */
import { type ControlLease, createControlLease } from "@rosemarypin/placement";
import type { ObjectStore } from "@rosemarypin/store";
import type { Presence } from "../following/mod.ts";

/**
 * After so long without the store, an instance may order the engines of its
 * own domain without a lease. Nobody can renew or take one then: the holder
 * may have stopped, and layers of lost engines would stay away for as long as
 * the store. Each order names the state that it is meant for, so of two
 * instances that order at once one is refused.
 */
const WITHOUT_STORE_AFTER_MS = 500;
/**
 * Instances that try to hold one lease. Each looks at it every two seconds, so
 * the store's calls for leases do not grow with the number of instances.
 */
const CANDIDATES = 2;
/**
 * A lease lasts shorter than usual: a domain may have a single instance, and
 * while nobody holds its lease, layers of its lost engines are placed nowhere.
 */
const LEASE_TIMES = { durationMs: 4_000, stepEveryMs: 2_000 };
/** An instance of another domain takes over when none of its own lives. */
const FOREIGN_AFTER_MS = 3_000;

export interface OrderingRight {
  /** Fencing number while the right is held, else `null`. */
  forDomain(failureDomain: string): number | null;
  /** Gives all rights back. */
  release(): Promise<void>;
}

/** Starts to acquire the rights as domains become known. */
export function createOrderingRight(options: {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  readonly presence: Presence;
  /** Milliseconds since calls of the store began to fail; 0 if they work. */
  readonly storeAwayMs: () => number;
}): OrderingRight {
  const startedAt = performance.now();
  /** Highest fencing number that this instance held, by domain. */
  const lastNumbers = new Map<string, number>();
  const leases = new Map<string, ControlLease>();

  function mayHold(domain: string): boolean {
    const { failureDomain, presence } = options;
    if (domain === failureDomain) return presence.ahead(domain) < CANDIDATES;
    const isNew = performance.now() - startedAt < FOREIGN_AFTER_MS;
    if (isNew || presence.hasOther(domain)) return false;
    return presence.ahead(null) < CANDIDATES;
  }

  function leaseOf(domain: string): ControlLease {
    const known = leases.get(domain);
    if (known) return known;
    const lease = createControlLease({
      deployment: "engines",
      failureDomain: domain,
      holder: options.instance,
      incarnation: Date.now(),
      store: options.store,
      isCandidate: () => mayHold(domain),
      times: LEASE_TIMES,
    });
    leases.set(domain, lease);
    return lease;
  }

  return {
    forDomain(domain) {
      const held = leaseOf(domain).held();
      if (held) lastNumbers.set(domain, held.fencingNumber);
      if (held) return held.fencingNumber;
      const isOwn = domain === options.failureDomain;
      const isAway = options.storeAwayMs() > WITHOUT_STORE_AFTER_MS;
      return isOwn && isAway ? (lastNumbers.get(domain) ?? 0) : null;
    },
    async release() {
      await Promise.all([...leases.values()].map((lease) => lease.release()));
    },
  };
}
