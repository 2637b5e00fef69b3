/**
 * Shortest-path search over the layers. Its tables are kept between searches, so
 * that one search allocates little more than its result: instances answer a few
 * requests a second, and code that isn't compiled yet spends most of its time on
 * objects and calls.
 */
import type { EnginePath, PathBounds } from "./entry_branches.ts";
import type { LayerTable } from "./layer_table.ts";
import { crossingCostMs, NEAR_ENTRY_COST_MS } from "./path_costs.ts";
import type { LayerRange } from "./types.ts";

/** Maximum number of stages in a pipeline that engines accept. */
export const MAX_STAGES = 32;
/**
 * Relative difference below which costs count as equal when the search leaves
 * out edges. It exceeds the rounding errors of sums, so that the edges left out
 * could not have been part of the result.
 */
const TOLERANCE = 1e-9;

/** What a search reads of its usable engines, by index. */
export interface SearchedColumns {
  readonly isUsable: Uint8Array;
  /** Milliseconds per token of one layer. */
  readonly layerMs: Float64Array;
  /** Cost of the engine's backlog per entry, in milliseconds per token. */
  readonly entryMs: Float64Array;
  /**
   * Cost that the link from a failure domain to another adds to a hop, by the
   * order of the domains, one row for each first one; infinite if it can't be
   * used.
   */
  readonly linkMs: Float64Array;
  /** Order of the failure domains, by number; the preferred one is first. */
  readonly ranks: Int32Array;
  /** The first layer from this one on at which a range begins. */
  readonly nextStart: Int32Array;
}

/**
 * Creates a search that returns the cheapest path of at most `MAX_STAGES`
 * stages through a range, or `null` if it finds none. The path may enter an
 * engine more than once. Of equal paths it prefers earlier domains and engines.
 */
export function createPathSearch(
  { tos, domains, domainCount, layerCount, enginesAt }: LayerTable,
  { isUsable, layerMs, entryMs, linkMs, ranks, nextStart }: SearchedColumns,
): (range: LayerRange, bounds: PathBounds | null) => EnginePath | null {
  // States are a layer and the failure domain of the stage before it; state 0
  // is the first layer in the preferred domain.
  const stateCount = (layerCount + 1) * domainCount;
  const costs = new Float64Array(stateCount);
  const stageCounts = new Uint8Array(stateCount);
  const previous = new Int32Array(stateCount);
  const reachedBy = new Int32Array(stateCount);
  const isReached = new Uint8Array(layerCount + 1);

  // By failure domain, for the layer that is expanded.
  const nearest = new Int32Array(domainCount);
  const hasTies = new Uint8Array(domainCount);
  const bestEngine = new Int32Array(domainCount);
  const bestEntered = new Float64Array(domainCount);

  let first = 0;
  let end = 0;
  let bounds: PathBounds | null = null;

  /**
   * Records a step if it is the cheapest to its state. Of equal ones the
   * first by previous state and engine is kept.
   */
  function relax(
    to: number,
    cost: number,
    origin: number,
    engine: number,
  ): void {
    const rank = ranks[domains[engine] as number] as number;
    const state = (to - first) * domainCount + rank;
    const current = costs[state] as number;
    if (cost > current) return;
    if (cost === current) {
      if (cost === Number.POSITIVE_INFINITY) return;
      const known = previous[state] as number;
      if (origin > known) return;
      if (origin === known && engine >= (reachedBy[state] as number)) return;
    }
    costs[state] = cost;
    stageCounts[state] = (stageCounts[origin] as number) + 1;
    previous[state] = origin;
    reachedBy[state] = engine;
    isReached[to] = 1;
  }

  /** Relaxes the edges of an engine from a layer to each of its ends. */
  function relaxEnds(
    layer: number,
    engine: number,
    entered: number,
    origin: number,
    from: number,
  ): void {
    const ms = layerMs[engine] as number;
    const lastEnd = Math.min(tos[engine] as number, end);
    if (!bounds?.wholeRangeOnly.has(engine)) {
      // At other layers the next engine would be entered within its range.
      let to = nextStart[from] as number;
      while (to < lastEnd) {
        relax(to, entered + ms * (to - layer), origin, engine);
        to = nextStart[to + 1] as number;
      }
    }
    relax(lastEnd, entered + ms * (lastEnd - layer), origin, engine);
  }

  /**
   * Cost of a hop between domains. No activations pass a link before the first
   * stage.
   */
  function hopMs(from: number, to: number, isFirst: boolean): number {
    if (from === to) return NEAR_ENTRY_COST_MS;
    if (isFirst) return crossingCostMs(true);
    return crossingCostMs(false) + (linkMs[from * domainCount + to] as number);
  }

  /**
   * Finds the cheapest state of the layer from which to enter engines of each
   * domain, and whether others cost about the same.
   */
  function findNearest(layer: number): boolean {
    const isFirst = layer === first;
    const base = (layer - first) * domainCount;
    let isAny = false;
    for (let to = 0; to < domainCount; to += 1) {
      let best = Number.POSITIVE_INFINITY;
      nearest[to] = -1;
      hasTies[to] = 0;
      bestEngine[to] = -1;
      for (let from = 0; from < domainCount; from += 1) {
        const state = base + from;
        const cost = (costs[state] as number) + hopMs(from, to, isFirst);
        if (cost === Number.POSITIVE_INFINITY) continue;
        if (stageCounts[state] === MAX_STAGES) continue;
        isAny = true;
        if (cost < best * (1 - TOLERANCE)) hasTies[to] = 0;
        else if (cost <= best * (1 + TOLERANCE)) hasTies[to] = 1;
        if (cost >= best) continue;
        best = cost;
        nearest[to] = state;
      }
    }
    return isAny;
  }

  /**
   * Whether the best engine of the domain so far reaches every layer before
   * `lastEnd` at less cost than another engine entered at the same layer.
   */
  function isDominated(
    layer: number,
    rank: number,
    entered: number,
    ms: number,
    lastEnd: number,
  ): boolean {
    const best = bestEngine[rank] as number;
    if (best < 0) return false;
    if ((tos[best] as number) < lastEnd) return false;
    const bestMs = layerMs[best] as number;
    const bestCost = bestEntered[rank] as number;
    const layers = lastEnd - layer;
    return (
      bestCost + bestMs < (entered + ms) * (1 - TOLERANCE) &&
      bestCost + bestMs * layers < (entered + ms * layers) * (1 - TOLERANCE)
    );
  }

  function expand(layer: number): void {
    const isFirst = layer === first;
    if (!findNearest(layer)) return;
    const base = (layer - first) * domainCount;
    const options = enginesAt(layer);
    for (let at = 0; at < options.length; at += 1) {
      const engine = options[at] as number;
      if (isUsable[engine] === 0) continue;
      const window = bounds?.entries.get(engine);
      if (window && (layer < window.from || layer >= window.to)) continue;
      const rank = ranks[domains[engine] as number] as number;
      const entry = entryMs[engine] as number;
      if (hasTies[rank] === 1) {
        for (let from = 0; from < domainCount; from += 1) {
          const state = base + from;
          const cost = costs[state] as number;
          if (cost === Number.POSITIVE_INFINITY) continue;
          if (stageCounts[state] === MAX_STAGES) continue;
          const hop = hopMs(from, rank, isFirst);
          relaxEnds(layer, engine, cost + entry + hop, state, layer + 1);
        }
        continue;
      }
      const origin = nearest[rank] as number;
      if (origin < 0) continue;
      const hop = hopMs(origin - base, rank, isFirst);
      const entered = (costs[origin] as number) + entry + hop;
      const ms = layerMs[engine] as number;
      const to = tos[engine] as number;
      const lastEnd = Math.min(to, end);
      if (isDominated(layer, rank, entered, ms, lastEnd)) {
        const best = bestEngine[rank] as number;
        const isEndOfBest =
          Math.min(tos[best] as number, end) === lastEnd ||
          nextStart[lastEnd] === lastEnd;
        if (!isEndOfBest) {
          relax(lastEnd, entered + ms * (lastEnd - layer), origin, engine);
        }
        continue;
      }
      relaxEnds(layer, engine, entered, origin, layer + 1);
      if (bounds?.wholeRangeOnly.has(engine)) continue;
      const best = bestEngine[rank] as number;
      if (best < 0 || ms < (layerMs[best] as number)) {
        bestEngine[rank] = engine;
        bestEntered[rank] = entered;
      }
    }
  }

  function cheapestPath(): EnginePath | null {
    let state = (end - first) * domainCount;
    const after = state + domainCount;
    for (let other = state + 1; other < after; other += 1) {
      if ((costs[other] as number) < (costs[state] as number)) state = other;
    }
    const cost = costs[state] as number;
    if (cost === Number.POSITIVE_INFINITY) return null;
    const passed: number[] = [];
    const ends: number[] = [];
    while (state !== 0) {
      passed.push(reachedBy[state] as number);
      ends.push(first + Math.floor(state / domainCount));
      state = previous[state] as number;
    }
    return { engines: passed.reverse(), ends: ends.reverse(), first, cost };
  }

  return (range, searchBounds) => {
    first = range.from;
    end = range.to;
    bounds = searchBounds;
    costs.fill(Number.POSITIVE_INFINITY);
    isReached.fill(0);
    costs[0] = 0;
    stageCounts[0] = 0;
    isReached[first] = 1;
    for (let layer = first; layer < end; layer += 1) {
      if (isReached[layer] === 1) expand(layer);
    }
    return cheapestPath();
  };
}
