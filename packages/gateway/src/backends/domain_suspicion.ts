/** Notices that a whole failure domain may be out of reach. */

/** Servers of one domain that have to fall silent within the time. */
const SILENT_SERVERS = 2;
const SILENT_WITHIN_MS = 1_000;
/** A domain is looked at as a whole once in so long. */
const LOOK_AGAIN_AFTER_MS = 3_000;

export interface DomainSuspicion {
  /**
   * Takes in that a server fell silent; returns whether the others of its
   * domain are to be asked now.
   */
  silent(failureDomain: string): boolean;
}

/**
 * Creates a record for the domains other than the own one.
 *
 * When a domain is cut off, each of its servers is found out only by requests
 * that fail there, one after the other, and their layers are planned anew in
 * several rounds. Two servers that fall silent together are rarely a
 * coincidence; asking the others costs one report each.
 */
export function createDomainSuspicion(ownDomain: string): DomainSuspicion {
  const silences = new Map<string, number[]>();
  const lookedAt = new Map<string, number>();
  return {
    silent(failureDomain) {
      if (failureDomain === ownDomain) return false;
      const now = performance.now();
      const recent = (silences.get(failureDomain) ?? []).filter(
        (at) => now - at < SILENT_WITHIN_MS,
      );
      recent.push(now);
      silences.set(failureDomain, recent);
      if (recent.length < SILENT_SERVERS) return false;
      const last = lookedAt.get(failureDomain) ?? Number.NEGATIVE_INFINITY;
      if (now - last < LOOK_AGAIN_AFTER_MS) return false;
      lookedAt.set(failureDomain, now);
      return true;
    },
  };
}
