/**
 * Selects the engines that an instance uses, and those that it watches on
 * behalf of all instances. If each of 340 instances read each of 650 engines
 * twice a second, that would be 442,000 reads a second.
 */
import type { EngineSettings } from "@rosemarypin/schemas";
import xxhash from "xxhash-wasm";

/** Up to this number of engines, every instance uses and watches all. */
const MAX_WHOLE_ENGINES = 64;
/** Engines used per role, those of the instance's own domain first. */
const ENGINES_PER_ROLE = 4;
/** Domains whose engines without roles are used, the instance's own first. */
const PLACED_DOMAIN_COUNT = 2;
/** Instances that watch an engine, so that one remains if the other is lost. */
const WATCHERS_PER_ENGINE = 2;

const { h64 } = await xxhash();

/** The attributes of an instance that determine its subset. */
export interface SubsetMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** Ids of the engines that one instance uses and watches. */
export interface EngineSubset {
  /** Engines that answers may use, including the watched ones. */
  readonly used: ReadonlySet<string>;
  /** Engines that this instance polls, to notify others of changes. */
  readonly watched: ReadonlySet<string>;
  /** Whether all engines are used and watched by every instance. */
  readonly isWhole: boolean;
}

/**
 * Chooses by rendezvous hashing, so that an instance that joins or leaves moves
 * only its own share. The engines that are chosen for use depend only on the
 * instance itself. The watched engines depend on the other instances too, so
 * that each engine has a watcher.
 */
export function chooseEngines(
  engines: readonly EngineSettings[],
  options: {
    readonly self: SubsetMember;
    /** All live instances, this one included. */
    readonly members: readonly SubsetMember[];
  },
): EngineSubset {
  if (engines.length <= MAX_WHOLE_ENGINES) {
    const allIds = new Set(engines.map(({ id }) => id));
    return { used: allIds, watched: allIds, isWhole: true };
  }
  const { self, members } = options;
  const membersByDomain = groupByDomain(members);
  const watched = engines
    .filter(({ id, failureDomain }) =>
      isWatcher(self, {
        engineId: id,
        candidates: membersByDomain.get(failureDomain) ?? members,
      }),
    )
    .map(({ id }) => id);
  const withRoles = engines.filter(({ roles }) => roles.length > 0);
  const chosen = [...groupByRole(withRoles).values()].flatMap((group) =>
    chooseNearest(group, self).map(({ id }) => id),
  );
  const placed = choosePlacedEngines(engines, self).map(({ id }) => id);
  return {
    used: new Set([...chosen, ...placed, ...watched]),
    watched: new Set(watched),
    isWhole: false,
  };
}

/**
 * Chooses among the engines without roles, which hold the layers that placement
 * assigns. Their pipelines stay within a domain, so a few engines of each
 * domain would not cover any model. The instance uses all of its own domain,
 * and all of another in case its own is lost.
 */
function choosePlacedEngines(
  engines: readonly EngineSettings[],
  self: SubsetMember,
): readonly EngineSettings[] {
  const placed = engines.filter(({ roles }) => roles.length === 0);
  const domains = [...new Set(placed.map((engine) => engine.failureDomain))];
  const domainOrder = (domain: string) =>
    domain === self.failureDomain ? 0 : 1;
  const chosen = domains
    .sort(
      (a, b) =>
        domainOrder(a) - domainOrder(b) ||
        (rank(self.id, a) > rank(self.id, b) ? -1 : 1),
    )
    .slice(0, PLACED_DOMAIN_COUNT);
  return placed.filter((engine) => chosen.includes(engine.failureDomain));
}

function groupByDomain(
  members: readonly SubsetMember[],
): ReadonlyMap<string, SubsetMember[]> {
  const groups = new Map<string, SubsetMember[]>();
  for (const member of members) {
    const group = groups.get(member.failureDomain);
    if (group) group.push(member);
    else groups.set(member.failureDomain, [member]);
  }
  return groups;
}

/**
 * Whether the instance is among the highest-ranked candidates for an engine:
 * the instances of the engine's domain, or all instances if it has none.
 */
function isWatcher(
  self: SubsetMember,
  options: {
    readonly engineId: string;
    readonly candidates: readonly SubsetMember[];
  },
): boolean {
  const { engineId, candidates } = options;
  if (!candidates.some(({ id }) => id === self.id)) return false;
  const ownRank = rank(self.id, engineId);
  let higherRanked = 0;
  // Hashing takes most of the time, and few candidates decide.
  for (const { id } of candidates) {
    if (rank(id, engineId) > ownRank) higherRanked += 1;
    if (higherRanked === WATCHERS_PER_ENGINE) return false;
  }
  return true;
}

function groupByRole(
  engines: readonly EngineSettings[],
): ReadonlyMap<string, EngineSettings[]> {
  const groups = new Map<string, EngineSettings[]>();
  for (const engine of engines) {
    const role = JSON.stringify(engine.roles);
    const group = groups.get(role) ?? [];
    group.push(engine);
    groups.set(role, group);
  }
  return groups;
}

function chooseNearest(
  engines: readonly EngineSettings[],
  self: SubsetMember,
): readonly EngineSettings[] {
  const domainOrder = (engine: EngineSettings) =>
    engine.failureDomain === self.failureDomain ? 0 : 1;
  return engines
    .map((engine) => ({ engine, rank: rank(self.id, engine.id) }))
    .sort(
      (a, b) =>
        domainOrder(a.engine) - domainOrder(b.engine) ||
        (a.rank > b.rank ? -1 : 1),
    )
    .slice(0, ENGINES_PER_ROLE)
    .map(({ engine }) => engine);
}

function rank(instance: string, engine: string): bigint {
  return h64(`${instance} ${engine}`);
}
