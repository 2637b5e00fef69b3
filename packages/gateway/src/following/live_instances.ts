/** Which other instances count as live, and for what. */
import type { Address } from "@rosemarypin/schemas";
import type { ObservedPresence, PresenceTable } from "./presence_table.ts";
import type { DomainInstance } from "./relay_choice.ts";

/** Another instance whose heartbeat has not expired. */
export interface LiveInstance extends DomainInstance {
  readonly failureDomain: string;
  /** Whether it reaches model engines, by its latest renewal. */
  readonly reachesEngines: boolean;
  /** Whether it takes requests over that are handed off to it. */
  readonly takesHandoffs: boolean;
}

/** Another instance as described by its presence object. */
export interface OtherInstance {
  readonly instance: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly isLive: boolean;
  /** Milliseconds since its object last changed, or it was known to be live. */
  readonly heardAgoMs: number;
}

/** Assumed until the first read of the objects succeeds. */
const INITIAL_INSTANCE_COUNT = 8;

export interface LiveInstances {
  /**
   * Number of instances in a failure domain that may be live, or in all with
   * `null`; this one is included. An instance with an expired heartbeat may only
   * be cut off and still send requests.
   */
  countPossiblyLive(failureDomain: string | null): number;
  /** Names of other instances in a failure domain that may send requests. */
  possibleSendersOf(failureDomain: string): readonly string[];
  /** Whether a failure domain has another live instance that reaches engines. */
  hasOtherLiveIn(failureDomain: string): boolean;
  /**
   * Number of live instances that reach engines and whose name sorts before this
   * one's, in one failure domain or, with `null`, in all.
   */
  countLiveBefore(failureDomain: string | null): number;
  /** All other instances, live or not, whose object exists. */
  others(): OtherInstance[];
  /** Addresses of other instances that are live or call their relays. */
  peers(): Address[];
  /** Other instances that are live or call their relays. */
  liveOthers(): LiveInstance[];
  /**
   * Other instances in this instance's failure domain that renew their objects,
   * and so reach the store.
   */
  liveDomainPeers(): DomainInstance[];
}

/** Tells them by what a table knows at present. */
export function createLiveInstances(
  table: PresenceTable,
  own: { readonly key: string; readonly failureDomain: string },
): LiveInstances {
  function runningOthers(): ObservedPresence[] {
    return table.entries().filter(({ presence }) => !presence.leaving);
  }

  function liveEntries(): ObservedPresence[] {
    return runningOthers().filter(table.isLive);
  }

  function describe({ instance, presence }: ObservedPresence): LiveInstance {
    const { ability } = presence;
    return {
      instance,
      failureDomain: presence.failureDomain,
      peer: presence.peer,
      reachesEngines: presence.reachesEngines !== false,
      takesHandoffs: presence.reachesEngines !== null,
      ...(ability === undefined ? {} : { ability }),
    };
  }

  function liveOthers(): LiveInstance[] {
    return runningOthers().filter(table.isReachable).map(describe);
  }

  /** Live instances that reach engines, in one domain or in all. */
  function reachingEntries(domain: string | null): ObservedPresence[] {
    return liveEntries().filter(
      ({ presence }) =>
        presence.reachesEngines !== false &&
        (domain === null || presence.failureDomain === domain),
    );
  }

  return {
    countPossiblyLive(domain) {
      const isIn = (other: string) => domain === null || other === domain;
      // One that is leaving goes on with the answers that it has begun.
      const others = table
        .entries()
        .filter(({ presence }) => isIn(presence.failureDomain))
        .filter(
          (other) => !other.presence.leaving || table.maySend(other),
        ).length;
      const count = others + (isIn(own.failureDomain) ? 1 : 0);
      const isUnknown = domain === null && !table.hasRead();
      return isUnknown ? Math.max(INITIAL_INSTANCE_COUNT, count) : count;
    },
    possibleSendersOf: (domain) =>
      runningOthers()
        .filter(({ presence }) => presence.failureDomain === domain)
        .filter(table.maySend)
        .map(({ instance }) => instance),
    hasOtherLiveIn: (domain) => reachingEntries(domain).length > 0,
    countLiveBefore: (domain) =>
      reachingEntries(domain).filter(({ key }) => key < own.key).length,
    others: () =>
      table.entries().map((observed) => ({
        instance: observed.instance,
        failureDomain: observed.presence.failureDomain,
        leaving: observed.presence.leaving,
        isLive: table.isLive(observed),
        heardAgoMs: table.heardAgoMs(observed),
      })),
    peers: () => liveOthers().flatMap(({ peer }) => peer ?? []),
    liveOthers,
    liveDomainPeers: () =>
      liveEntries()
        .filter(({ presence }) => presence.failureDomain === own.failureDomain)
        .map(describe),
  };
}
