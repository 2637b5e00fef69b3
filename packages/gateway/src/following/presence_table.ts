/**
 * What an instance knows of the others: their presence objects, and how long
 * ago each showed that it is live. It learns them from the store or a relay.
 */
import type { StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { z } from "zod";
import { createOccasionalWarning } from "./occasional_log.ts";
import type { RelayedPresence } from "./relay_protocol.ts";

/** Prefix of the keys of presence objects in the store. */
export const PRESENCE_PREFIX = "rosemarypin-instances/";
/**
 * The renewal interval is this times the number of instances, within bounds.
 * The total rate of writes stays limited with many instances, and a failure is
 * detected sooner with few.
 */
const RENEWAL_INTERVAL_PER_INSTANCE_MS = 250;
const MIN_RENEWAL_INTERVAL_MS = 2_000;
export const MAX_RENEWAL_INTERVAL_MS = 8_000;
/** An instance counts as dead after this many intervals without a renewal. */
const EXPIRY_RENEWALS = 2.5;
/**
 * How long an instance counts as a user of its domain's engines after its last
 * renewal. An instance that can't write to the store still sends requests; with
 * a shorter timeout its engines would look idle and be overloaded by others.
 */
const SENDER_TIMEOUT_MS = 10_000;
/**
 * How long an instance counts as reachable after a call to its relay. Followers
 * call at least every 850 ms.
 */
const CALLER_TIMEOUT_MS = 5_000;
/**
 * Time after an outage of the store in which no instance expires that was live
 * before: its renewals failed as well, and it repeats them within 4 s.
 */
const RECOVERY_GRACE_MS = 5_000;
const MAX_ABILITY = 1_000;
const MAX_INSTANCES = 100_000;

const log = createLogger("presence");
const warnUnreadable = createOccasionalWarning(log, "presence_unreadable");

/** Calls and datagrams to any other address would throw. */
const peerSchema = z.object({
  host: z.string().regex(/^[\w.:-]{1,253}$/),
  port: z.int().min(1).max(65_535),
});

export const presenceSchema = z.object({
  failureDomain: z.string(),
  /** Start of the process in Unix milliseconds. */
  startedAt: z.number(),
  renewal: z.number(),
  /** Address for calls from other instances; `null` if it has none. */
  peer: peerSchema.nullable(),
  leaving: z.boolean(),
  /**
   * Whether it reaches model engines, and may order them; `null` for instances
   * of a version that takes no requests over.
   */
  reachesEngines: z.boolean().nullable().default(null),
  /**
   * Relative processor share. Without it, or with a malformed one, the ability
   * is unknown and the rest of the object holds.
   */
  ability: z.number().min(0).max(MAX_ABILITY).optional().catch(undefined),
  /** Whether all others count the instance; for its next process. */
  isEstablished: z.boolean().optional().catch(undefined),
  /** How long the process has run, in milliseconds; for its next process. */
  ranForMs: z.number().min(0).optional().catch(undefined),
  /** Among how many instances it divides allowances; for its next process. */
  countedInstances: z
    .int()
    .min(0)
    .max(MAX_INSTANCES)
    .optional()
    .catch(undefined),
});

export type PresenceObject = z.infer<typeof presenceSchema>;

/** What is known of another instance. */
export interface ObservedPresence {
  readonly key: string;
  readonly instance: string;
  readonly presence: PresenceObject;
  /** The object as it was stored. */
  readonly value: unknown;
  readonly version: number;
  readonly lastChangedAt: number;
  /**
   * Whether it may have changed long before `lastChangedAt`, since the first
   * list of all had it already.
   */
  readonly isFromStart: boolean;
}

export interface PresenceTable {
  /** Whether a list was ever received. */
  hasRead(): boolean;
  /** When the latest list was read from the store, by this one or a relay. */
  lastReadAt(): number;
  entries(): readonly ObservedPresence[];
  /** Number of other instances listed, those with unreadable objects too. */
  countListed(): number;
  /** Applies a list of the store; `isRecovery` if the last one failed. */
  applyList(
    objects: readonly StoredObject[],
    options: { readonly isRecovery: boolean },
  ): void;
  applyRelayed(relayed: RelayedPresence): void;
  /** Records that the relay still has the list that it sent last. */
  confirm(): void;
  /** Records that the instance called this one as its relay. */
  recordCall(instance: string): void;
  remove(key: string): void;
  renewalIntervalMs(): number;
  /** Whether its renewals had not expired when the list was read. */
  isLive(observed: ObservedPresence): boolean;
  /** Whether it is live, or has called its relay lately. */
  isReachable(observed: ObservedPresence): boolean;
  /** Whether it may still send requests. */
  maySend(observed: ObservedPresence): boolean;
  /** Milliseconds since it was last known to be live. */
  heardAgoMs(observed: ObservedPresence): number;
  /** When it last called its relay. */
  calledAt(observed: ObservedPresence): number;
}

/** Creates a table that knows no other instance; `ownKey` is skipped. */
export function createPresenceTable(ownKey: string): PresenceTable {
  const observedByKey = new Map<string, ObservedPresence>();
  const calledAtByKey = new Map<string, number>();
  let lastReadAt = -Infinity;
  let lastListedAt = -Infinity;
  let confirmedAt = -Infinity;
  let listedObjects = 0;

  /** Takes the object in if it is readable and not older than the known one. */
  function observe(
    { key, value, version }: StoredObject,
    {
      changedAt,
      isFromStart,
    }: { readonly changedAt: number; readonly isFromStart: boolean },
  ): void {
    const parsed = presenceSchema.safeParse(value);
    if (!parsed.success) {
      warnUnreadable({ key, reason: z.prettifyError(parsed.error) });
      return;
    }
    const previous = observedByKey.get(key);
    if (previous && previous.version > version) return;
    if (!previous) log.info("instance_seen", { key });
    // Who has found an object at its start knows less than who saw it change.
    const isKnown = previous?.version === version && isFromStart;
    observedByKey.set(key, {
      key,
      instance: key.slice(PRESENCE_PREFIX.length),
      presence: parsed.data,
      value,
      version,
      lastChangedAt: isKnown ? previous.lastChangedAt : changedAt,
      isFromStart: isKnown ? previous.isFromStart : isFromStart,
    });
  }

  function removeOthers(objects: readonly { readonly key: string }[]): void {
    const listedKeys = new Set(objects.map(({ key }) => key));
    for (const key of observedByKey.keys())
      if (!listedKeys.has(key)) remove(key);
  }

  function remove(key: string): void {
    observedByKey.delete(key);
    calledAtByKey.delete(key);
  }

  function renewalIntervalMs(): number {
    const wantedMs =
      (observedByKey.size + 1) * RENEWAL_INTERVAL_PER_INSTANCE_MS;
    const boundedMs = Math.max(MIN_RENEWAL_INTERVAL_MS, wantedMs);
    return Math.min(MAX_RENEWAL_INTERVAL_MS, boundedMs);
  }

  function expiryMs(): number {
    return EXPIRY_RENEWALS * renewalIntervalMs();
  }

  /**
   * Ages are measured at the last successful read, so that no instance expires
   * while the store is unreachable.
   */
  function isLive({ lastChangedAt }: ObservedPresence): boolean {
    return lastReadAt - lastChangedAt < expiryMs();
  }

  function hasCalled({ key }: ObservedPresence): boolean {
    const calledAt = calledAtByKey.get(key) ?? -Infinity;
    return lastReadAt - calledAt < CALLER_TIMEOUT_MS;
  }

  function postponeExpiry(now: number): void {
    const leastChangedAt = now + RECOVERY_GRACE_MS - expiryMs();
    for (const observed of [...observedByKey.values()].filter(isLive)) {
      const lastChangedAt = Math.max(observed.lastChangedAt, leastChangedAt);
      const postponed = { ...observed, lastChangedAt, isFromStart: false };
      observedByKey.set(observed.key, postponed);
    }
  }

  return {
    hasRead: () => lastReadAt > -Infinity,
    lastReadAt: () => lastReadAt,
    entries: () => [...observedByKey.values()],
    countListed: () => Math.max(observedByKey.size, listedObjects),
    applyList(objects, { isRecovery }) {
      const now = performance.now();
      const isFirst = lastReadAt === -Infinity;
      if (isRecovery) postponeExpiry(now);
      lastReadAt = now;
      lastListedAt = now;
      for (const object of objects) {
        if (object.key === ownKey) continue;
        const isSame =
          observedByKey.get(object.key)?.version === object.version;
        observe(object, { changedAt: now, isFromStart: isFirst || isSame });
      }
      removeOthers(objects);
      listedObjects = objects.filter(({ key }) => key !== ownKey).length;
    },
    applyRelayed({ ageMs, objects, heardAgoMs }) {
      const readAt = performance.now() - ageMs;
      lastReadAt = Math.max(lastReadAt, readAt);
      for (const { key, value, version, changedAgoMs } of objects) {
        if (key === ownKey || !key.startsWith(PRESENCE_PREFIX)) continue;
        const isFromStart = changedAgoMs === undefined;
        const changedAt = readAt - (changedAgoMs ?? 0);
        observe({ key, value, version }, { changedAt, isFromStart });
      }
      for (const [instance, agoMs] of Object.entries(heardAgoMs)) {
        const key = `${PRESENCE_PREFIX}${instance}`;
        if (observedByKey.has(key)) calledAtByKey.set(key, readAt - agoMs);
      }
      // What this instance itself has listed later may be missing in the list.
      if (readAt < lastListedAt) return;
      removeOthers(objects);
      listedObjects = 0;
    },
    confirm() {
      confirmedAt = performance.now();
    },
    recordCall(instance) {
      const key = `${PRESENCE_PREFIX}${instance}`;
      if (observedByKey.has(key)) calledAtByKey.set(key, performance.now());
    },
    remove,
    renewalIntervalMs,
    isLive,
    isReachable: (observed) => isLive(observed) || hasCalled(observed),
    maySend: (observed) =>
      lastReadAt - observed.lastChangedAt <
        Math.max(SENDER_TIMEOUT_MS, expiryMs()) || hasCalled(observed),
    heardAgoMs(observed) {
      const liveAt = isLive(observed) ? confirmedAt : -Infinity;
      return performance.now() - Math.max(observed.lastChangedAt, liveAt);
    },
    calledAt: ({ key }) => calledAtByKey.get(key) ?? -Infinity,
  };
}
