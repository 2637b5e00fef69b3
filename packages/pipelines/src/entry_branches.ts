/** Searches for a path that enters no engine twice. */

/** A path through the layers; engines are given by their index. */
export interface EnginePath {
  /** Engine of each stage. */
  readonly engines: readonly number[];
  /** Exclusive end of each stage's layers. */
  readonly ends: readonly number[];
  readonly first: number;
  readonly cost: number;
}

/** Restrictions of one search; without entries nothing is restricted. */
export interface PathBounds {
  /** Layers at which a path may enter an engine: from, and up to before `to`. */
  readonly entries: ReadonlyMap<
    number,
    { readonly from: number; readonly to: number }
  >;
  /** Engines that a path may leave only at the end of their range. */
  readonly wholeRangeOnly: ReadonlySet<number>;
}

interface SearchResult {
  readonly path: EnginePath;
  readonly entries: PathBounds["entries"];
}

const ANY_ENTRY = { from: 0, to: Number.POSITIVE_INFINITY };
/** Searches per pipeline before branching stops, to bound the time. */
const MAX_SEARCHES = 16;

/**
 * Returns the cheapest path found that enters no engine twice, given the path
 * of an unrestricted search, which does.
 *
 * The search branches on the layer of the second entry: one branch allows
 * entries to this engine only before that layer, the other only from it on. The
 * cheapest branch is explored first. After `MAX_SEARCHES` searches the result
 * may be suboptimal.
 */
export function searchBranches(
  unrestricted: EnginePath,
  searchPath: (bounds: PathBounds) => EnginePath | null,
): EnginePath | null {
  const pendingResults: SearchResult[] = [
    { path: unrestricted, entries: new Map() },
  ];
  const wholeRangeOnly = new Set<number>();

  function search(entries: PathBounds["entries"]): void {
    const path = searchPath({ entries, wholeRangeOnly });
    if (path) pendingResults.push({ path, entries });
  }

  for (let searches = 1; ; searches += 2) {
    const next = removeCheapest(pendingResults);
    if (!next) return null;
    const { path, entries } = next;
    const reentry = findReentry(path);
    if (reentry < 0) return path;
    const engine = path.engines[reentry] ?? -1;
    if (searches > MAX_SEARCHES) {
      // A path that leaves the engine only at the end of its range can't
      // enter it a second time.
      wholeRangeOnly.add(engine);
      search(entries);
      continue;
    }
    const at = path.ends[reentry - 1] ?? path.first;
    const window = entries.get(engine) ?? ANY_ENTRY;
    search(new Map([...entries, [engine, { ...window, to: at }]]));
    search(new Map([...entries, [engine, { ...window, from: at }]]));
  }
}

/**
 * Returns the first stage whose engine the path has entered before, or -1. The
 * paths are so short that comparing all pairs takes less than a set.
 */
export function findReentry({ engines }: EnginePath): number {
  for (let stage = 1; stage < engines.length; stage += 1) {
    if (engines.indexOf(engines[stage] ?? -1) < stage) return stage;
  }
  return -1;
}

function removeCheapest(results: SearchResult[]): SearchResult | undefined {
  results.sort((a, b) => b.path.cost - a.path.cost);
  return results.pop();
}
