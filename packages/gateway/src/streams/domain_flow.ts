/**
 * Decides up to which load the instances of a failure domain may use the engines
 * of the others, for loads that are uneven between domains: demand varies out of
 * phase, callers move between domains, or a domain loses engines. Each instance
 * decides by itself from the same figures.
 */

/**
 * Load limit of other domains' engines unless their domain helps. Their load is
 * known with a delay of seconds, in which their domain itself and others may
 * fill the engines. When all domains are short of engines, more use of each
 * other's would delay the answers of every domain, instead of refusing some in
 * one.
 */
export const DEFAULT_DOMAIN_LIMIT = 0.5;
/** Share of a domain's capacity that its need and its help may take together. */
const MAX_USED_SHARE = 0.9;
/**
 * Bound on the rise of a limit. Reports are up to 3 s old; a domain that rises
 * faster would fill the engines of another before it sees the effect.
 */
const MAX_RISE_PER_SECOND = 0.1;
/**
 * Longest time between decisions that counts as a rise, so that a limit doesn't
 * jump after a time without decisions.
 */
const MAX_RISE_MS = 1_000;
/**
 * Time ahead for which a rise of a helping domain's need is expected to go on:
 * the age of a report and the time in which given answers end.
 */
const RISE_HORIZON_MS = 6_000;
/** Time over which the rise of a need is measured. */
const RISE_WINDOW_MS = 2_000;
const MIN_RISE_WINDOW_MS = 500;

/** Amounts are in tokens of complete answers. */
export interface DomainState {
  readonly failureDomain: string;
  readonly capacity: number;
  /** Tokens that its own callers need; `null` if unknown. */
  readonly need: number | null;
  /** Highest need that is expected soon; `need` if left out. */
  readonly expectedNeed?: number;
}

/**
 * Returns the load limits of the other failure domains' engines for instances of
 * `own`. What domains lack is spread over what others can spare, in proportion.
 */
export function decideDomainLimits(
  own: string,
  domains: readonly DomainState[],
): ReadonlyMap<string, number> {
  let totalShortage = 0;
  let totalSpare = 0;
  let ownShortage = 0;
  for (const domain of domains) {
    const shortage = shortageOf(domain);
    totalShortage += shortage;
    totalSpare += spareOf(domain);
    if (domain.failureDomain === own) ownShortage = shortage;
  }
  const limits = new Map<string, number>();
  for (const domain of domains) {
    const { failureDomain, capacity, need } = domain;
    if (failureDomain === own) continue;
    const spare = spareOf(domain);
    const given =
      spare === 0
        ? 0
        : (ownShortage * spare) / Math.max(totalShortage, totalSpare);
    const limit =
      given === 0 ? DEFAULT_DOMAIN_LIMIT : ((need ?? 0) + given) / capacity;
    limits.set(
      failureDomain,
      Math.min(MAX_USED_SHARE, Math.max(DEFAULT_DOMAIN_LIMIT, limit)),
    );
  }
  return limits;
}

function shortageOf({ capacity, need }: DomainState): number {
  return need === null ? 0 : Math.max(0, need - capacity * MAX_USED_SHARE);
}

function spareOf({ capacity, need, expectedNeed }: DomainState): number {
  if (need === null) return 0;
  const highest = Math.max(need, expectedNeed ?? 0);
  return Math.max(0, capacity * MAX_USED_SHARE - highest);
}

export interface DomainFlow {
  /** Decides again; limits fall at once and rise slowly. */
  update(domains: readonly DomainState[]): void;
  /** Limits by the last decision. */
  limits(): ReadonlyMap<string, number>;
}

/** Creates the flow into the domain `own`, with default limits. */
export function createDomainFlow(own: string): DomainFlow {
  const needs = createNeedHistory();
  let limits: ReadonlyMap<string, number> = new Map();
  let updatedAt = Number.NEGATIVE_INFINITY;

  return {
    update(domains) {
      const now = performance.now();
      const elapsedMs = Math.min(MAX_RISE_MS, now - updatedAt);
      updatedAt = now;
      const expected = domains.map((domain) => needs.expect(domain, now));
      const maxRise = (elapsedMs / 1_000) * MAX_RISE_PER_SECOND;
      const next = new Map<string, number>();
      for (const [domain, limit] of decideDomainLimits(own, expected)) {
        const last = limits.get(domain) ?? DEFAULT_DOMAIN_LIMIT;
        next.set(domain, Math.min(limit, last + maxRise));
      }
      limits = next;
    },
    limits: () => limits,
  };
}

interface NeedAt {
  readonly at: number;
  readonly need: number;
}

/** Expects that a need that rises will continue to do so. */
function createNeedHistory() {
  const byDomain = new Map<string, NeedAt[]>();
  return {
    expect(domain: DomainState, now: number): DomainState {
      const { failureDomain, need } = domain;
      if (need === null) {
        byDomain.delete(failureDomain);
        return domain;
      }
      const known = byDomain.get(failureDomain) ?? [];
      const recent = known.filter(({ at }) => now - at <= RISE_WINDOW_MS);
      recent.push({ at: now, need });
      byDomain.set(failureDomain, recent);
      const [first] = recent;
      if (!first || now - first.at < MIN_RISE_WINDOW_MS) return domain;
      const risePerMs = Math.max(0, (need - first.need) / (now - first.at));
      return { ...domain, expectedNeed: need + risePerMs * RISE_HORIZON_MS };
    },
  };
}
