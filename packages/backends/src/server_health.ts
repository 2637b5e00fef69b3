/** How much a server is trusted with, by how its last calls went. */

const LOWEST_TRUST = 1 / 32;
const FALL = 1 / 4;
const RISE = 1.5;
/** A call this much slower than the server's peers counts as a failure. */
const SLOW_FACTOR = 8;
/** Differences below this are noise. */
const SLOW_FLOOR_MS = 250;
const LATENCY_SHARE = 0.1;

/** Trust in each server of a service. */
export interface ServerHealth {
  /** A share from 1/32 to 1 of the calls that would be its turn. */
  trust(server: string): number;
  succeeded(server: string, elapsedMs: number): void;
  failed(server: string): void;
}

interface Entry {
  trust: number;
  latencyMs: number | null;
}

/**
 * Creates full trust in all servers.
 *
 * A server that fails falls to a quarter with each failure and climbs by
 * half with each success, so it comes back slowly: a server that has just
 * restarted, or lies that it is well, meets a few calls before it meets all.
 * Some trust always stays, since only calls can show that it is well again.
 */
export function createServerHealth(): ServerHealth {
  const entries = new Map<string, Entry>();

  function entryOf(server: string): Entry {
    const entry = entries.get(server) ?? { trust: 1, latencyMs: null };
    entries.set(server, entry);
    return entry;
  }

  function isSlow(server: string, elapsedMs: number): boolean {
    const others = [...entries]
      .filter(([id]) => id !== server)
      .flatMap(([, { latencyMs }]) => latencyMs ?? []);
    if (others.length === 0) return false;
    const fastest = Math.min(...others);
    return elapsedMs > Math.max(SLOW_FLOOR_MS, fastest * SLOW_FACTOR);
  }

  function fall(entry: Entry): void {
    entry.trust = Math.max(LOWEST_TRUST, entry.trust * FALL);
  }

  return {
    trust: (server) => entries.get(server)?.trust ?? 1,
    succeeded(server, elapsedMs) {
      const entry = entryOf(server);
      const before = entry.latencyMs ?? elapsedMs;
      entry.latencyMs = before + (elapsedMs - before) * LATENCY_SHARE;
      if (isSlow(server, elapsedMs)) fall(entry);
      else entry.trust = Math.min(1, entry.trust * RISE);
    },
    failed(server) {
      fall(entryOf(server));
    },
  };
}
