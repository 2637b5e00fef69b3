/**
 * The way that was weighed and not chosen: claims in shards of many keys,
 * committed in groups. A conflict reveals a second writer, so it is safe with
 * any number of writers; an owner for each shard only makes conflicts rare.
 */
import type { ClaimRequest } from "@rosemarypin/calls";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";

const LARGEST_TRIES = 50;

interface ShardEntry {
  readonly requestId: string;
  readonly fingerprint: string;
  readonly state: unknown;
}

type Shard = Record<string, ShardEntry>;

interface Operation {
  readonly key: string;
  readonly entry: ShardEntry;
  readonly settle: boolean;
  readonly done: (won: boolean) => void;
}

/** Claims and ends of calls, by one instance. */
export interface ShardClaims {
  claim(request: ClaimRequest): Promise<boolean>;
  settle(request: ClaimRequest, state: unknown): Promise<boolean>;
}

/** How claims are put together. */
export interface ShardOptions {
  readonly shards: number;
  /** How long a commit waits for more operations to go with it. */
  readonly gatherMs: number;
}

/** Number of the shard that holds a key. */
export function shardOf(key: string, shards: number): number {
  let sum = 0;
  for (const character of key) sum = (sum * 31 + character.charCodeAt(0)) >>> 0;
  return sum % shards;
}

/** Creates one instance's way to all shards. */
export function createShardClaims(
  store: ObjectStore,
  { shards, gatherMs }: ShardOptions,
): ShardClaims {
  const committers = Array.from({ length: shards }, (_, index) =>
    createCommitter(store, { key: `bench/shards/${index}`, gatherMs }),
  );

  function submit(
    request: ClaimRequest,
    options: { readonly state: unknown; readonly settle: boolean },
  ): Promise<boolean> {
    const { idempotencyKey: key, requestId, fingerprint } = request;
    const entry = { requestId, fingerprint, state: options.state };
    return new Promise((done) => {
      const { settle } = options;
      committers[shardOf(key, shards)]?.({ key, entry, settle, done });
    });
  }

  return {
    claim: (request) => submit(request, { state: "claimed", settle: false }),
    settle: (request, state) => submit(request, { state, settle: true }),
  };
}

function createCommitter(
  store: ObjectStore,
  options: { readonly key: string; readonly gatherMs: number },
) {
  const { key, gatherMs } = options;
  const queue: Operation[] = [];
  let shard: Shard = {};
  let version: number | null = null;
  let running = false;

  async function run(): Promise<void> {
    running = true;
    while (queue.length > 0) {
      if (gatherMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, gatherMs));
      }
      await commit(queue.splice(0));
    }
    running = false;
  }

  async function commit(group: readonly Operation[]): Promise<void> {
    for (let tries = 0; tries < LARGEST_TRIES; tries++) {
      const next: Shard = { ...shard };
      const won = group.map((operation) => apply(next, operation));
      const written = await store.write(key, next, {
        expectedVersion: version,
      });
      if (written.kind === "ok") {
        shard = next;
        version = written.value;
        group.forEach(({ done }, index) => void done(won[index] ?? false));
        return;
      }
      if (written.kind === "conflict") takeIn(written.actual);
    }
    for (const { done } of group) done(false);
  }

  function takeIn(actual: StoredObject | null): void {
    shard = (actual?.value ?? {}) as Shard;
    version = actual?.version ?? null;
  }

  return (operation: Operation) => {
    queue.push(operation);
    if (!running) void run();
  };
}

function apply(shard: Shard, operation: Operation): boolean {
  const { key, entry, settle } = operation;
  const existing = shard[key];
  const isOwn = existing?.requestId === entry.requestId;
  if (existing && !isOwn) return false;
  if (settle || !existing) shard[key] = entry;
  return true;
}
