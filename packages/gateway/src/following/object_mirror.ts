/** A local copy of the objects below a prefix, kept current by a watch. */
import {
  fullJitterMs,
  type ObjectStore,
  type StoredObject,
  type StoreFailure,
} from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { type ChangeLog, type Changes, createChangeLog } from "./change_log.ts";

/** Short: changes must be in force within two seconds of their writing. */
const JITTER = { firstMs: 80, largestMs: 600 } as const;
/**
 * A watch may skip a change, and a store that was away may have dropped and
 * taken back entries; reading all anew now and then finds what was missed.
 */
const READ_ALL_EVERY_MS = 20_000;
/** Each instance reads at times of its own. */
const READ_ALL_SPREAD = 0.25;
/**
 * Changes closer to each other than this are a series: many servers start, or
 * take layers. Each of them brought by a watch of its own, they cost as many
 * calls on every instance.
 */
const SERIES_MS = 600;
const GATHER_MS = 250;
/**
 * After an outage of the store, entries that lapsed meanwhile are written
 * again within about two seconds; what is missing then is gone.
 */
const RETURN_GRACE_MS = 2_500;

const logger = createLogger("store");

export interface RelayFollower {
  /** Whether the mirrors are kept current by a relay now. */
  isFollowing(): boolean;
  /** Calls the listener when that has ended; returns how to stop. */
  onEnded(listener: () => void): () => void;
}

export interface ObjectMirrorOptions {
  readonly store: ObjectStore;
  readonly prefix: string;
  readonly signal: AbortSignal;
  /** Called for each new version of an object. */
  readonly onObject: (object: StoredObject) => void;
  /** Called when an object is gone for good. */
  readonly onRemoved?: (key: string) => void;
  /** What keeps the mirror current instead of the store, while it does. */
  readonly relay?: RelayFollower;
}

export interface ObjectMirror {
  readonly prefix: string;
  /** What changed, for instances that follow this one. */
  readonly log: ChangeLog;
  /** The store's revision up to which the mirror is current. */
  revision(): number;
  objects(): readonly StoredObject[];
  /** Takes in all objects as a peer has them, at a higher revision. */
  takeFromPeer(news: {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
  }): void;
  /** Takes in what a relay passes on, which heard of the store so long ago. */
  takeFromRelay(changes: Omit<Changes, "position">, ageMs: number): void;
  /** Milliseconds since the store last answered; infinite before it did. */
  ageMs(): number;
  /** Milliseconds since calls began to fail; 0 while they work. */
  awayMs(): number;
}

/** Starts to follow the prefix until the signal ends it. */
export function startObjectMirror(options: ObjectMirrorOptions): ObjectMirror {
  const { store, prefix, signal, relay } = options;
  const known = new Map<string, StoredObject>();
  const log = createChangeLog(known);
  /** Objects that are missing, with the time from which they are gone. */
  const missing = new Map<string, NodeJS.Timeout>();
  const readAllEveryMs =
    READ_ALL_EVERY_MS * (1 - READ_ALL_SPREAD * Math.random());
  let since = 0;
  let readAllAt = -Infinity;
  let answeredAt = -Infinity;
  let changedAt = -Infinity;
  let failures = 0;
  let failedAt = -Infinity;
  let returnedAt = -Infinity;
  void follow();

  async function follow(): Promise<void> {
    while (!signal.aborted) {
      const restMs = readAllAt + readAllEveryMs - performance.now();
      if (relay?.isFollowing() && restMs > 0) {
        await rest(relay, restMs);
        continue;
      }
      const readsAll = performance.now() - readAllAt >= readAllEveryMs;
      const result = await store.watch(prefix, {
        since: readsAll ? 0 : since,
        signal,
      });
      if (signal.aborted) return;
      if (result.kind !== "ok") {
        await waitAfter(result);
        continue;
      }
      const now = performance.now();
      if (failures > 0) {
        returnedAt = now;
        logger.info("store_back", { prefix, failures });
      }
      failures = 0;
      answeredAt = now;
      const { objects, removed = [], revision, isWhole } = result.value;
      if (isWhole) readAllAt = now;
      // A store that lags must not lead the watch back.
      since = Math.max(since, revision);
      for (const object of objects) take(object);
      for (const key of removed) miss(key);
      if (isWhole) missOthers(objects);
      if (objects.length + removed.length > 0) await gather(now);
    }
  }

  /** Waits where changes follow each other, so that one watch brings many. */
  async function gather(now: number): Promise<void> {
    const isSeries = now - changedAt < SERIES_MS;
    changedAt = now;
    if (isSeries) await pause(GATHER_MS, signal);
  }

  /** Waits for the relay's end, or until all is to be read anew. */
  async function rest(by: RelayFollower, restMs: number): Promise<void> {
    const ended = new AbortController();
    const stop = by.onEnded(() => ended.abort());
    await pause(restMs, AbortSignal.any([signal, ended.signal]));
    stop();
    // What the relay had not passed on yet is read from the store.
    if (!by.isFollowing()) readAllAt = -Infinity;
  }

  async function waitAfter(failure: StoreFailure): Promise<void> {
    failures += 1;
    // A watch that fell silent, or was cut, says nothing of what it missed.
    readAllAt = -Infinity;
    if (failures === 1) {
      failedAt = performance.now();
      const detail = "detail" in failure ? failure.detail : "";
      logger.warn("store_away", { prefix, kind: failure.kind, detail });
    }
    await pause(fullJitterMs(failures, JITTER), signal);
  }

  function take(object: StoredObject): void {
    clearTimeout(missing.get(object.key));
    missing.delete(object.key);
    const last = known.get(object.key)?.version ?? -Infinity;
    if (object.version <= last) return;
    known.set(object.key, object);
    log.put(object.key);
    options.onObject(object);
  }

  function missOthers(objects: readonly StoredObject[]): void {
    const there = new Set(objects.map(({ key }) => key));
    for (const key of known.keys()) if (!there.has(key)) miss(key);
  }

  function miss(key: string): void {
    if (!known.has(key) || missing.has(key)) return;
    // While the store is away, only a peer can tell that an entry is missing:
    // it may have lapsed behind the cut that keeps the store away from here.
    const seenFrom = failures > 0 ? performance.now() : returnedAt;
    const graceMs = seenFrom + RETURN_GRACE_MS - performance.now();
    if (graceMs <= 0) return drop(key);
    missing.set(
      key,
      setTimeout(() => drop(key), graceMs),
    );
  }

  function drop(key: string): void {
    missing.delete(key);
    known.delete(key);
    log.put(key);
    options.onRemoved?.(key);
  }

  return {
    prefix,
    log,
    revision: () => since,
    objects: () => [...known.values()],
    takeFromPeer({ revision, objects }) {
      if (revision <= since) return;
      since = revision;
      for (const object of objects) take(object);
      missOthers(objects);
    },
    takeFromRelay({ isWhole, objects, removed }, ageMs) {
      answeredAt = Math.max(answeredAt, performance.now() - ageMs);
      for (const object of objects) take(object);
      for (const key of removed) miss(key);
      if (isWhole) missOthers(objects);
    },
    ageMs: () => performance.now() - answeredAt,
    awayMs: () => (failures > 0 ? performance.now() - failedAt : 0),
  };
}
