/**
 * Heartbeats of instances through the store: each instance renews an object of
 * its own and treats others as live while their objects keep changing.
 */
import type { Address } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { createInterruptibleTimer } from "@rosemarypin/timing";
import { z } from "zod";
import type { DomainInstance } from "./relay_choice.ts";

/** Another instance whose heartbeat has not expired. */
export interface LiveInstance extends DomainInstance {
  readonly failureDomain: string;
  /** Whether it reaches model engines, by its latest renewal. */
  readonly reachesEngines: boolean;
  /** Whether it takes requests over that are handed off to it. */
  readonly takesHandoffs: boolean;
}

/** Prefix of the keys of presence objects in the store. */
export const PRESENCE_PREFIX = "rosemarypin-instances/";
/**
 * The renewal interval is this times the number of instances, within bounds.
 * The total rate of writes stays limited with many instances, and a failure is
 * detected sooner with few.
 */
const RENEWAL_INTERVAL_PER_INSTANCE_MS = 250;
const MIN_RENEWAL_INTERVAL_MS = 2_000;
const MAX_RENEWAL_INTERVAL_MS = 8_000;
/** An instance counts as dead after this many intervals without a renewal. */
const EXPIRY_RENEWALS = 2.5;
/**
 * How long an instance counts as a user of its domain's engines after its last
 * renewal. An instance that can't write to the store still sends requests; with
 * a shorter timeout its engines would look idle and be overloaded by others.
 */
const SENDER_TIMEOUT_MS = 10_000;
/** Objects without a renewal for this time are removed from the store. */
const CLEANUP_AFTER_MS = 60_000;

/** Assumed until the first read of the objects succeeds. */
const INITIAL_INSTANCE_COUNT = 8;

const log = createLogger("presence");

const presenceSchema = z.object({
  failureDomain: z.string(),
  /** Start of the process in Unix milliseconds. */
  startedAt: z.number(),
  renewal: z.number(),
  /** Address for calls from other instances; `null` if it has none. */
  peer: z.object({ host: z.string(), port: z.number() }).nullable(),
  leaving: z.boolean(),
  /**
   * Whether it reaches model engines, and may order them; `null` for instances
   * of a version that takes no requests over.
   */
  reachesEngines: z.boolean().nullable().default(null),
});

export type PresenceObject = z.infer<typeof presenceSchema>;

export interface Presence {
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
  /** Addresses of other live instances. */
  peers(): Address[];
  /** Other live instances. */
  liveOthers(): LiveInstance[];
  /** Other live instances in this instance's failure domain. */
  liveDomainPeers(): DomainInstance[];
  /** Resolves to whether the store answers a small read in time. */
  probeStore(timeoutMs: number): Promise<boolean>;
  /** Announces whether this instance reaches model engines. */
  setReachesEngines(reachesEngines: boolean): void;
  /** Announces that this instance is about to stop. */
  leave(): Promise<void>;
}

/** Another instance as described by its presence object. */
export interface OtherInstance {
  readonly instance: string;
  readonly failureDomain: string;
  readonly leaving: boolean;
  readonly isLive: boolean;
  /** Milliseconds since its object last changed. */
  readonly heardAgoMs: number;
}

interface ObservedPresence {
  readonly presence: PresenceObject;
  readonly version: number;
  readonly lastChangedAt: number;
}

/** Starts to renew this instance's object and to read those of others. */
export function startPresence(options: {
  readonly store: ObjectStore;
  readonly instance: string;
  readonly failureDomain: string;
  readonly peer: Address | null;
  readonly signal: AbortSignal;
}): Presence {
  const { store, instance, failureDomain, peer, signal } = options;
  const ownKey = `${PRESENCE_PREFIX}${instance}`;
  const startedAt = Date.now();
  const observedByKey = new Map<string, ObservedPresence>();
  let renewal = 0;
  let hasRead = false;
  let lastReadAt = -Infinity;
  let version: number | null = null;
  let reachesEngines = true;
  let announcedReachesEngines = true;
  const renewalTimer = createInterruptibleTimer();
  void run();

  async function run(): Promise<void> {
    while (!signal.aborted) {
      await write(false);
      await readOthers();
      // What changed while it was written is announced at once.
      if (announcedReachesEngines === reachesEngines)
        await renewalTimer.wait(renewalIntervalMs(), signal);
    }
  }

  function renewalIntervalMs(): number {
    const wantedMs =
      (observedByKey.size + 1) * RENEWAL_INTERVAL_PER_INSTANCE_MS;
    const boundedMs = Math.max(MIN_RENEWAL_INTERVAL_MS, wantedMs);
    return Math.min(MAX_RENEWAL_INTERVAL_MS, boundedMs);
  }

  /**
   * Whether the heartbeat had not expired at the last successful read. Ages are
   * measured then, so that none expires while the store is unreachable.
   */
  function isLive({ lastChangedAt }: ObservedPresence): boolean {
    return lastReadAt - lastChangedAt < EXPIRY_RENEWALS * renewalIntervalMs();
  }

  function senderTimeoutMs(): number {
    return Math.max(SENDER_TIMEOUT_MS, EXPIRY_RENEWALS * renewalIntervalMs());
  }

  async function write(leaving: boolean): Promise<void> {
    renewal += 1;
    announcedReachesEngines = reachesEngines;
    const value: PresenceObject = {
      failureDomain,
      startedAt,
      renewal,
      peer,
      leaving,
      reachesEngines,
    };
    const writeResult = await store.write(ownKey, value, {
      expectedVersion: version,
    });
    if (writeResult.kind === "ok") version = writeResult.value;
    // An earlier process wrote the object, or a response was lost: the next
    // write continues from the actual version.
    if (writeResult.kind === "conflict")
      version = writeResult.actual?.version ?? null;
  }

  async function readOthers(): Promise<void> {
    const listResult = await store.list(PRESENCE_PREFIX, { mayBeStale: true });
    if (listResult.kind !== "ok") return;
    hasRead = true;
    const now = performance.now();
    lastReadAt = now;
    for (const object of listResult.value) {
      if (object.key === ownKey) continue;
      const parsed = presenceSchema.safeParse(object.value);
      if (!parsed.success) continue;
      const previous = observedByKey.get(object.key);
      if (!previous) log.info("instance_seen", { key: object.key });
      const hasChanged = previous?.version !== object.version;
      observedByKey.set(object.key, {
        presence: parsed.data,
        version: object.version,
        lastChangedAt: hasChanged ? now : previous.lastChangedAt,
      });
    }
    const listedKeys = new Set(listResult.value.map((object) => object.key));
    for (const [key, observed] of observedByKey) {
      if (!listedKeys.has(key)) observedByKey.delete(key);
      else if (now - observed.lastChangedAt > CLEANUP_AFTER_MS) {
        await store.remove(key, { expectedVersion: observed.version });
        observedByKey.delete(key);
        log.info("instance_forgotten", { key });
      }
    }
  }

  /** Store keys and objects of other instances that are live and not leaving. */
  function liveEntries(): [string, ObservedPresence][] {
    return [...observedByKey]
      .filter(([, { presence }]) => !presence.leaving)
      .filter(([, observed]) => isLive(observed));
  }

  function livePresences(): PresenceObject[] {
    return liveEntries().map(([, { presence }]) => presence);
  }

  function liveOthers(): LiveInstance[] {
    return liveEntries().map(([key, { presence }]) => ({
      instance: key.slice(PRESENCE_PREFIX.length),
      failureDomain: presence.failureDomain,
      peer: presence.peer,
      reachesEngines: presence.reachesEngines !== false,
      takesHandoffs: presence.reachesEngines !== null,
    }));
  }

  /**
   * Names of other instances in a domain that may send requests. Ages are
   * measured at the last successful read, so that no instance is dropped while
   * the store is unreachable.
   */
  function possibleSendersIn(domain: string): string[] {
    return [...observedByKey]
      .filter(
        ([, { presence, lastChangedAt }]) =>
          presence.failureDomain === domain &&
          !presence.leaving &&
          lastReadAt - lastChangedAt < senderTimeoutMs(),
      )
      .map(([key]) => key.slice(PRESENCE_PREFIX.length));
  }

  function countReachingIn(domain: string): number {
    return livePresences().filter(
      ({ failureDomain, reachesEngines }) =>
        failureDomain === domain && reachesEngines !== false,
    ).length;
  }

  return {
    countPossiblyLive(domain) {
      const isIn = (other: string) => domain === null || other === domain;
      const others = [...observedByKey.values()].filter(
        ({ presence }) => !presence.leaving && isIn(presence.failureDomain),
      ).length;
      const count = others + (isIn(failureDomain) ? 1 : 0);
      const isUnknown = domain === null && !hasRead;
      return isUnknown ? Math.max(INITIAL_INSTANCE_COUNT, count) : count;
    },
    possibleSendersOf: possibleSendersIn,
    hasOtherLiveIn: (domain) => countReachingIn(domain) > 0,
    countLiveBefore: (domain) =>
      liveEntries().filter(
        ([key, { presence }]) =>
          key < ownKey &&
          presence.reachesEngines !== false &&
          (domain === null || presence.failureDomain === domain),
      ).length,
    others: () =>
      [...observedByKey].map(([key, observed]) => ({
        instance: key.slice(PRESENCE_PREFIX.length),
        failureDomain: observed.presence.failureDomain,
        leaving: observed.presence.leaving,
        isLive: isLive(observed),
        heardAgoMs: performance.now() - observed.lastChangedAt,
      })),
    peers: () => livePresences().flatMap((presence) => presence.peer ?? []),
    liveOthers,
    liveDomainPeers: () =>
      liveOthers().filter((other) => other.failureDomain === failureDomain),
    async probeStore(timeoutMs) {
      const options = { mayBeStale: true, timeoutMs };
      return (await store.read(ownKey, options)).kind === "ok";
    },
    setReachesEngines(value) {
      if (value === reachesEngines) return;
      reachesEngines = value;
      renewalTimer.interrupt();
    },
    leave: () => write(true),
  };
}
