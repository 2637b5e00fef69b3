/** The list of presence that a relay passes on to its followers. */
import type { StoredObject } from "@rosemarypin/store";
import type { ObservedPresence, PresenceTable } from "./presence_table.ts";
import { MAX_PRESENCE_AGE_MS, type RelayedPresence } from "./relay_protocol.ts";

export interface PresenceList {
  /** Compares the table with the list passed on last, after each read. */
  update(ownObject: StoredObject | undefined): void;
  /** The list, if it is fresh and of another version. */
  newerThan(version: number | null): RelayedPresence | null;
  /** Number of the current list. */
  version(): number;
  /** Calls the listener with each new version; returns an unsubscribe function. */
  onChange(listener: () => void): () => void;
}

/**
 * Creates the list of a table. A renewal alone makes no new version: with 340
 * instances, passing on each renewal would take more than the 3 KB per second
 * that control messages of an instance may have. A new version is made when an
 * instance comes, goes, expires or changes what it announces, and followers
 * keep what they know of its liveness until then.
 */
export function createPresenceList(table: PresenceTable): PresenceList {
  /** Random, so that the versions of a restarted relay are others. */
  let version = Math.floor(Math.random() * 2 ** 48);
  let contents = "";
  let own: StoredObject | undefined;
  let readAt = -Infinity;
  let encoded: Omit<RelayedPresence, "ageMs"> | null = null;
  const listeners = new Set<() => void>();

  function contentOf(observed: ObservedPresence): string {
    const flags = [table.isLive, table.isReachable, table.maySend]
      .map((has) => (has(observed) ? 1 : 0))
      .join("");
    const {
      renewal: _renewal,
      isEstablished: _isEstablished,
      ranForMs: _ranForMs,
      countedInstances: _countedInstances,
      ...announced
    } = observed.presence;
    return `${observed.key} ${flags} ${JSON.stringify(announced)}`;
  }

  function encode(): Omit<RelayedPresence, "ageMs"> {
    const entries = table.entries();
    const objects = entries.map((entry) => ({
      key: entry.key,
      value: entry.value,
      version: entry.version,
      ...(entry.isFromStart
        ? {}
        : { changedAgoMs: Math.max(0, readAt - entry.lastChangedAt) }),
    }));
    const callers = entries
      .map((entry) => [entry.instance, readAt - table.calledAt(entry)] as const)
      .filter(([, agoMs]) => agoMs < Number.POSITIVE_INFINITY);
    return {
      version,
      objects: own ? [...objects, { ...own, changedAgoMs: 0 }] : objects,
      heardAgoMs: Object.fromEntries(
        callers.map(([instance, agoMs]) => [instance, Math.max(0, agoMs)]),
      ),
    };
  }

  return {
    update(ownObject) {
      own = ownObject;
      readAt = table.lastReadAt();
      encoded = null;
      const newContents = table.entries().map(contentOf).sort().join("\n");
      if (newContents === contents) return;
      contents = newContents;
      version += 1;
      for (const listener of [...listeners]) listener();
    },
    newerThan(known) {
      const ageMs = performance.now() - readAt;
      if (known === version || ageMs > MAX_PRESENCE_AGE_MS) return null;
      encoded ??= encode();
      return { ...encoded, ageMs };
    },
    version: () => version,
    onChange(listener) {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
}
