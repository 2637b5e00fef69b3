/** Counts the calls of any client of the object API. */
import type { ObjectStore } from "./object_store.ts";

/** Kinds of calls; `full_read` is a watch from the start, which lists all. */
export type StoreCallKind =
  | "read"
  | "list"
  | "write"
  | "remove"
  | "watch"
  | "full_read";

export interface CountedObjectStore {
  readonly store: ObjectStore;
  /** Calls so far, whatever their outcome. */
  counts(): Readonly<Record<StoreCallKind, number>>;
}

/** Creates a client that counts its calls and passes them on. */
export function countStoreCalls(client: ObjectStore): CountedObjectStore {
  const counts: Record<StoreCallKind, number> = {
    read: 0,
    list: 0,
    write: 0,
    remove: 0,
    watch: 0,
    full_read: 0,
  };
  const store: ObjectStore = {
    read(key, options) {
      counts.read += 1;
      return client.read(key, options);
    },
    list(prefix, options) {
      counts.list += 1;
      return client.list(prefix, options);
    },
    write(key, value, options) {
      counts.write += 1;
      return client.write(key, value, options);
    },
    remove(key, options) {
      counts.remove += 1;
      return client.remove(key, options);
    },
    watch(prefix, options) {
      counts[options.since === 0 ? "full_read" : "watch"] += 1;
      return client.watch(prefix, options);
    },
  };
  return { store, counts: () => counts };
}
