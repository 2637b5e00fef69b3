/**
 * Chooses the instances that compete for the control lease of a failure
 * domain. If all of them polled the lease objects, 340 instances would use up
 * the store's calls. A few are enough, chosen from the membership.
 */

/** An instance as seen by membership. */
export interface CandidateMember {
  readonly id: string;
  readonly failureDomain: string;
  readonly isAlive: boolean;
}

/** Instances of a domain that compete for its lease. */
const CANDIDATES_PER_DOMAIN = 3;
/** Instances of other domains that compete if a domain has no live instance. */
const SUBSTITUTES_PER_DOMAIN = 2;

/** Whether instance `id` competes for the lease of `failureDomain`. */
export function isLeaseCandidate(
  members: readonly CandidateMember[],
  options: { readonly id: string; readonly failureDomain: string },
): boolean {
  const { id, failureDomain } = options;
  const alive = members.filter((member) => member.isAlive);
  const local = alive.filter(
    (member) => member.failureDomain === failureDomain,
  );
  if (local.length > 0)
    return isAmongFirst(local, { id, count: CANDIDATES_PER_DOMAIN });
  // A domain without live instances still has engines that must drop withdrawn
  // layers and adapters. If its instances are only partitioned, the lease
  // still admits a single holder.
  return isAmongFirst(alive, { id, count: SUBSTITUTES_PER_DOMAIN });
}

function isAmongFirst(
  members: readonly CandidateMember[],
  options: { readonly id: string; readonly count: number },
): boolean {
  const ids = members.map((member) => member.id).sort();
  return ids.slice(0, options.count).includes(options.id);
}
