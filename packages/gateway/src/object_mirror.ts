/** A local copy of the objects below a prefix, kept current by a watch. */
import {
  fullJitterMs,
  type ObjectStore,
  type StoredObject,
  type StoreFailure,
} from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";

/** Short: changes must be in force within two seconds of their writing. */
const JITTER = { firstMs: 80, largestMs: 600 } as const;
/**
 * A watch may skip a change, and a store that was away may have dropped and
 * taken back entries; reading all anew now and then finds what was missed.
 */
const READ_ALL_EVERY_MS = 20_000;
/**
 * After an outage of the store, entries that lapsed meanwhile are written
 * again within about two seconds; what is missing then is gone.
 */
const RETURN_GRACE_MS = 2_500;

const log = createLogger("store");

export interface ObjectMirrorOptions {
  readonly store: ObjectStore;
  readonly prefix: string;
  readonly signal: AbortSignal;
  /** Called for each new version of an object. */
  readonly onObject: (object: StoredObject) => void;
  /** Called when an object is gone for good. */
  readonly onRemoved?: (key: string) => void;
}

export interface ObjectMirror {
  readonly prefix: string;
  /** The store's revision up to which the mirror is current. */
  revision(): number;
  objects(): readonly StoredObject[];
  /** Takes in all objects as a peer has them, at a higher revision. */
  takeFromPeer(news: {
    readonly revision: number;
    readonly objects: readonly StoredObject[];
  }): void;
  /** Milliseconds since the store last answered; infinite before it did. */
  ageMs(): number;
  /** Milliseconds since calls began to fail; 0 while they work. */
  awayMs(): number;
}

/** Starts to follow the prefix until the signal ends it. */
export function startObjectMirror(options: ObjectMirrorOptions): ObjectMirror {
  const { store, prefix, signal } = options;
  const known = new Map<string, StoredObject>();
  /** Objects that are missing, with the time from which they are gone. */
  const missing = new Map<string, NodeJS.Timeout>();
  let since = 0;
  let readAllAt = -Infinity;
  let answeredAt = -Infinity;
  let failures = 0;
  let failedAt = -Infinity;
  let returnedAt = -Infinity;
  void follow();

  async function follow(): Promise<void> {
    while (!signal.aborted) {
      const readsAll = performance.now() - readAllAt >= READ_ALL_EVERY_MS;
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
        log.info("store_back", { prefix, failures });
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
    }
  }

  async function waitAfter(failure: StoreFailure): Promise<void> {
    failures += 1;
    // A watch that fell silent, or was cut, says nothing of what it missed.
    readAllAt = -Infinity;
    if (failures === 1) {
      failedAt = performance.now();
      const detail = "detail" in failure ? failure.detail : "";
      log.warn("store_away", { prefix, kind: failure.kind, detail });
    }
    await pause(fullJitterMs(failures, JITTER), signal);
  }

  function take(object: StoredObject): void {
    clearTimeout(missing.get(object.key));
    missing.delete(object.key);
    const last = known.get(object.key)?.version ?? -Infinity;
    if (object.version <= last) return;
    known.set(object.key, object);
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
    options.onRemoved?.(key);
  }

  return {
    prefix,
    revision: () => since,
    objects: () => [...known.values()],
    takeFromPeer({ revision, objects }) {
      if (revision <= since) return;
      since = revision;
      for (const object of objects) take(object);
      missOthers(objects);
    },
    ageMs: () => performance.now() - answeredAt,
    awayMs: () => (failures > 0 ? performance.now() - failedAt : 0),
  };
}
