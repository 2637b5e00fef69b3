/** An object store in memory, whose clients can each have faults. */

import type {
  ObjectStore,
  StoredObject,
  StoreFailure,
  StoreResult,
  WatchBatch,
} from "@rosemarypin/store";
import { pause } from "@rosemarypin/timing";

/** Faults of one client's calls; a test changes them as it goes. */
export interface StoreFaults {
  /** Calls have no effect and fail at once. */
  down: boolean;
  /** So many of the next writes take effect and lose their reply. */
  loseReplies: number;
  /** So many of the next writes have no effect and lose their reply. */
  loseRequests: number;
  /** Wait before each call has its effect, in milliseconds. */
  delayMs: number;
  /** What lists answer instead of the present objects; `null` for these. */
  staleObjects: readonly StoredObject[] | null;
}

/** A store that several clients share. */
export interface MemoryStore {
  /** Creates a client with its own faults. */
  client(): { readonly store: ObjectStore; readonly faults: StoreFaults };
  /** All objects, for a test to look at. */
  objects(): readonly StoredObject[];
  /** Removes an object as another writer would. */
  remove(key: string): void;
  /** Calls so far by operation, over all clients. */
  counts(): Readonly<Record<string, number>>;
}

const UNAVAILABLE: StoreFailure = { kind: "unavailable", detail: "down" };
const REPLY_LOST: StoreFailure = { kind: "reply_lost", detail: "lost" };

export interface MemoryStoreOptions {
  /**
   * How long a watch without changes is held. If set, watches answer as those
   * of the platform's object API: from 0 with all objects at once, otherwise
   * with changes and removals, and with nothing after this time. Without it, a
   * watch waits for an object without limit.
   */
  readonly watchHoldMs?: number;
}

/** Creates an empty store. */
export function createMemoryStore({
  watchHoldMs,
}: MemoryStoreOptions = {}): MemoryStore {
  const objects = new Map<string, StoredObject>();
  /** Revision at which each key without an object lost it. */
  const removals = new Map<string, number>();
  const watchers = new Set<() => void>();
  const counts: Record<string, number> = {};
  let revision = 0;

  function below(prefix: string, since: number): StoredObject[] {
    return [...objects.values()].filter(
      ({ key, version }) => key.startsWith(prefix) && version > since,
    );
  }

  function put(
    key: string,
    value: unknown,
    expectedVersion: number | null,
  ): StoreResult<number> {
    const actual = objects.get(key) ?? null;
    if ((actual?.version ?? null) !== expectedVersion) {
      return { kind: "conflict", actual };
    }
    revision += 1;
    const stored = structuredClone(value);
    objects.set(key, { key, value: stored, version: revision });
    removals.delete(key);
    for (const wake of [...watchers]) wake();
    return { kind: "ok", value: revision };
  }

  function client() {
    const faults: StoreFaults = {
      down: false,
      loseReplies: 0,
      loseRequests: 0,
      delayMs: 0,
      staleObjects: null,
    };

    async function enter(operation: string): Promise<boolean> {
      counts[operation] = (counts[operation] ?? 0) + 1;
      if (faults.delayMs > 0) await pause(faults.delayMs);
      return !faults.down;
    }

    const store: ObjectStore = {
      async read(key) {
        if (!(await enter("read"))) return UNAVAILABLE;
        return { kind: "ok", value: objects.get(key) ?? null };
      },
      async list(prefix) {
        if (!(await enter("list"))) return UNAVAILABLE;
        const stale = faults.staleObjects?.filter(({ key }) =>
          key.startsWith(prefix),
        );
        return { kind: "ok", value: stale ?? below(prefix, 0) };
      },
      async write(key, value, { expectedVersion }) {
        if (!(await enter("write"))) return UNAVAILABLE;
        if (faults.loseRequests > 0) {
          faults.loseRequests -= 1;
          return REPLY_LOST;
        }
        const result = put(key, value, expectedVersion);
        if (faults.loseReplies > 0) {
          faults.loseReplies -= 1;
          return REPLY_LOST;
        }
        return result;
      },
      async remove(key, { expectedVersion }) {
        if (!(await enter("remove"))) return UNAVAILABLE;
        const actual = objects.get(key) ?? null;
        if (actual?.version !== expectedVersion) {
          return { kind: "conflict", actual };
        }
        remove(key);
        return { kind: "ok", value: null };
      },
      async watch(prefix, { since, signal }) {
        if (!(await enter(since === 0 ? "full_read" : "watch")))
          return UNAVAILABLE;
        if (watchHoldMs !== undefined) return heldWatch(prefix, since, signal);
        while (below(prefix, since).length === 0) {
          if (signal?.aborted || faults.down) return UNAVAILABLE;
          await nextChange(signal);
        }
        const batch: WatchBatch = { objects: below(prefix, since), revision };
        return { kind: "ok", value: batch };
      },
    };
    async function heldWatch(
      prefix: string,
      since: number,
      signal: AbortSignal | undefined,
    ): Promise<StoreResult<WatchBatch>> {
      const holdEndsAt = performance.now() + (watchHoldMs ?? 0);
      const isWhole = since === 0;
      for (;;) {
        if (signal?.aborted || faults.down) return UNAVAILABLE;
        const changed = below(prefix, since);
        const removed = [...removals].flatMap(([key, removedAt]) =>
          key.startsWith(prefix) && removedAt > since ? [key] : [],
        );
        const leftMs = holdEndsAt - performance.now();
        const isDue = changed.length + removed.length > 0 || leftMs <= 0;
        if (isWhole || isDue) {
          const value = { objects: changed, removed, revision, isWhole };
          return { kind: "ok", value };
        }
        await nextChange(signal, leftMs);
      }
    }

    return { store, faults };
  }

  function nextChange(
    signal: AbortSignal | undefined,
    withinMs?: number,
  ): Promise<void> {
    return new Promise((resolve) => {
      const timer =
        withinMs === undefined ? undefined : setTimeout(() => wake(), withinMs);
      const wake = () => {
        clearTimeout(timer);
        watchers.delete(wake);
        signal?.removeEventListener("abort", wake);
        resolve();
      };
      watchers.add(wake);
      signal?.addEventListener("abort", wake, { once: true });
    });
  }

  function remove(key: string): void {
    if (!objects.delete(key)) return;
    revision += 1;
    removals.set(key, revision);
    for (const wake of [...watchers]) wake();
  }

  return {
    client,
    objects: () => [...objects.values()],
    remove,
    counts: () => counts,
  };
}
