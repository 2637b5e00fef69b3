/**
 * Which engines an instance uses, and which it watches for the others. With
 * all instances reading all engines, 340 of them would read 650 engines twice
 * a second each: 442,000 reads a second.
 */
import type { EngineSettings } from "@rosemarypin/schemas";
import xxhash from "xxhash-wasm";

/** A deployment of this many engines is used whole by every instance. */
const WHOLE_UP_TO = 64;
/** Engines of each role that an instance uses, its own domain's first. */
const ENGINES_PER_ROLE = 4;
/** Domains whose engines without roles an instance uses, its own first. */
const PLACED_DOMAINS = 2;
/** Instances that watch an engine, so that the loss of one leaves another. */
const WATCHERS = 2;

const { h64 } = await xxhash();

/** An instance as far as the choice of engines is concerned. */
export interface SubsetMember {
  readonly id: string;
  readonly failureDomain: string;
}

/** Engines by what one instance does with them. */
export interface EngineSubset {
  /** Engines that answers may use, the watched ones included. */
  readonly used: ReadonlySet<string>;
  /** Engines whose changes this instance finds and tells. */
  readonly watched: ReadonlySet<string>;
  /** Whether the deployment is so small that there is nothing to choose. */
  readonly isWhole: boolean;
}

/**
 * Chooses by rendezvous hashing, so that an instance that comes or goes moves
 * only its own share. What an instance uses depends on itself alone; what it
 * watches depends on who else is there, so that each engine has a watcher.
 */
export function chooseEngines(
  engines: readonly EngineSettings[],
  options: {
    readonly self: SubsetMember;
    /** All live instances, this one included. */
    readonly members: readonly SubsetMember[];
  },
): EngineSubset {
  if (engines.length <= WHOLE_UP_TO) {
    const all = new Set(engines.map(({ id }) => id));
    return { used: all, watched: all, isWhole: true };
  }
  const { self, members } = options;
  const watched = engines
    .filter((engine) => isWatcher(self, { engine, members }))
    .map(({ id }) => id);
  const fixed = engines.filter(({ roles }) => roles.length > 0);
  const chosen = [...groupByRole(fixed).values()].flatMap((group) =>
    nearest(group, self).map(({ id }) => id),
  );
  const placed = chooseDomains(engines, self).map(({ id }) => id);
  return {
    used: new Set([...chosen, ...placed, ...watched]),
    watched: new Set(watched),
    isWhole: false,
  };
}

/**
 * Engines without roles hold what placement gives them, and their pipelines
 * stay within a domain: a few of each domain would cover no model. So the
 * instance uses its own domain whole, and another in case that is lost.
 */
function chooseDomains(
  engines: readonly EngineSettings[],
  self: SubsetMember,
): readonly EngineSettings[] {
  const placed = engines.filter(({ roles }) => roles.length === 0);
  const names = [...new Set(placed.map((engine) => engine.failureDomain))];
  const isOwn = (domain: string) => (domain === self.failureDomain ? 0 : 1);
  const chosen = names
    .sort(
      (a, b) =>
        isOwn(a) - isOwn(b) || (rank(self.id, a) > rank(self.id, b) ? -1 : 1),
    )
    .slice(0, PLACED_DOMAINS);
  return placed.filter((engine) => chosen.includes(engine.failureDomain));
}

/** Instances of the engine's own domain watch it; if there are none, all. */
function isWatcher(
  self: SubsetMember,
  options: {
    readonly engine: EngineSettings;
    readonly members: readonly SubsetMember[];
  },
): boolean {
  const { engine, members } = options;
  const near = members.filter(
    ({ failureDomain }) => failureDomain === engine.failureDomain,
  );
  const watchers = near.length > 0 ? near : members;
  if (!watchers.some(({ id }) => id === self.id)) return false;
  const own = rank(self.id, engine.id);
  const before = watchers.filter(({ id }) => rank(id, engine.id) > own);
  return before.length < WATCHERS;
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

function nearest(
  engines: readonly EngineSettings[],
  self: SubsetMember,
): readonly EngineSettings[] {
  const isFar = (engine: EngineSettings) =>
    engine.failureDomain === self.failureDomain ? 0 : 1;
  return engines
    .map((engine) => ({ engine, rank: rank(self.id, engine.id) }))
    .sort(
      (a, b) => isFar(a.engine) - isFar(b.engine) || (a.rank > b.rank ? -1 : 1),
    )
    .slice(0, ENGINES_PER_ROLE)
    .map(({ engine }) => engine);
}

function rank(instance: string, engine: string): bigint {
  return h64(`${instance} ${engine}`);
}
