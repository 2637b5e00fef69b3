/** Applies entries of the list of servers to the fleet. */
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "./backend_fleet.ts";

/** Bound on remembered entries that can't be used; all count beyond it. */
const MAX_REMEMBERED = 1_000;

const log = createLogger("gateway");

export interface ServerEntries {
  apply(id: string, content: unknown): void;
  remove(id: string): void;
}

export interface ServerEntriesOptions {
  readonly fleet: Pick<BackendFleet, "put" | "remove">;
  /** Returns the reason as text if the entry can't be used. */
  readonly decode: (id: string, content: unknown) => BackendServer | string;
  /** Called for each version of an entry that can't be used. */
  readonly onUnusable: () => void;
}

/** Creates the intake of one fleet. */
export function createServerEntries({
  fleet,
  decode,
  onUnusable,
}: ServerEntriesOptions): ServerEntries {
  /** IDs whose entries can't be used, each logged once. */
  const unusable = new Set<string>();

  return {
    apply(id, content) {
      const server = decode(id, content);
      if (typeof server !== "string") {
        unusable.delete(id);
        fleet.put(server);
        return;
      }
      onUnusable();
      // What was known of the server holds no longer.
      fleet.remove(id);
      if (unusable.has(id) || unusable.size >= MAX_REMEMBERED) return;
      unusable.add(id);
      log.warn("server_entry_unreadable", { id, reason: server });
    },
    remove(id) {
      unusable.delete(id);
      fleet.remove(id);
    },
  };
}
