/**
 * Compares the pipeline search with an earlier, simpler one, whose code is kept
 * here as the reference: the faster search must not choose other pipelines.
 */
import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  findPipeline,
  type PathOptions,
  type StageCandidate,
} from "./pipeline_path.ts";
import {
  createPipelineSearch,
  type Pipeline,
  type Stage,
} from "./pipeline_search.ts";
import { idleLayerMs, STAGE_OVERHEAD_MS } from "./stage_time.ts";
import { type LayerRange, layersIn, type ModelShape } from "./types.ts";

const SEED = 46;

const shape: ModelShape = {
  name: "m",
  layerCount: 80,
  layerMb: 1_750,
  tokenLayerBytes: 10_567,
  stepMs: 1.02,
  prefillTokensPerMs: 164,
  meanPromptTokens: 775,
  meanAnswerTokens: 223,
  maxConcurrentAnswers: 134,
};

interface Case {
  readonly model: ModelShape;
  readonly candidates: StageCandidate[];
  readonly range: LayerRange;
}

/** Fleets with many equal costs, so that the order of ties matters too. */
const cases: fc.Arbitrary<Case> = fc
  .record({
    layers: fc.constantFrom(4, 7, 12, 40, 80),
    widest: fc.constantFrom(2, 5, 12, 25),
    isEven: fc.boolean(),
    cut: fc.tuple(fc.nat(9), fc.nat(9)),
    isWhole: fc.boolean(),
    engines: fc.array(
      fc.record({
        at: fc.double({ min: 0, max: 1, noNaN: true }),
        width: fc.double({ min: 0, max: 1, noNaN: true }),
        failureDomain: fc.constantFrom("a", "b", "c", "d"),
        stepFactor: fc.constantFrom(1, 2.4, 5.6, 16),
        load: fc.oneof(
          fc.constantFrom(0, 0, 0.5, 0.9, 0.95),
          fc.double({ min: 0, max: 1.5, noNaN: true }),
        ),
        backlogMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 3_000 })),
      }),
      { minLength: 1, maxLength: 120, size: "max" },
    ),
  })
  .map(({ layers, widest, isEven, cut, isWhole, engines }) => {
    const candidates = engines.map(({ at, width, ...facts }, index) => {
      const wanted = 1 + Math.floor(width * widest);
      const from = Math.floor(at * layers * 0.999);
      const even = isEven ? from - (from % widest) : from;
      const to = isEven ? even + widest : even + wanted;
      const held = { from: even, to: Math.min(layers, to) };
      const unused = { memoryMb: 0, prefillFactor: 0 };
      return { id: `e-${index}`, held, ...unused, ...facts };
    });
    const [low, high] = [cut[0], layers - 1 - cut[1]];
    const range =
      isWhole || low >= high
        ? { from: 0, to: layers }
        : { from: low, to: high };
    return { model: { ...shape, layerCount: layers }, candidates, range };
  });

describe("pipeline search", () => {
  it("finds the pipelines of the simpler search", () => {
    let found = 0;
    const property = fc.property(cases, ({ model, candidates, range }) => {
      const options = { model, failureDomain: "a", range };
      const expected = findReferencePipeline(candidates, options);
      if (expected) found += 1;
      expect(findPipeline(candidates, options)).toEqual(expected);
    });
    fc.assert(property, { seed: SEED, numRuns: 3_000 });
    console.log(`seed=${SEED} found=${found}`);
    expect(found).toBeGreaterThan(500);
  });

  // Guards against state of one search that the next one reads.
  it("finds them again after changes of loads and usable engines", () => {
    const changes = fc.array(
      fc.tuple(
        fc.nat(119),
        fc.boolean(),
        fc.constantFrom(0, 0.3, 0.95),
        fc.constantFrom(1, 2.4, 16),
      ),
      { maxLength: 60, size: "max" },
    );
    const property = fc.property(cases, changes, (start, steps) => {
      const { model, range } = start;
      const candidates = [...start.candidates];
      const options = { model, failureDomain: "a" };
      const search = createPipelineSearch(candidates, options);
      search.isUsable.fill(1);
      candidates.forEach(({ load, backlogMs }, index) => {
        search.loads[index] = load;
        search.backlogsMs[index] = backlogMs;
      });
      steps.forEach(([index, isUsable, load, stepFactor], step) => {
        const candidate = candidates[index];
        if (!candidate) return;
        search.isUsable[index] = isUsable ? 1 : 0;
        search.loads[index] = load;
        search.setStepFactor(index, stepFactor);
        candidates[index] = { ...candidate, load, stepFactor };
        const part = step % 2 === 0 ? range : { from: 0, to: model.layerCount };
        const usable = candidates.filter((_, at) => search.isUsable[at] === 1);
        const expected = findReferencePipeline(usable, {
          ...options,
          range: part,
        });
        expect(search.find(part)).toEqual(expected);
        expect(search.covers(part)).toBe(expected !== null);
      });
    });
    fc.assert(property, { seed: SEED, numRuns: 300 });
    console.log(`seed=${SEED}`);
  });
});

// The reference.

const DOMAIN_CROSSING_COST_MS = 8;
const REMOTE_START_COST_MS = 4;
const BACKLOG_COST_SHARE = 1 / 150;
const MAX_STAGES = 32;
const SATURATED_LOAD = 0.9;
const SATURATION_COST_FACTOR = 20;

function findReferencePipeline(
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

type EntryWindows = ReadonlyMap<string, LayerRange>;

interface SearchResult {
  readonly found: Pipeline;
  readonly entries: EntryWindows;
}

const ANY_ENTRY: LayerRange = { from: 0, to: Number.POSITIVE_INFINITY };
const MAX_SEARCHES = 16;

function removeCheapest(results: SearchResult[]): SearchResult | undefined {
  results.sort((a, b) => b.found.cost - a.found.cost);
  return results.pop();
}

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

interface StageOption {
  readonly candidate: StageCandidate;
  readonly domain: number;
  readonly layerMs: number;
  readonly entryMs: number;
  readonly ends: readonly number[];
  readonly window: LayerRange;
}

interface SearchBounds {
  readonly entries: EntryWindows;
  readonly wholeRangeOnly: ReadonlySet<string>;
}

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
    hasMaxStages: (state: number) => stageCounts[state] === MAX_STAGES,
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

function loadedLayerMs(model: ModelShape, candidate: StageCandidate): number {
  const layerShare = layersIn(candidate.held) / model.layerCount;
  const loadFactor = 1 + candidate.load * (1 + layerShare);
  const saturationFactor =
    candidate.load > SATURATED_LOAD ? SATURATION_COST_FACTOR : 1;
  return idleLayerMs(model, candidate) * loadFactor * saturationFactor;
}
