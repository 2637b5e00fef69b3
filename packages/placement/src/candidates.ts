/**
 * Which instances may try for the control lease of a failure domain. With all
 * of them polling the lease objects, 340 instances would spend the store's
 * calls on them; a few are enough, and membership says who.
 */

/** One instance, as membership sees it. */
export interface CandidateMember {
  readonly id: string;
  readonly failureDomain: string;
  readonly isAlive: boolean;
}

/** Instances of a domain that try for its lease. */
const CANDIDATES_PER_DOMAIN = 3;
/** Instances of other domains that try where a domain has none of its own. */
const SUBSTITUTES_PER_DOMAIN = 2;

/** Whether instance `id` is to try for the lease of `failureDomain`. */
export function isLeaseCandidate(
  members: readonly CandidateMember[],
  options: { readonly id: string; readonly failureDomain: string },
): boolean {
  const { id, failureDomain } = options;
  const alive = members.filter((member) => member.isAlive);
  const own = alive.filter((member) => member.failureDomain === failureDomain);
  if (own.length > 0) return isAmong(own, { id, count: CANDIDATES_PER_DOMAIN });
  // A domain without instances still has engines that must drop what is
  // withdrawn; if its instances are only cut off, the lease decides.
  return isAmong(alive, { id, count: SUBSTITUTES_PER_DOMAIN });
}

function isAmong(
  members: readonly CandidateMember[],
  options: { readonly id: string; readonly count: number },
): boolean {
  const ids = members.map((member) => member.id).sort();
  return ids.slice(0, options.count).includes(options.id);
}
