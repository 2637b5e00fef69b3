/**
 * Chooses the engines that an answer passes through: a shortest path over the
 * layers, in which time at engines, hops and crossings of failure domains
 * are the lengths.
 */
import {
  type EngineFacts,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/** Waiting for the pass that an engine is in, and the hop, in milliseconds. */
const STAGE_MS = 0.5;
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

interface Reached {
  readonly cost: number;
  readonly stageCount: number;
  readonly previous: Reached | null;
  readonly stage: Stage | null;
  readonly failureDomain: string;
}

/** Gives the cheapest pipeline, or `null` when a layer is held by nobody. */
export function findPipeline(
  candidates: readonly StageCandidate[],
  options: PathOptions,
): Pipeline | null {
  const whole = new Set<string>();
  for (;;) {
    const found = searchPath(candidates, options, whole);
    if (!found) return null;
    const repeated = repeatedEngines(found);
    if (repeated.size === 0) return found;
    // An engine may be entered once. Used only up to the end of its range, it
    // can't be come back to; without it another one may be entered twice.
    for (const id of repeated) whole.add(id);
  }
}

function searchPath(
  candidates: readonly StageCandidate[],
  { model, failureDomain, range }: PathOptions,
  whole: ReadonlySet<string>,
): Pipeline | null {
  const { from: first, to: end } = range ?? { from: 0, to: model.layerCount };
  const starts = new Set(candidates.map(({ held }) => held.from));
  const byLayer: StageCandidate[][] = [];
  for (const candidate of candidates) {
    for (let at = candidate.held.from; at < candidate.held.to; at += 1) {
      const list = byLayer[at] ?? [];
      byLayer[at] = list;
      list.push(candidate);
    }
  }
  const reached: Map<string, Reached>[] = [];
  reached[first] = new Map([
    [
      failureDomain,
      { cost: 0, stageCount: 0, previous: null, stage: null, failureDomain },
    ],
  ]);
  for (let at = first; at < end; at += 1) {
    for (const from of reached[at]?.values() ?? []) {
      if (from.stageCount === MOST_STAGES) continue;
      for (const candidate of byLayer[at] ?? []) {
        step(from, candidate, at);
      }
    }
  }
  const ends = [...(reached[end]?.values() ?? [])];
  const best = ends.sort((a, b) => a.cost - b.cost)[0];
  return best ? { stages: stagesOf(best), cost: best.cost } : null;

  function step(from: Reached, candidate: StageCandidate, at: number): void {
    const crosses =
      from.stage !== null && candidate.failureDomain !== from.failureDomain;
    const begins =
      from.stage === null && candidate.failureDomain !== failureDomain;
    const entryMs =
      STAGE_MS + (crosses ? CROSSING_MS : begins ? BEGIN_ELSEWHERE_MS : 0);
    const layerMs = layerCost(model, candidate);
    const furthest = Math.min(candidate.held.to, end);
    for (let to = at + 1; to <= furthest; to += 1) {
      const isEnd = to === furthest;
      if (!isEnd && (!starts.has(to) || whole.has(candidate.id))) continue;
      offer(to, {
        cost: from.cost + entryMs + layerMs * (to - at),
        stageCount: from.stageCount + 1,
        previous: from,
        stage: { engineId: candidate.id, range: { from: at, to } },
        failureDomain: candidate.failureDomain,
      });
    }
  }

  function offer(at: number, next: Reached): void {
    const states = reached[at] ?? new Map<string, Reached>();
    reached[at] = states;
    const known = states.get(next.failureDomain);
    if (!known || next.cost < known.cost) {
      states.set(next.failureDomain, next);
    }
  }
}

/** Milliseconds that one layer adds to a token on this engine. */
function layerCost(model: ModelShape, candidate: StageCandidate): number {
  const stepMs = (model.stepMs * candidate.stepFactor) / model.layerCount;
  const share = layersIn(candidate.held) / model.layerCount;
  const crowd = 1 + candidate.load * (1 + share);
  const full = candidate.load > FULL_LOAD ? FULL_COST_FACTOR : 1;
  return stepMs * crowd * full;
}

function stagesOf(end: Reached): Stage[] {
  const stages: Stage[] = [];
  for (let at: Reached | null = end; at; at = at.previous) {
    if (at.stage) stages.push(at.stage);
  }
  return stages.reverse();
}

function repeatedEngines({ stages }: Pipeline): Set<string> {
  const seen = new Set<string>();
  const repeated = new Set<string>();
  for (const { engineId } of stages) {
    if (seen.has(engineId)) repeated.add(engineId);
    seen.add(engineId);
  }
  return repeated;
}
