/** A local copy of the objects under a prefix, kept current by a watch. */
import {
  fullJitterMs,
  type ObjectStore,
  type StoredObject,
  type StoreFailure,
} from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { type ChangeLog, type Changes, createChangeLog } from "./change_log.ts";

/** Short, because a change must take effect within two seconds of its write. */
const RETRY_BACKOFF = { firstMs: 80, maxMs: 600 } as const;
/**
 * Interval of full reads. A watch may skip a change, and entries may expire and
 * be written again during an outage of the store; a full read repairs the copy.
 */
const FULL_READ_INTERVAL_MS = 20_000;
/** Share of the interval that is random, so that instances don't read at once. */
const FULL_READ_JITTER = 0.25;
/**
 * Changes closer together than this form a burst, as when many servers start or
 * load layers. Without batching, each change of a burst costs every instance
 * one store call.
 */
const BURST_GAP_MS = 600;
/** Delay before the next watch during a burst, so that it returns a batch. */
const BURST_DELAY_MS = 250;
/**
 * Live servers rewrite entries that expired during an outage of the store
 * within about two seconds. Entries that are still missing after this grace
 * period are removed.
 */
const REMOVAL_GRACE_MS = 2_500;
/** Limit of a wait that events end. */
const MAX_WAIT_MS = 60_000;

const log = createLogger("store");

/**
 * Keeps mirrors up to date through a relay: an instance that watches the store
 * and forwards its own copy. An instance that polls a relay is its follower.
 */
export interface RelayFollower {
  /** Whether a relay currently keeps the mirrors up to date. */
  isFollowing(): boolean;
  /** Calls the listener when following ends; returns an unsubscribe function. */
  onEnded(listener: () => void): () => void;
  /**
   * Resolves when a relay is followed, or none can be for now and the mirrors
   * read the store.
   */
  waitToRead(): Promise<void>;
}

/** Changes from a relay. */
export interface RelayChanges extends Omit<Changes, "position"> {
  /**
   * Store revision of the relay's copy; absent if the relay is of the version
   * before.
   */
  readonly revision?: number | undefined;
  /** Keys of sent objects that the relay keeps for a grace period only. */
  readonly expiring?: readonly string[] | undefined;
}

/** How current a copy of the objects is, or changes of it. */
type CopyState = Pick<RelayChanges, "revision" | "expiring">;

export interface ObjectMirrorOptions {
  readonly store: ObjectStore;
  readonly prefix: string;
  readonly signal: AbortSignal;
  /** Called with each new version of an object. */
  readonly onObject: (object: StoredObject) => void;
  /** Called after an object is removed, once any grace period is over. */
  readonly onRemoved?: (key: string) => void;
  /** While it follows a relay, the mirror doesn't watch the store. */
  readonly relayFollower?: RelayFollower;
}

export interface ObjectMirror {
  readonly prefix: string;
  /** Recent changes, for instances that follow this one. */
  readonly changeLog: ChangeLog;
  /** Store revision that the mirror reflects. */
  revision(): number;
  objects(): readonly StoredObject[];
  /** Whether the store no longer has the object; its grace period runs. */
  isExpiring(key: string): boolean;
  /** Replaces the contents with a peer's; ignored unless it is newer. */
  applyPeerSnapshot(snapshot: {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
    readonly expiring?: readonly string[] | undefined;
  }): void;
  /** Records that a peer's newer copy has the same objects. */
  confirmCopy(revision: number): void;
  /**
   * Records a response of a relay, with or without changes. `ageMs` is the time
   * since the store last answered the relay, in milliseconds.
   */
  recordRelayResponse(ageMs: number): void;
  applyRelayChanges(changes: RelayChanges): void;
  /**
   * Milliseconds since the store last answered, directly or through a relay;
   * `Infinity` before the first answer.
   */
  ageMs(): number;
  /** Milliseconds since store calls began to fail; 0 while they succeed. */
  unavailableMs(): number;
}

/** Keys of the objects that the mirror keeps for a grace period only. */
export function expiringKeysOf(
  mirror: Pick<ObjectMirror, "isExpiring">,
  objects: readonly StoredObject[],
): string[] {
  return objects.map(({ key }) => key).filter(mirror.isExpiring);
}

/** Starts to mirror the prefix; stops when the signal aborts. */
export function startObjectMirror(options: ObjectMirrorOptions): ObjectMirror {
  const { store, prefix, signal, relayFollower } = options;
  const objectsByKey = new Map<string, StoredObject>();
  const changeLog = createChangeLog(objectsByKey);
  /** Timers that remove missing objects after the grace period, by key. */
  const removalTimers = new Map<string, NodeJS.Timeout>();
  const fullReadIntervalMs =
    FULL_READ_INTERVAL_MS * (1 - FULL_READ_JITTER * Math.random());
  let currentRevision = 0;
  let lastFullReadAt = -Infinity;
  let lastAnswerAt = -Infinity;
  let lastChangeAt = -Infinity;
  let failures = 0;
  /** Whether a single call failed, by a timeout. */
  let isOnlyUnanswered = false;
  let firstFailureAt = -Infinity;
  let recoveredAt = -Infinity;
  /** Whether the relay states the revisions of its changes. */
  let hasRelayRevisions = false;
  /** Whether the relay's changes continue a copy of all objects. */
  let isWholeFromRelay = false;
  /** Whether the mirror has had all objects, as of some revision. */
  let isComplete = false;
  let mustWaitToRead = true;
  void follow();

  async function follow(): Promise<void> {
    while (!signal.aborted) {
      if (relayFollower?.isFollowing()) {
        const waitMs = untilFullReadMs();
        if (waitMs > 0) {
          await waitForRelayEnd(relayFollower, waitMs);
          continue;
        }
      } else if (relayFollower && mustWaitToRead) {
        mustWaitToRead = false;
        await relayFollower.waitToRead();
        continue;
      }
      const isFullRead =
        performance.now() - lastFullReadAt >= fullReadIntervalMs;
      const result = await store.watch(prefix, {
        since: isFullRead ? 0 : currentRevision,
        signal,
      });
      if (signal.aborted) return;
      if (result.kind !== "ok") {
        await backOff(result);
        continue;
      }
      const now = performance.now();
      endOutage();
      lastAnswerAt = now;
      const { objects, removed = [], revision, isWhole } = result.value;
      if (isWhole) {
        lastFullReadAt = now;
        isWholeFromRelay = hasRelayRevisions;
      }
      applyChanges({ revision, objects, removed, isWhole: isWhole === true });
      if (objects.length + removed.length > 0) await delayDuringBurst(now);
    }
  }

  /**
   * A relay reads all objects regularly and passes on what it finds. A relay of
   * the version before doesn't state its revision. If the store and its relays
   * failed, this instance could then take an older copy of a peer for a newer
   * one, so it goes on reading all objects itself.
   */
  function untilFullReadMs(): number {
    if (isWholeFromRelay) return MAX_WAIT_MS;
    return lastFullReadAt + fullReadIntervalMs - performance.now();
  }

  /** Delays the next watch during a burst, so that it returns many changes. */
  async function delayDuringBurst(now: number): Promise<void> {
    const isBurst = now - lastChangeAt < BURST_GAP_MS;
    lastChangeAt = now;
    if (isBurst) await pause(BURST_DELAY_MS, signal);
  }

  /** Waits until the relay is lost, or the next full read is due. */
  async function waitForRelayEnd(
    follower: RelayFollower,
    maxWaitMs: number,
  ): Promise<void> {
    const ended = new AbortController();
    const unsubscribe = follower.onEnded(() => ended.abort());
    await pause(maxWaitMs, AbortSignal.any([signal, ended.signal]));
    unsubscribe();
    if (follower.isFollowing()) return;
    // The relay may have failed before it forwarded its latest changes.
    lastFullReadAt = -Infinity;
    hasRelayRevisions = false;
    isWholeFromRelay = false;
    mustWaitToRead = true;
  }

  function endOutage(): void {
    if (failures === 0) return;
    // A timeout alone shows a silent connection rather than an outage, and is
    // too short for entries to have expired in the store.
    if (!isOnlyUnanswered) recoveredAt = performance.now();
    log.info("store_back", { prefix, failures });
    failures = 0;
  }

  async function backOff(failure: StoreFailure): Promise<void> {
    failures += 1;
    const isUnanswered = "isUnanswered" in failure;
    isOnlyUnanswered = failures === 1 && isUnanswered;
    // Changes may have been missed while the watch failed.
    lastFullReadAt = -Infinity;
    if (failures === 1) {
      firstFailureAt = performance.now();
      const detail = "detail" in failure ? failure.detail : "";
      log.warn("store_away", { prefix, kind: failure.kind, detail });
    }
    if (isOnlyUnanswered) return;
    await pause(fullJitterMs(failures, RETRY_BACKOFF), signal);
  }

  /**
   * Applies objects and removals of the store, a relay or a peer. Copies arrive
   * in any order, so what one says counts as of its revision. Returns whether
   * objects were left out because this mirror, which is ahead, lacks them.
   */
  function applyChanges({
    revision,
    expiring = [],
    isWhole,
    objects,
    removed,
  }: CopyState & Omit<Changes, "position">): boolean {
    const isBehind = revision !== undefined && revision < currentRevision;
    const expiringKeys = new Set(expiring);
    let hasLeftOut = false;
    for (const object of objects) {
      const mayBeRemoved = isBehind && object.version <= currentRevision;
      const isDoubtful = mayBeRemoved || expiringKeys.has(object.key);
      const isLeftOut = !applyObject(object, { isDoubtful });
      if (isLeftOut && isBehind) hasLeftOut = true;
    }
    for (const key of removed) {
      const heldVersion = objectsByKey.get(key)?.version ?? -Infinity;
      const isWrittenSince = isBehind && heldVersion > revision;
      if (!isWrittenSince) scheduleRemoval(key);
    }
    if (!isBehind)
      for (const key of expiring) scheduleRemoval(key, { startsGrace: true });
    // Objects that a copy behind this one lacks may be new.
    if (isWhole && !isBehind) scheduleRemovalOfOthers(objects);
    if (isWhole) isComplete = true;
    currentRevision = Math.max(currentRevision, revision ?? 0);
    return hasLeftOut;
  }

  /**
   * Applies an object. If it comes from a copy behind this one, or from one that
   * is about to remove it, it doesn't show that the store still has the object.
   * Returns `false` if the object was removed since.
   */
  function applyObject(
    object: StoredObject,
    { isDoubtful }: { readonly isDoubtful: boolean },
  ): boolean {
    const held = objectsByKey.get(object.key);
    if (isDoubtful && !held && isComplete) return false;
    const isExpiring = removalTimers.has(object.key);
    if (isDoubtful && isExpiring) return true;
    const lastVersion = held?.version ?? -Infinity;
    if (object.version < lastVersion) return true;
    clearTimeout(removalTimers.get(object.key));
    removalTimers.delete(object.key);
    if (object.version === lastVersion) return true;
    objectsByKey.set(object.key, object);
    changeLog.recordChange(object.key);
    options.onObject(object);
    return true;
  }

  function scheduleRemovalOfOthers(objects: readonly StoredObject[]): void {
    const presentKeys = new Set(objects.map(({ key }) => key));
    for (const key of objectsByKey.keys())
      if (!presentKeys.has(key)) scheduleRemoval(key);
  }

  function scheduleRemoval(
    key: string,
    { startsGrace = false }: { readonly startsGrace?: boolean } = {},
  ): void {
    if (!objectsByKey.has(key)) return;
    // During an outage only a peer reports missing entries. They may have
    // expired because of the same partition that cuts this instance off, so
    // the grace period starts now rather than at the last recovery.
    const startsNow = startsGrace || failures > 0;
    const graceStartsAt = startsNow ? performance.now() : recoveredAt;
    const graceMs = graceStartsAt + REMOVAL_GRACE_MS - performance.now();
    if (graceMs <= 0) return removeObject(key);
    if (removalTimers.has(key)) return;
    removalTimers.set(
      key,
      setTimeout(() => removeObject(key), graceMs),
    );
  }

  function removeObject(key: string): void {
    clearTimeout(removalTimers.get(key));
    removalTimers.delete(key);
    objectsByKey.delete(key);
    changeLog.recordChange(key);
    options.onRemoved?.(key);
  }

  return {
    prefix,
    changeLog,
    revision: () => currentRevision,
    objects: () => [...objectsByKey.values()],
    isExpiring: (key) => removalTimers.has(key),
    applyPeerSnapshot(snapshot) {
      if (snapshot.revision <= currentRevision) return;
      applyChanges({ ...snapshot, isWhole: true, removed: [] });
    },
    confirmCopy(revision) {
      isComplete = true;
      currentRevision = Math.max(currentRevision, revision);
    },
    recordRelayResponse(ageMs) {
      endOutage();
      lastAnswerAt = Math.max(lastAnswerAt, performance.now() - ageMs);
    },
    applyRelayChanges(changes) {
      const hasLeftOut = applyChanges(changes);
      if (!changes.isWhole) return;
      hasRelayRevisions = changes.revision !== undefined;
      // If this mirror is the one that missed a change, a full read repairs it.
      isWholeFromRelay = hasRelayRevisions && !hasLeftOut;
    },
    ageMs: () => performance.now() - lastAnswerAt,
    unavailableMs: () =>
      failures > 0 ? performance.now() - firstFailureAt : 0,
  };
}
