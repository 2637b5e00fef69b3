/** Follows the objects below a prefix, over breaks of the watch. */
import { pause } from "@rosemarypin/timing";
import { fullJitterMs } from "./full_jitter.ts";
import type {
  ObjectStore,
  Revision,
  StoredObject,
  StoreFailure,
} from "./object_store.ts";

const JITTER = { firstMs: 100, largestMs: 5_000 } as const;
/** A watch may skip a change; reading all anew now and then finds it. */
const READ_ALL_EVERY_MS = 60_000;

export interface FollowOptions {
  /** Called once for each version of an object, never for an older one. */
  readonly onObject: (object: StoredObject) => void;
  /** Called after each answer of the store. */
  readonly onContact?: () => void;
  readonly signal: AbortSignal;
}

/**
 * Watches until the signal ends it. A watch may skip versions, repeat them
 * or bring them out of order; each key's highest version that was passed on
 * decides what is new, and not the order in which the watch tells it.
 */
export async function followObjects(
  store: ObjectStore,
  prefix: string,
  { onObject, onContact, signal }: FollowOptions,
): Promise<void> {
  const passedOn = new Map<string, number>();
  let since: Revision = 0;
  let allReadAt = -Infinity;
  let failures = 0;

  while (!signal.aborted) {
    const readsAll = performance.now() - allReadAt >= READ_ALL_EVERY_MS;
    const from = readsAll ? 0 : since;
    const result = await store.watch(prefix, { since: from, signal });
    if (signal.aborted) return;
    if (result.kind !== "ok") {
      failures += 1;
      await pause(waitMs(result, failures), signal);
      continue;
    }
    failures = 0;
    if (readsAll) allReadAt = performance.now();
    // An answer from a store that lags must not lead the watch back.
    since = Math.max(since, result.value.revision);
    onContact?.();
    for (const object of result.value.objects) passOn(object);
  }

  function passOn(object: StoredObject): void {
    const last = passedOn.get(object.key) ?? -Infinity;
    if (object.version <= last) return;
    passedOn.set(object.key, object.version);
    onObject(object);
  }
}

function waitMs(failure: StoreFailure, failures: number): number {
  if (failure.kind === "over_budget") return failure.retryAfterMs;
  return fullJitterMs(failures, JITTER);
}
