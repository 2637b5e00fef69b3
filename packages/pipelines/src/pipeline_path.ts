/**
 * Finds the pipeline of engines for an answer as a shortest path over the
 * layers. Edge costs are the time on engines, network hops and crossings
 * between failure domains.
 */
import { idleLayerMs, STAGE_OVERHEAD_MS } from "./stage_time.ts";
import {
  type EngineInfo,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/**
 * Cost of a hop between failure domains, in milliseconds per token. The hop
 * itself takes a quarter of a millisecond; the cost is higher because it sends
 * the activations of every token over a link that all pipelines share.
 */
const DOMAIN_CROSSING_COST_MS = 8;
/**
 * Cost of a first stage in another failure domain, in milliseconds per token.
 * Only text of the prompt and the answer crosses the link, but without this
 * cost all instances would prefer the domain with the fastest engines and
 * saturate it before the others.
 */
const REMOTE_START_COST_MS = 4;
/**
 * Share of an engine's prefill backlog that is added to the cost per token. The
 * backlog delays only the first token, which callers wait for, and the backlogs
 * of the stages of a pipeline are in part processed in parallel.
 */
const BACKLOG_COST_SHARE = 1 / 150;
/** Maximum number of stages in a pipeline that engines accept. */
const MAX_STAGES = 32;
/** Load above which the cost of an engine is multiplied. */
const SATURATED_LOAD = 0.9;
const SATURATION_COST_FACTOR = 20;

/** An engine that may serve as a stage. */
export interface StageCandidate extends EngineInfo {
  readonly held: LayerRange;
  /** Share of the KV cache that answers in progress use; may exceed 1. */
  readonly load: number;
  /** Prefill time of the prompt tokens in its backlog, in milliseconds. */
  readonly backlogMs: number;
}

/** An engine and the layers that it runs in a pipeline. */
export interface Stage {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** Engines that run every layer once, in order. */
export interface Pipeline {
  readonly stages: readonly Stage[];
  /** Expected milliseconds per token, plus penalties for crossings and load. */
  readonly cost: number;
}

export interface PathOptions {
  readonly model: ModelShape;
  /** Failure domain in which the pipeline should preferably start. */
  readonly failureDomain: string;
  /** Layers that the pipeline must run; all layers by default. */
  readonly range?: LayerRange;
}

/**
 * Returns the cheapest pipeline found, or `null` if there is none, such as when
 * no candidate holds one of the layers.
 *
 * A pipeline may enter an engine only once, a constraint that a shortest-path
 * search can't express. If the path enters an engine twice, the search branches
 * on the layer of the second entry: one branch allows entries to this engine
 * only before that layer, the other only from it on. The cheapest branch is
 * explored first. After `MAX_SEARCHES` searches the result may be suboptimal.
 */
export function findPipeline(
  candidates: readonly StageCandidate[],
  options: PathOptions,
): Pipeline | null {
  const pendingResults: SearchResult[] = [];
  const wholeRangeOnly = new Set<string>();

  function search(entries: EntryWindows): void {
    const found = searchPath(candidates, options, {
      entries,
      wholeRangeOnly,
    });
    if (found) pendingResults.push({ found, entries });
  }

  search(new Map());
  for (let searches = 1; ; searches += 2) {
    const next = removeCheapest(pendingResults);
    if (!next) return null;
    const reentry = firstReentry(next.found);
    if (!reentry) return next.found;
    const { engineId, at } = reentry;
    if (searches > MAX_SEARCHES) {
      // A path that leaves the engine only at the end of its range can't
      // enter it a second time.
      wholeRangeOnly.add(engineId);
      search(next.entries);
      continue;
    }
    const window = next.entries.get(engineId) ?? ANY_ENTRY;
    const { entries } = next;
    search(new Map([...entries, [engineId, { ...window, to: at }]]));
    search(new Map([...entries, [engineId, { ...window, from: at }]]));
  }
}

/** Layers at which a path may enter an engine, by engine id. */
type EntryWindows = ReadonlyMap<string, LayerRange>;

interface SearchResult {
  readonly found: Pipeline;
  readonly entries: EntryWindows;
}

const ANY_ENTRY: LayerRange = { from: 0, to: Number.POSITIVE_INFINITY };
/** Searches per pipeline before branching stops, to bound the time. */
const MAX_SEARCHES = 16;

function removeCheapest(results: SearchResult[]): SearchResult | undefined {
  results.sort((a, b) => b.found.cost - a.found.cost);
  return results.pop();
}

/** Returns the first entry to an engine that the path has entered before. */
function firstReentry({
  stages,
}: Pipeline): { readonly engineId: string; readonly at: number } | null {
  const seen = new Set<string>();
  for (const { engineId, range } of stages) {
    if (seen.has(engineId)) return { engineId, at: range.from };
    seen.add(engineId);
  }
  return null;
}

/** A candidate with the values that a search needs at each of its layers. */
interface StageOption {
  readonly candidate: StageCandidate;
  /** Index of the engine's failure domain in the search table. */
  readonly domain: number;
  readonly layerMs: number;
  /** Cost of the engine's backlog per entry, in milliseconds per token. */
  readonly entryMs: number;
  /** Exclusive ends of ranges that a path may run here, in ascending order. */
  readonly ends: readonly number[];
  readonly window: LayerRange;
}

interface SearchBounds {
  readonly entries: EntryWindows;
  /** Engines that a path may leave only at the end of their range. */
  readonly wholeRangeOnly: ReadonlySet<string>;
}

/**
 * Returns the cheapest path of at most `MAX_STAGES` stages through the layers,
 * or `null` if it finds none. The path may enter an engine more than once.
 */
function searchPath(
  candidates: readonly StageCandidate[],
  options: PathOptions,
  bounds: SearchBounds,
): Pipeline | null {
  const { model, failureDomain } = options;
  const { from: first, to: end } = options.range ?? {
    from: 0,
    to: model.layerCount,
  };
  const candidateDomains = candidates.map(
    (candidate) => candidate.failureDomain,
  );
  const domains = [...new Set([failureDomain, ...candidateDomains])];
  const byLayer = optionsByLayer(candidates, { model, domains, end, bounds });
  const table = createSearchTable({ first, end, domainCount: domains.length });

  function relaxFrom(layer: number, domain: number): void {
    const state = table.stateOf(layer, domain);
    const cost = table.costOf(state);
    if (cost === Number.POSITIVE_INFINITY || table.hasMaxStages(state)) return;
    for (const option of byLayer[layer] ?? []) {
      if (layer < option.window.from || layer >= option.window.to) continue;
      const crosses = option.domain !== domain;
      const isFirst = layer === first;
      const costAfterEntry =
        cost + option.entryMs + entryCost({ crosses, isFirst });
      for (const to of option.ends) {
        if (to <= layer) continue;
        const costAtEnd = costAfterEntry + option.layerMs * (to - layer);
        table.relax(to, { option, cost: costAtEnd, previous: state });
      }
    }
  }

  for (let layer = first; layer < end; layer += 1) {
    for (let domain = 0; domain < domains.length; domain += 1) {
      relaxFrom(layer, domain);
    }
  }
  return table.cheapest();
}

/**
 * Creates the table of a shortest-path search. A state is a layer and the
 * failure domain of the stage before it; state 0 is the first layer in the
 * preferred domain. Typed arrays store the states: a search among hundreds of
 * engines examines about 200,000 edges, too many to allocate an object for
 * each.
 */
function createSearchTable(size: {
  readonly first: number;
  readonly end: number;
  readonly domainCount: number;
}) {
  const { first, end, domainCount } = size;
  const count = (end - first + 1) * domainCount;
  const costs = new Float64Array(count).fill(Number.POSITIVE_INFINITY);
  const stageCounts = new Uint8Array(count);
  const previous = new Int32Array(count);
  const reachedBy: (StageOption | undefined)[] = new Array(count);
  costs[0] = 0;

  function stateOf(layer: number, domain: number): number {
    return (layer - first) * domainCount + domain;
  }

  function layerOf(state: number): number {
    return first + Math.floor(state / domainCount);
  }

  function costOf(state: number): number {
    return costs[state] ?? Number.POSITIVE_INFINITY;
  }

  function stagesTo(end: number): Stage[] {
    const stages: Stage[] = [];
    for (let state = end; state !== 0; state = previous[state] ?? 0) {
      const option = reachedBy[state];
      if (!option) break;
      const range = {
        from: layerOf(previous[state] ?? 0),
        to: layerOf(state),
      };
      stages.push({ engineId: option.candidate.id, range });
    }
    return stages.reverse();
  }

  return {
    stateOf,
    costOf,
    /** Whether the path to the state has the maximum number of stages. */
    hasMaxStages: (state: number) => stageCounts[state] === MAX_STAGES,
    /** Relaxes an edge: records the step if it is the cheapest to its state. */
    relax(
      to: number,
      step: {
        readonly option: StageOption;
        readonly cost: number;
        readonly previous: number;
      },
    ): void {
      const state = stateOf(to, step.option.domain);
      if (step.cost >= costOf(state)) return;
      costs[state] = step.cost;
      stageCounts[state] = (stageCounts[step.previous] ?? 0) + 1;
      previous[state] = step.previous;
      reachedBy[state] = step.option;
    },
    cheapest(): Pipeline | null {
      let best = stateOf(end, 0);
      for (let state = best; state < count; state += 1) {
        if (costOf(state) < costOf(best)) best = state;
      }
      const cost = costOf(best);
      if (cost === Number.POSITIVE_INFINITY) return null;
      return { stages: stagesTo(best), cost };
    },
  };
}

function optionsByLayer(
  candidates: readonly StageCandidate[],
  search: {
    readonly model: ModelShape;
    readonly domains: readonly string[];
    readonly end: number;
    readonly bounds: SearchBounds;
  },
): StageOption[][] {
  const { model, domains, end, bounds } = search;
  const starts = new Set(candidates.map(({ held }) => held.from));
  const byLayer: StageOption[][] = [];
  for (const candidate of candidates) {
    const { id, held } = candidate;
    const lastEnd = Math.min(held.to, end);
    const ends: number[] = [];
    for (let to = held.from + 1; to < lastEnd; to += 1) {
      // At other layers the next engine would be entered within its range.
      if (starts.has(to) && !bounds.wholeRangeOnly.has(id)) ends.push(to);
    }
    ends.push(lastEnd);
    const option: StageOption = {
      candidate,
      domain: domains.indexOf(candidate.failureDomain),
      layerMs: loadedLayerMs(model, candidate),
      entryMs: candidate.backlogMs * BACKLOG_COST_SHARE,
      ends,
      window: bounds.entries.get(id) ?? ANY_ENTRY,
    };
    for (let layer = held.from; layer < held.to; layer += 1) {
      const list = byLayer[layer] ?? [];
      byLayer[layer] = list;
      list.push(option);
    }
  }
  return byLayer;
}

/** Returns the cost of a hop to an engine, in milliseconds per token. */
function entryCost(entry: {
  readonly crosses: boolean;
  readonly isFirst: boolean;
}): number {
  if (!entry.crosses) return STAGE_OVERHEAD_MS;
  return (
    STAGE_OVERHEAD_MS +
    (entry.isFirst ? REMOTE_START_COST_MS : DOMAIN_CROSSING_COST_MS)
  );
}

/** Returns the cost of the given stages, in milliseconds per token. */
export function pipelineCost(
  stages: readonly {
    readonly engine: StageCandidate;
    readonly range: LayerRange;
  }[],
  { model, failureDomain }: PathOptions,
): number {
  let previousDomain = failureDomain;
  return stages.reduce((sum, { engine, range }, index) => {
    const crosses = engine.failureDomain !== previousDomain;
    const entryMs =
      engine.backlogMs * BACKLOG_COST_SHARE +
      entryCost({ crosses, isFirst: index === 0 });
    previousDomain = engine.failureDomain;
    return sum + entryMs + loadedLayerMs(model, engine) * layersIn(range);
  }, 0);
}

/** Returns the cost per token of one layer on an engine under its load. */
function loadedLayerMs(model: ModelShape, candidate: StageCandidate): number {
  const layerShare = layersIn(candidate.held) / model.layerCount;
  const loadFactor = 1 + candidate.load * (1 + layerShare);
  const saturationFactor =
    candidate.load > SATURATED_LOAD ? SATURATION_COST_FACTOR : 1;
  return idleLayerMs(model, candidate) * loadFactor * saturationFactor;
}
