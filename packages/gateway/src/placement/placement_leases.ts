/**
 * Leases that decide which instance may send layer orders to the engines of a
 * failure domain.
 */
import type { PeerMethods } from "@rosemarypin/membership";
import { type ControlLease, createControlLease } from "@rosemarypin/placement";
import type { ObjectStore } from "@rosemarypin/store";
import type { Presence } from "../following/mod.ts";
import {
  type CallPeer,
  createOutageOrders,
  HOLDS_LEASE_METHOD,
} from "./outage_orders.ts";

/**
 * Duration of a store outage after which one instance may order the engines of
 * its own domain without a lease. Leases can't be renewed or acquired during
 * an outage, so if the holder has stopped, layers of lost engines would stay
 * unserved until the store recovers. Each order carries the order count that
 * it expects, so of two concurrent orders the engine refuses one.
 */
const STORE_OUTAGE_FALLBACK_MS = 500;
/**
 * Maximum number of instances that compete for one lease. Each candidate reads
 * the lease every two seconds, so the limit keeps the load on the store
 * independent of the number of instances.
 */
const MAX_CANDIDATES_PER_LEASE = 2;
/**
 * Shorter than the default of control leases: a domain may have a single
 * instance, and layers of its lost engines are not placed while its lease has
 * no holder.
 */
const LEASE_TIMES = { durationMs: 4_000, stepEveryMs: 2_000 };
/**
 * Time after the start before an instance may acquire the lease of another
 * domain, which it does only while that domain has no live instance.
 */
const FOREIGN_TAKEOVER_DELAY_MS = 3_000;

/**
 * Whether this instance reaches engines; `checking` while a check is in progress
 * after failures.
 */
export type EngineReach = "reached" | "checking" | "cut_off";

export interface PlacementLeases {
  /**
   * Fencing number for orders to the domain's engines, or `null` while this
   * instance may not send any.
   */
  fencingNumberFor(failureDomain: string): number | null;
  /** Registers a callback for each lease that is acquired. */
  onAcquired(callback: () => void): void;
  /** Methods that other instances of the domain call. */
  readonly peerMethods: PeerMethods;
  /** Releases all leases. */
  release(): Promise<void>;
}

/**
 * Creates the leases. That of the own domain is requested at once, each other
 * one when `fencingNumberFor` is called for its domain.
 */
export function createPlacementLeases(options: {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  readonly presence: Presence;
  readonly engineReach: () => EngineReach;
  /** Milliseconds since store calls began to fail; 0 while they succeed. */
  readonly storeOutageMs: () => number;
  readonly callPeer: CallPeer;
}): PlacementLeases {
  const startedAt = performance.now();
  /** Latest fencing number that this instance held, by domain. */
  const lastFencingNumbers = new Map<string, number>();
  const leases = new Map<string, ControlLease>();
  const outageOrders = createOutageOrders(options);
  const acquiredCallbacks: (() => void)[] = [];

  function isCandidateFor(domain: string): boolean {
    const { failureDomain, presence } = options;
    if (options.engineReach() === "cut_off") return false;
    // Before the others are known, each instance would take itself for the first.
    if (!presence.knowsOthers()) return false;
    if (domain === failureDomain)
      return presence.countLiveBefore(domain) < MAX_CANDIDATES_PER_LEASE;
    const hasJustStarted =
      performance.now() - startedAt < FOREIGN_TAKEOVER_DELAY_MS;
    if (hasJustStarted || presence.hasOtherLiveIn(domain)) return false;
    return presence.countLiveBefore(null) < MAX_CANDIDATES_PER_LEASE;
  }

  function leaseFor(domain: string): ControlLease {
    const existing = leases.get(domain);
    if (existing) return existing;
    const lease = createControlLease({
      deployment: "engines",
      failureDomain: domain,
      holder: options.instance,
      incarnation: Date.now(),
      store: options.store,
      isCandidate: () => isCandidateFor(domain),
      times: LEASE_TIMES,
      onAcquired() {
        for (const callback of acquiredCallbacks) callback();
      },
    });
    leases.set(domain, lease);
    return lease;
  }

  // Its engines can be ordered as soon as they are known.
  leaseFor(options.failureDomain);

  return {
    fencingNumberFor(domain) {
      const held = leaseFor(domain).held();
      // Engines that can't be reached look dead from here, and are not.
      if (options.engineReach() !== "reached") return null;
      if (held) lastFencingNumbers.set(domain, held.fencingNumber);
      if (held) return held.fencingNumber;
      const isOwnDomain = domain === options.failureDomain;
      const isStoreDown = options.storeOutageMs() > STORE_OUTAGE_FALLBACK_MS;
      return isOwnDomain && isStoreDown && outageOrders.mayOrder()
        ? (lastFencingNumbers.get(domain) ?? 0)
        : null;
    },
    onAcquired(callback) {
      acquiredCallbacks.push(callback);
    },
    peerMethods: {
      [HOLDS_LEASE_METHOD]: () =>
        Boolean(leases.get(options.failureDomain)?.held()),
    },
    async release() {
      await Promise.all([...leases.values()].map((lease) => lease.release()));
    },
  };
}
