/** Follows the objects under a prefix and resumes failed watches. */
import { pause } from "@rosemarypin/timing";
import { fullJitterMs } from "./full_jitter.ts";
import type {
  ObjectStore,
  Revision,
  StoredObject,
  StoreFailure,
} from "./object_store.ts";

const RETRY_BACKOFF = { firstMs: 100, maxMs: 5_000 } as const;
/** A watch may miss a change; periodic full reads find it. */
const FULL_READ_INTERVAL_MS = 60_000;

export interface FollowOptions {
  /** Called once for each version of an object, never for an older one. */
  readonly onObject: (object: StoredObject) => void;
  /** Called after each successful reply of the store. */
  readonly onContact?: () => void;
  readonly signal: AbortSignal;
}

/**
 * Watches objects until the signal is aborted. A watch may skip, repeat or
 * reorder versions, so an object is reported only if its version is higher than
 * the last reported version of its key.
 */
export async function followObjects(
  store: ObjectStore,
  prefix: string,
  { onObject, onContact, signal }: FollowOptions,
): Promise<void> {
  const reportedVersions = new Map<string, number>();
  let since: Revision = 0;
  let lastFullReadAt = -Infinity;
  let failures = 0;

  while (!signal.aborted) {
    const isFullRead =
      performance.now() - lastFullReadAt >= FULL_READ_INTERVAL_MS;
    const from = isFullRead ? 0 : since;
    const result = await store.watch(prefix, { since: from, signal });
    if (signal.aborted) return;
    if (result.kind !== "ok") {
      failures += 1;
      await pause(retryDelayMs(result, failures), signal);
      continue;
    }
    failures = 0;
    if (isFullRead) lastFullReadAt = performance.now();
    // A reply from a stale replica must not move the position backwards.
    since = Math.max(since, result.value.revision);
    onContact?.();
    for (const object of result.value.objects) reportIfNewer(object);
  }

  function reportIfNewer(object: StoredObject): void {
    const reportedVersion = reportedVersions.get(object.key) ?? -Infinity;
    if (object.version <= reportedVersion) return;
    reportedVersions.set(object.key, object.version);
    onObject(object);
  }
}

function retryDelayMs(failure: StoreFailure, failures: number): number {
  if (failure.kind === "over_budget") return failure.retryAfterMs;
  return fullJitterMs(failures, RETRY_BACKOFF);
}
