/** Values that belong to one incarnation of a backend server. */
import type { BackendServer } from "../backend_server.ts";

/**
 * Time without access after which a value is removed. The entry of a server may
 * disappear from the list for seconds and return; its values still apply then.
 */
const UNUSED_TIMEOUT_MS = 60_000;

export type Incarnation = Pick<BackendServer, "id" | "startedAt">;

export interface IncarnationMap<Value> {
  /** The value; `null` if none is set since the server's last start. */
  get(server: Incarnation): Value | null;
  /** Does nothing if a value is set since a later start of the server. */
  set(server: Incarnation, value: Value): void;
  delete(server: Incarnation): void;
}

interface StoredValue<Value> {
  readonly startedAt: number;
  readonly value: Value;
  usedAt: number;
}

/** Creates an empty map, which removes values of servers that are gone. */
export function createIncarnationMap<Value>(): IncarnationMap<Value> {
  const values = new Map<string, StoredValue<Value>>();

  function find({ id, startedAt }: Incarnation): StoredValue<Value> | null {
    const stored = values.get(id);
    return stored?.startedAt === startedAt ? stored : null;
  }

  function removeUnused(): void {
    const oldest = performance.now() - UNUSED_TIMEOUT_MS;
    for (const [id, { usedAt }] of values)
      if (usedAt < oldest) values.delete(id);
  }

  return {
    get(server) {
      const stored = find(server);
      if (!stored) return null;
      stored.usedAt = performance.now();
      return stored.value;
    },
    set(server, value) {
      removeUnused();
      const { id, startedAt } = server;
      const stored = values.get(id);
      if (stored && stored.startedAt > startedAt) return;
      values.set(id, { startedAt, value, usedAt: performance.now() });
    },
    delete(server) {
      if (find(server)) values.delete(server.id);
    },
  };
}
