/** Weights the servers of a service by the outcome of their recent calls. */

const MIN_WEIGHT = 1 / 32;
const FAILURE_FACTOR = 1 / 4;
const SUCCESS_FACTOR = 1.5;
/**
 * Factor over the average latency of the fastest other server above which a
 * call counts as a failure.
 */
const SLOW_FACTOR = 8;
/** Calls below this never count as slow, as their latencies vary anyway. */
const MIN_SLOW_MS = 250;
const LATENCY_SMOOTHING = 0.1;

/** Health weight of each server. */
export interface ServerHealth {
  /** Share, from 1/32 to 1, of its regular calls that a server should get. */
  weight(server: string): number;
  recordSuccess(server: string, elapsedMs: number): void;
  recordFailure(server: string): void;
}

interface Entry {
  weight: number;
  latencyMs: number | null;
}

/**
 * Creates a record in which all servers have full weight.
 *
 * Each failure cuts the weight of a server to a quarter, and each success
 * raises it by half. The slow recovery sends only a few calls to a server that
 * has just restarted or wrongly reports itself healthy. The weight never falls
 * to zero, since only calls can show that the server has recovered.
 */
export function createServerHealth(): ServerHealth {
  const entries = new Map<string, Entry>();

  function entryOf(server: string): Entry {
    const entry = entries.get(server) ?? { weight: 1, latencyMs: null };
    entries.set(server, entry);
    return entry;
  }

  function isSlow(server: string, elapsedMs: number): boolean {
    const others = [...entries]
      .filter(([id]) => id !== server)
      .flatMap(([, { latencyMs }]) => latencyMs ?? []);
    if (others.length === 0) return false;
    const fastest = Math.min(...others);
    return elapsedMs > Math.max(MIN_SLOW_MS, fastest * SLOW_FACTOR);
  }

  function reduceWeight(entry: Entry): void {
    entry.weight = Math.max(MIN_WEIGHT, entry.weight * FAILURE_FACTOR);
  }

  return {
    weight: (server) => entries.get(server)?.weight ?? 1,
    recordSuccess(server, elapsedMs) {
      const entry = entryOf(server);
      const previousMs = entry.latencyMs ?? elapsedMs;
      entry.latencyMs =
        previousMs + (elapsedMs - previousMs) * LATENCY_SMOOTHING;
      if (isSlow(server, elapsedMs)) reduceWeight(entry);
      else entry.weight = Math.min(1, entry.weight * SUCCESS_FACTOR);
    },
    recordFailure(server) {
      reduceWeight(entryOf(server));
    },
  };
}
