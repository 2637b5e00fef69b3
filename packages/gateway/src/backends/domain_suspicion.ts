/** Detects that a whole failure domain may be unreachable. */

/** Failures within `FAILURE_WINDOW_MS` that make a domain suspect. */
const FAILURE_THRESHOLD = 2;
const FAILURE_WINDOW_MS = 1_000;
/** Minimum time between two probes of a whole domain. */
const MIN_REPROBE_INTERVAL_MS = 3_000;

export interface DomainSuspicion {
  /**
   * Records that a server stopped answering; returns whether the other servers
   * of its domain should be probed now.
   */
  recordFailure(failureDomain: string): boolean;
}

/**
 * Creates the suspicion for all domains except `ownDomain`.
 *
 * When a domain is cut off, its servers would otherwise be detected one by one
 * as requests fail there, and their layers replanned in several rounds. Two
 * servers that stop answering together are rarely a coincidence, and a probe of
 * the others costs one report each.
 */
export function createDomainSuspicion(ownDomain: string): DomainSuspicion {
  const failureTimes = new Map<string, number[]>();
  const probedAt = new Map<string, number>();
  return {
    recordFailure(failureDomain) {
      if (failureDomain === ownDomain) return false;
      const now = performance.now();
      const recent = (failureTimes.get(failureDomain) ?? []).filter(
        (at) => now - at < FAILURE_WINDOW_MS,
      );
      recent.push(now);
      failureTimes.set(failureDomain, recent);
      if (recent.length < FAILURE_THRESHOLD) return false;
      const last = probedAt.get(failureDomain) ?? Number.NEGATIVE_INFINITY;
      if (now - last < MIN_REPROBE_INTERVAL_MS) return false;
      probedAt.set(failureDomain, now);
      return true;
    },
  };
}
