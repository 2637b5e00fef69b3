/** Load balancing among the servers of a plain service. */

import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";

/** Cost of crossing a failure domain, in calls in progress. */
const CROSS_DOMAIN_CALLS = 0.5;
/** Weight of the newest answer in a server's moving mean of answer times. */
const NEWEST_ANSWER_WEIGHT = 0.2;
/** Assumed answer time of a server that has not answered yet. */
const INITIAL_MEAN_MS = 100;
/** A failed answer counts as at least this multiple of the mean time. */
const FAILURE_COST_FACTOR = 6;

export interface ServerChoice {
  /**
   * Returns the server with the lowest expected answer time, for one request
   * that counts towards its limit; `null` if all servers of the service are
   * leaving, excluded, at their limits or have asked for a backoff. A server
   * under suspicion is chosen only if there is no other.
   */
  choose(service: string, excluded: ReadonlySet<string>): BackendServer | null;
  requestStarted(id: string): void;
  requestEnded(
    id: string,
    end: { readonly tookMs: number; readonly succeeded: boolean },
  ): void;
}

/** Creates the server choice of one instance. */
export function createServerChoice(options: {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
}): ServerChoice {
  const { fleet, failureDomain } = options;
  const inProgress = new Map<string, number>();
  const meanMs = new Map<string, number>();

  function cost(server: BackendServer): number {
    const calls = inProgress.get(server.id) ?? 0;
    const crossDomainCalls =
      server.failureDomain === failureDomain ? 0 : CROSS_DOMAIN_CALLS;
    const mean = meanMs.get(server.id) ?? INITIAL_MEAN_MS;
    return (1 + calls + crossDomainCalls) * mean;
  }

  return {
    choose(service, excluded) {
      const candidates = fleet
        .ofService(service)
        .filter((server) => !server.leaving && !excluded.has(server.id))
        .filter((server) => fleet.backoffs.remainingMs(server) === 0)
        .filter((server) => fleet.limits.allows(server));
      const healthy = candidates.filter((server) => fleet.isUsable(server));
      const choices = healthy.length > 0 ? healthy : candidates;
      choices.sort((a, b) => cost(a) - cost(b));
      return choices.find((server) => fleet.limits.take(server)) ?? null;
    },
    requestStarted(id) {
      inProgress.set(id, (inProgress.get(id) ?? 0) + 1);
    },
    requestEnded(id, { tookMs, succeeded }) {
      const calls = (inProgress.get(id) ?? 1) - 1;
      if (calls > 0) inProgress.set(id, calls);
      else inProgress.delete(id);
      const previousMs = meanMs.get(id) ?? INITIAL_MEAN_MS;
      const sampleMs = succeeded
        ? tookMs
        : Math.max(tookMs, previousMs * FAILURE_COST_FACTOR);
      meanMs.set(
        id,
        previousMs + NEWEST_ANSWER_WEIGHT * (sampleMs - previousMs),
      );
    },
  };
}
