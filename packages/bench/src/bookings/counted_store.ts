/** Counts an object store's calls and bytes. */
import type { ObjectStore } from "@rosemarypin/store";

export interface StoreCost {
  calls: number;
  bytes: number;
}

/** Wraps a store; costs are added to `cost`. */
export function countStore(store: ObjectStore, cost: StoreCost): ObjectStore {
  return {
    ...store,
    read(key, options) {
      cost.calls += 1;
      return store.read(key, options);
    },
    write(key, value, options) {
      cost.calls += 1;
      cost.bytes += JSON.stringify(value).length;
      return store.write(key, value, options);
    },
  };
}
