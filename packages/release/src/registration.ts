/**
 * Registers this instance in the store's list of instances.
 *
 * Without the list, an instance could read the head object just before a
 * recall, lose its peers, and answer from the withdrawn version while the
 * recall is reported as accepted. A read of the head therefore counts only
 * after the entry is written. A process that records a note and then reads the
 * list finds every instance that may have read an earlier note.
 */
import type { PeerCaller } from "@rosemarypin/membership";
import {
  formatAddress,
  type InstanceReference,
  type RegistryEntry,
  type RegistryObject,
  registryObjectSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { createLogger } from "@rosemarypin/telemetry";
import { pause } from "@rosemarypin/timing";
import { backoffMs, jittered } from "./backoff.ts";
import { type Moment, readMoment } from "./moment.ts";

/** How often the pruner of a failure domain removes ended instances. */
const PRUNE_INTERVAL_MS = 60_000;
/** Pause after a write conflict; many instances start at the same time. */
const CONFLICT_RETRY_MS = 100;
const LEAVE_TIMEOUT_MS = 1_000;

const log = createLogger("registration");

export interface RegistrationOptions {
  readonly deployment: string;
  readonly self: InstanceReference;
  readonly allowanceMs: number;
  readonly store: ObjectStore;
  readonly peers: PeerCaller;
  /** Whether this instance prunes the list of its failure domain. */
  readonly isPruner: () => boolean;
  /** Whether a refused connection proves that a process has ended. */
  readonly refusedConnectionShowsEnd: boolean;
  /** Called once the store lists this instance. */
  readonly onListed: () => void;
}

export interface Registration {
  /** When the store listed this instance; `null` if it does not. */
  listedSince(): Moment | null;
  /** Removes the entry; call it once this instance can answer nothing. */
  leave(): Promise<void>;
  stop(): void;
}

/** Starts to register the instance, and retries until that succeeds. */
export function createRegistration(options: RegistrationOptions): Registration {
  const { store, self } = options;
  const key = storedKeys.instances(options.deployment, self.failureDomain);
  const stopping = new AbortController();
  const ownEntry: RegistryEntry = { ...self, allowanceMs: options.allowanceMs };
  let listedAt: Moment | null = null;
  void run();

  async function run(): Promise<void> {
    await register();
    while (!stopping.signal.aborted) {
      await pause(jittered(PRUNE_INTERVAL_MS), stopping.signal);
      if (stopping.signal.aborted || !options.isPruner()) continue;
      await prune();
    }
  }

  async function register(): Promise<void> {
    let failures = 0;
    while (!stopping.signal.aborted) {
      const result = await updateEntries((entries) => [
        ...entries.filter((entry) => !isSameAddress(entry, ownEntry)),
        ownEntry,
      ]);
      if (result === "written") {
        listedAt = readMoment();
        log.info("listed", { instance: self.id });
        return options.onListed();
      }
      failures = result === "conflict" ? 0 : failures + 1;
      const pauseMs =
        result === "conflict"
          ? jittered(CONFLICT_RETRY_MS)
          : backoffMs(failures);
      await pause(pauseMs, stopping.signal);
    }
  }

  /** Removes entries whose process has ended, as a refused connection shows. */
  async function prune(): Promise<void> {
    if (!options.refusedConnectionShowsEnd) return;
    const read = await store.read(key);
    const entries = read.kind === "ok" ? parseEntries(read.value) : null;
    if (!entries) return;
    const ended: RegistryEntry[] = [];
    for (const entry of entries) {
      if (isSameAddress(entry, ownEntry)) continue;
      const result = await options.peers.call(entry.peer, "note.ping");
      if (result.kind === "refused") ended.push(entry);
    }
    if (ended.length === 0) return;
    await updateEntries((latest) =>
      latest.filter(
        (entry) => !ended.some((endedEntry) => isSame(endedEntry, entry)),
      ),
    );
    log.info("pruned", { count: ended.length });
  }

  async function updateEntries(
    apply: (entries: readonly RegistryEntry[]) => readonly RegistryEntry[],
  ): Promise<"written" | "conflict" | "failed"> {
    const read = await store.read(key);
    if (read.kind !== "ok") return "failed";
    const entries = parseEntries(read.value);
    if (!entries) return "failed";
    const updated: RegistryObject = { instances: [...apply(entries)] };
    const written = await store.write(key, updated, {
      expectedVersion: read.value?.version ?? null,
    });
    if (written.kind === "ok") return "written";
    // A lost reply counts as failed. The retry reads the list first, and
    // applying the same change twice is harmless.
    return written.kind === "conflict" ? "conflict" : "failed";
  }

  return {
    listedSince: () => listedAt,
    async leave() {
      stopping.abort();
      if (!listedAt) return;
      listedAt = null;
      const deadline = new Promise<void>((resolve) => {
        setTimeout(resolve, LEAVE_TIMEOUT_MS).unref();
      });
      await Promise.race([removeOwnEntry(), deadline]);
    },
    stop: () => stopping.abort(),
  };

  async function removeOwnEntry(): Promise<void> {
    const removeOwn = (entries: readonly RegistryEntry[]) =>
      entries.filter((entry) => !isSame(entry, ownEntry));
    while ((await updateEntries(removeOwn)) === "conflict");
  }
}

/** Reads the store's list of all instances; `null` if it cannot be read. */
export async function readRegistry(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): Promise<readonly RegistryEntry[] | null> {
  const prefix = storedKeys.instances(options.deployment, "");
  const listing = await options.store.list(prefix);
  if (listing.kind !== "ok") return null;
  const entries = listing.value.map(parseEntries);
  return entries.includes(null) ? null : entries.flatMap((list) => list ?? []);
}

function parseEntries(
  object: StoredObject | null,
): readonly RegistryEntry[] | null {
  if (object === null) return [];
  const parsed = registryObjectSchema.safeParse(object.value);
  if (parsed.success) return parsed.data.instances;
  log.warn("bad_registry", { key: object.key });
  return null;
}

function isSame(a: RegistryEntry, b: RegistryEntry): boolean {
  return isSameAddress(a, b) && a.incarnation === b.incarnation;
}

/** An address belongs to one running process; an older holder has ended. */
function isSameAddress(a: RegistryEntry, b: RegistryEntry): boolean {
  return formatAddress(a.peer) === formatAddress(b.peer);
}
