/** Times for which backend servers want no requests from this instance. */
import { createLogger } from "@rosemarypin/telemetry";
import { createIncarnationMap, type Incarnation } from "./incarnation_map.ts";

/** Bound on a backoff, since a wrong value would exclude a server for good. */
export const MAX_BACKOFF_MS = 600_000;

const log = createLogger("backends");

export interface RequestedBackoffs {
  /** Starts a backoff that a server asked for, unless a longer one is active. */
  record(server: Incarnation, seconds: number): void;
  /** Milliseconds until the server may get requests; 0 without a backoff. */
  remainingMs(server: Incarnation): number;
}

/** Creates the backoffs of one instance; none is active. */
export function createRequestedBackoffs(): RequestedBackoffs {
  const endTimes = createIncarnationMap<number>();

  function remainingMs(server: Incarnation): number {
    const endsAt = endTimes.get(server);
    return endsAt === null ? 0 : Math.max(0, endsAt - performance.now());
  }

  return {
    record(server, seconds) {
      const backoffMs = Math.min(MAX_BACKOFF_MS, seconds * 1_000);
      if (backoffMs <= remainingMs(server)) return;
      endTimes.set(server, performance.now() + backoffMs);
      log.info("server_backoff", { id: server.id, for_ms: backoffMs });
    },
    remainingMs,
  };
}
