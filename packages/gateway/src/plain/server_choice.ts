/** Chooses among the servers of a plain service. */

import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet } from "../backends/mod.ts";

/** What a server in another failure domain counts as, in calls in progress. */
const CROSSING_CALLS = 0.5;
/** Weight of the newest answer in the mean time of a server. */
const NEWEST_SHARE = 0.2;
/** Assumed of a server that has not answered yet, in milliseconds. */
const FIRST_MEAN_MS = 100;
/** A failed answer counts like one that took so many times the mean. */
const FAILURE_FACTOR = 6;

export interface ServerChoice {
  /** The server that should answer soonest, or `null` when none is usable. */
  choose(service: string, avoided: ReadonlySet<string>): BackendServer | null;
  began(id: string): void;
  ended(
    id: string,
    end: { readonly tookMs: number; readonly ok: boolean },
  ): void;
}

/** Creates the choice of one instance. */
export function createServerChoice(options: {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
}): ServerChoice {
  const { fleet, failureDomain } = options;
  const inProgress = new Map<string, number>();
  const meanMs = new Map<string, number>();

  function cost(server: BackendServer): number {
    const calls = inProgress.get(server.id) ?? 0;
    const crossing =
      server.failureDomain === failureDomain ? 0 : CROSSING_CALLS;
    const mean = meanMs.get(server.id) ?? FIRST_MEAN_MS;
    return (1 + calls + crossing) * mean;
  }

  return {
    choose(service, avoided) {
      const usable = fleet
        .ofService(service)
        .filter((server) => !server.leaving && !avoided.has(server.id));
      const trusted = usable.filter((server) => fleet.isUsable(server));
      const choices = trusted.length > 0 ? trusted : usable;
      return choices.sort((a, b) => cost(a) - cost(b))[0] ?? null;
    },
    began(id) {
      inProgress.set(id, (inProgress.get(id) ?? 0) + 1);
    },
    ended(id, { tookMs, ok }) {
      const calls = (inProgress.get(id) ?? 1) - 1;
      if (calls > 0) inProgress.set(id, calls);
      else inProgress.delete(id);
      const last = meanMs.get(id) ?? FIRST_MEAN_MS;
      const seen = ok ? tookMs : Math.max(tookMs, last * FAILURE_FACTOR);
      meanMs.set(id, last + NEWEST_SHARE * (seen - last));
    },
  };
}
