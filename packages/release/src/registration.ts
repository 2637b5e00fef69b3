/**
 * Enters this instance into the store's list of instances.
 *
 * An instance that nobody knows could answer from a withdrawn version while
 * the note is called accepted: it had read the head object just before the
 * recall and then lost its peers. So a read of the head counts only after the
 * entry is written; whoever reads the list after recording a note finds every
 * instance that can have read an earlier one.
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

/** How often one instance of a domain looks for entries of ended ones. */
const PRUNE_EVERY_MS = 60_000;
/** Pause after another instance wrote first: many start at once. */
const CONFLICT_PAUSE_MS = 100;
const LEAVE_WITHIN_MS = 1_000;

const log = createLogger("registration");

export interface RegistrationOptions {
  readonly deployment: string;
  readonly self: InstanceReference;
  readonly allowanceMs: number;
  readonly store: ObjectStore;
  readonly peers: PeerCaller;
  /** Whether this instance is the one of its domain that prunes. */
  readonly isPruner: () => boolean;
  readonly refusedConnectionShowsEnd: boolean;
  /** Called once the store lists this instance. */
  readonly onListed: () => void;
}

export interface Registration {
  /** Since when the store lists this instance. */
  listedSince(): Moment | null;
  /** Takes the entry out again; call it when nothing can answer any more. */
  leave(): Promise<void>;
  stop(): void;
}

/** Starts to enter the instance, for as long as it takes. */
export function createRegistration(options: RegistrationOptions): Registration {
  const { store, self } = options;
  const key = storedKeys.instances(options.deployment, self.failureDomain);
  const stopping = new AbortController();
  const own: RegistryEntry = { ...self, allowanceMs: options.allowanceMs };
  let listed: Moment | null = null;
  void run();

  async function run(): Promise<void> {
    await enter();
    while (!stopping.signal.aborted) {
      await pause(jittered(PRUNE_EVERY_MS), stopping.signal);
      if (stopping.signal.aborted || !options.isPruner()) continue;
      await prune();
    }
  }

  async function enter(): Promise<void> {
    let failures = 0;
    while (!stopping.signal.aborted) {
      const result = await change((entries) => [
        ...entries.filter((entry) => !isSameAddress(entry, own)),
        own,
      ]);
      if (result === "written") {
        listed = readMoment();
        log.info("listed", { instance: self.id });
        return options.onListed();
      }
      failures = result === "conflict" ? 0 : failures + 1;
      const pauseMs =
        result === "conflict"
          ? jittered(CONFLICT_PAUSE_MS)
          : backoffMs(failures);
      await pause(pauseMs, stopping.signal);
    }
  }

  /** Drops entries whose process has ended: a refusal shows it. */
  async function prune(): Promise<void> {
    if (!options.refusedConnectionShowsEnd) return;
    const read = await store.read(key);
    const entries = read.kind === "ok" ? parseEntries(read.value) : null;
    if (!entries) return;
    const ended: RegistryEntry[] = [];
    for (const entry of entries) {
      if (isSameAddress(entry, own)) continue;
      const result = await options.peers.call(entry.peer, "note.ping");
      if (result.kind === "refused") ended.push(entry);
    }
    if (ended.length === 0) return;
    await change((latest) =>
      latest.filter((entry) => !ended.some((gone) => isSame(gone, entry))),
    );
    log.info("pruned", { count: ended.length });
  }

  async function change(
    apply: (entries: readonly RegistryEntry[]) => readonly RegistryEntry[],
  ): Promise<"written" | "conflict" | "failed"> {
    const read = await store.read(key);
    if (read.kind !== "ok") return "failed";
    const entries = parseEntries(read.value);
    if (!entries) return "failed";
    const next: RegistryObject = { instances: [...apply(entries)] };
    const written = await store.write(key, next, {
      expectedVersion: read.value?.version ?? null,
    });
    if (written.kind === "ok") return "written";
    // A lost reply is settled by the next try, which reads again: writing an
    // entry twice does no harm.
    return written.kind === "conflict" ? "conflict" : "failed";
  }

  return {
    listedSince: () => listed,
    async leave() {
      stopping.abort();
      if (!listed) return;
      listed = null;
      const deadline = new Promise<void>((resolve) => {
        setTimeout(resolve, LEAVE_WITHIN_MS).unref();
      });
      await Promise.race([withdraw(), deadline]);
    },
    stop: () => stopping.abort(),
  };

  async function withdraw(): Promise<void> {
    const without = (entries: readonly RegistryEntry[]) =>
      entries.filter((entry) => !isSame(entry, own));
    while ((await change(without)) === "conflict");
  }
}

/** All instances in the store's list; `null` if it cannot be read. */
export async function readRegistry(options: {
  readonly deployment: string;
  readonly store: ObjectStore;
}): Promise<readonly RegistryEntry[] | null> {
  const prefix = storedKeys.instances(options.deployment, "");
  const listed = await options.store.list(prefix);
  if (listed.kind !== "ok") return null;
  const entries = listed.value.map(parseEntries);
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

/** A process that binds an address shows that the one before has ended. */
function isSameAddress(a: RegistryEntry, b: RegistryEntry): boolean {
  return formatAddress(a.peer) === formatAddress(b.peer);
}
