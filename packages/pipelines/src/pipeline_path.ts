/**
 * Chooses the engines that an answer passes through: a shortest path over the
 * layers, in which time at engines, hops and crossings of failure domains
 * are the lengths.
 */
import { layerMs, STAGE_MS } from "./stage_time.ts";
import {
  type EngineFacts,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/**
 * What a hop into another failure domain counts as, in milliseconds a token.
 * It takes a quarter of a millisecond, but each crossing carries the
 * activations of every token over a link that all pipelines share.
 */
const CROSSING_MS = 8;
/**
 * The same for a pipeline that begins in another domain. It moves only the
 * prompt's and the answer's text, but instances that all prefer the domain
 * with the fastest engines fill it before the others.
 */
const BEGIN_ELSEWHERE_MS = 4;
/**
 * What the backlog of an engine adds to a token, as a share. It delays the
 * first one only, but that is what callers wait for; and the backlogs of the
 * stages of a pipeline pass in part at the same time.
 */
const BACKLOG_SHARE = 1 / 150;
/** Longest pipeline that engines accept. */
const MOST_STAGES = 32;
/** Load from which an engine counts as full; above it the cost is steep. */
const FULL_LOAD = 0.9;
const FULL_COST_FACTOR = 20;

/** An engine that may serve as a stage. */
export interface StageCandidate extends EngineFacts {
  readonly held: LayerRange;
  /** Share of its room that answers in progress take; may exceed 1. */
  readonly load: number;
  /** Time that prompts take which it has not read yet, in milliseconds. */
  readonly backlogMs: number;
}

/** One engine's part of a pipeline. */
export interface Stage {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** Engines that run every layer once, in order. */
export interface Pipeline {
  readonly stages: readonly Stage[];
  /** Expected milliseconds a token; crossings and full engines add to it. */
  readonly cost: number;
}

export interface PathOptions {
  readonly model: ModelShape;
  /** Domain in which the pipeline preferably begins. */
  readonly failureDomain: string;
  /** Layers that the path has to run; all of them when left out. */
  readonly range?: LayerRange;
}

/**
 * Gives the cheapest pipeline, or `null` when a layer is held by nobody.
 *
 * An engine may be entered once, which a shortest path does not know of. Where
 * one is entered twice, any pipeline enters it either before its second entry
 * or not before: both are searched, the cheaper one first, up to the bound on
 * searches.
 */
export function findPipeline(
  candidates: readonly StageCandidate[],
  options: PathOptions,
): Pipeline | null {
  const open: Search[] = [];
  const whole = new Set<string>();

  function search(entries: EntryWindows): void {
    const found = searchPath(candidates, options, { entries, whole });
    if (found) open.push({ found, entries });
  }

  search(new Map());
  for (let searches = 1; ; searches += 2) {
    const next = takeCheapest(open);
    if (!next) return null;
    const again = secondEntry(next.found);
    if (!again) return next.found;
    const { engineId, at } = again;
    if (searches > MOST_SEARCHES) {
      // Used only up to the end of its range, it can't be come back to.
      whole.add(engineId);
      search(next.entries);
      continue;
    }
    const window = next.entries.get(engineId) ?? ANY_ENTRY;
    const { entries } = next;
    search(new Map([...entries, [engineId, { ...window, to: at }]]));
    search(new Map([...entries, [engineId, { ...window, from: at }]]));
  }
}

/** Layers at which an engine may be entered, by its id. */
type EntryWindows = ReadonlyMap<string, LayerRange>;

interface Search {
  readonly found: Pipeline;
  readonly entries: EntryWindows;
}

const ANY_ENTRY: LayerRange = { from: 0, to: Number.POSITIVE_INFINITY };
/** Searches for one pipeline, so that a choice takes a bounded time. */
const MOST_SEARCHES = 16;

function takeCheapest(open: Search[]): Search | undefined {
  open.sort((a, b) => b.found.cost - a.found.cost);
  return open.pop();
}

/** The first stage whose engine was entered before. */
function secondEntry({
  stages,
}: Pipeline): { readonly engineId: string; readonly at: number } | null {
  const seen = new Set<string>();
  for (const { engineId, range } of stages) {
    if (seen.has(engineId)) return { engineId, at: range.from };
    seen.add(engineId);
  }
  return null;
}

/** A candidate with what a search needs of it at each of its layers. */
interface Option {
  readonly candidate: StageCandidate;
  readonly domain: number;
  readonly layerMs: number;
  /** What the engine adds to entering it. */
  readonly entryMs: number;
  /** Layers behind which the pipeline may leave it, in order. */
  readonly ends: readonly number[];
  readonly window: LayerRange;
}

interface SearchBounds {
  readonly entries: EntryWindows;
  /** Engines that are left at the end of their range only. */
  readonly whole: ReadonlySet<string>;
}

/**
 * Finds the cheapest way from layer to layer, or `null` when there is none.
 * Through how many engines it goes is bounded.
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
  const others = candidates.map((candidate) => candidate.failureDomain);
  const domains = [...new Set([failureDomain, ...others])];
  const byLayer = optionsByLayer(candidates, { model, domains, end, bounds });
  const table = createSearchTable({ first, end, domainCount: domains.length });

  function stepsFrom(at: number, domain: number): void {
    const state = table.stateOf(at, domain);
    const cost = table.costOf(state);
    if (cost === Number.POSITIVE_INFINITY || table.isLongest(state)) return;
    for (const option of byLayer[at] ?? []) {
      if (at < option.window.from || at >= option.window.to) continue;
      const crosses = option.domain !== domain;
      const isFirst = at === first;
      const entered = cost + option.entryMs + entryCost({ crosses, isFirst });
      for (const to of option.ends) {
        if (to <= at) continue;
        const toCost = entered + option.layerMs * (to - at);
        table.offer(to, { option, cost: toCost, previous: state });
      }
    }
  }

  for (let at = first; at < end; at += 1) {
    for (let domain = 0; domain < domains.length; domain += 1) {
      stepsFrom(at, domain);
    }
  }
  return table.cheapest();
}

/**
 * Creates the table of a search. A state is a layer and the failure domain of
 * the stage before it; the first state is the first layer in the own domain.
 * Arrays of numbers hold what is known of each: a choice among hundreds of
 * engines looks at some 200,000 steps, too many for an object each.
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
  const reachedBy: (Option | undefined)[] = new Array(count);
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
    /** Whether no engine may follow behind the state. */
    isLongest: (state: number) => stageCounts[state] === MOST_STAGES,
    /** Takes in a step to a layer if it is the cheapest there so far. */
    offer(
      to: number,
      step: {
        readonly option: Option;
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
): Option[][] {
  const { model, domains, end, bounds } = search;
  const starts = new Set(candidates.map(({ held }) => held.from));
  const byLayer: Option[][] = [];
  for (const candidate of candidates) {
    const { id, held } = candidate;
    const furthest = Math.min(held.to, end);
    const ends: number[] = [];
    for (let to = held.from + 1; to < furthest; to += 1) {
      // Elsewhere another engine would have to be entered within its range.
      if (starts.has(to) && !bounds.whole.has(id)) ends.push(to);
    }
    ends.push(furthest);
    const option: Option = {
      candidate,
      domain: domains.indexOf(candidate.failureDomain),
      layerMs: layerCost(model, candidate),
      entryMs: candidate.backlogMs * BACKLOG_SHARE,
      ends,
      window: bounds.entries.get(id) ?? ANY_ENTRY,
    };
    for (let at = held.from; at < held.to; at += 1) {
      const list = byLayer[at] ?? [];
      byLayer[at] = list;
      list.push(option);
    }
  }
  return byLayer;
}

/** Milliseconds a token that entering an engine adds. */
function entryCost(entry: {
  readonly crosses: boolean;
  readonly isFirst: boolean;
}): number {
  if (!entry.crosses) return STAGE_MS;
  return STAGE_MS + (entry.isFirst ? BEGIN_ELSEWHERE_MS : CROSSING_MS);
}

/** Expected milliseconds a token of some stages, each with its engine. */
export function pipelineCost(
  stages: readonly {
    readonly engine: StageCandidate;
    readonly range: LayerRange;
  }[],
  { model, failureDomain }: PathOptions,
): number {
  let comesFrom = failureDomain;
  return stages.reduce((sum, { engine, range }, at) => {
    const crosses = engine.failureDomain !== comesFrom;
    const entryMs =
      engine.backlogMs * BACKLOG_SHARE +
      entryCost({ crosses, isFirst: at === 0 });
    comesFrom = engine.failureDomain;
    return sum + entryMs + layerCost(model, engine) * layersIn(range);
  }, 0);
}

/** Milliseconds that one layer adds to a token on this engine. */
function layerCost(model: ModelShape, candidate: StageCandidate): number {
  const share = layersIn(candidate.held) / model.layerCount;
  const crowd = 1 + candidate.load * (1 + share);
  const full = candidate.load > FULL_LOAD ? FULL_COST_FACTOR : 1;
  return layerMs(model, candidate) * crowd * full;
}
