/**
 * Splits a model's layers over mixed accelerators into pipelines, so that the
 * pipelines together give as many tokens a second as can be.
 */

/** One engine that may hold a range of layers. */
export interface SplitEngine {
  readonly id: string;
  /** Time of one layer for a full batch, in milliseconds. */
  readonly layerMs: number;
  /** Time of a batch whatever its layers, with its link, in milliseconds. */
  readonly fixedMs: number;
  /** Layers that its memory can hold. */
  readonly largestLayers: number;
}

/** A range of layers on an engine. */
export interface SplitStage {
  readonly engine: string;
  readonly from: number;
  readonly to: number;
}

/** Engines that hold all layers once, in order. */
export interface SplitPipeline {
  readonly stages: readonly SplitStage[];
  /** Time of the slowest stage for a full batch, in milliseconds. */
  readonly slowestMs: number;
}

/** How many layers an engine can run in `limitMs`. */
function layersWithin(engine: SplitEngine, limitMs: number): number {
  const layers = Math.floor(
    (limitMs - engine.fixedMs) / engine.layerMs + ROUNDING,
  );
  return Math.max(0, Math.min(engine.largestLayers, layers));
}

/** Keeps a time that was computed from whole layers at those layers. */
const ROUNDING = 1e-9;

/**
 * Least time of the slowest stage if the engines form one pipeline; infinite
 * if they cannot hold the layers. The time is that of some number of layers
 * on some engine, so only those times are tried.
 */
export function slowestStageMs(
  engines: readonly SplitEngine[],
  layers: number,
): number {
  const times = engines
    .flatMap(({ fixedMs, layerMs, largestLayers }) =>
      Array.from(
        { length: Math.min(layers, largestLayers) },
        (_, index) => fixedMs + (index + 1) * layerMs,
      ),
    )
    .sort((a, b) => a - b);
  const holds = (limitMs: number) =>
    sum(engines.map((engine) => layersWithin(engine, limitMs))) >= layers;
  let low = 0;
  let high = times.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (holds(times[middle] ?? Infinity)) high = middle;
    else low = middle + 1;
  }
  return times[low] ?? Infinity;
}

/** Divides the layers among engines that form one pipeline. */
export function splitPipeline(
  engines: readonly SplitEngine[],
  layers: number,
): SplitPipeline {
  const slowestMs = slowestStageMs(engines, layers);
  const stages: SplitStage[] = [];
  let from = 0;
  for (const engine of engines) {
    const count = Math.min(layersWithin(engine, slowestMs), layers - from);
    if (count <= 0) continue;
    stages.push({ engine: engine.id, from, to: from + count });
    from += count;
  }
  return { stages, slowestMs };
}

/** Groups of engines, each of which is to form a pipeline. */
type Grouping = SplitEngine[][];

/**
 * Groups engines into pipelines and splits each. Every number of pipelines is
 * tried: engines are dealt out, the fastest first, to the group that is
 * weakest so far, and then moved or swapped while that gains throughput.
 */
export function splitLayers(
  engines: readonly SplitEngine[],
  layers: number,
): readonly SplitPipeline[] {
  let best: Grouping = [];
  for (let count = 1; count <= engines.length; count++) {
    const improved = improve(deal(engines, { count, layers }), layers);
    if (throughput(improved, layers) > throughput(best, layers)) {
      best = improved;
    }
  }
  return best
    .filter((group) => slowestStageMs(group, layers) < Infinity)
    .map((group) => splitPipeline(group, layers));
}

/** Batches in a millisecond that all pipelines finish together. */
export function throughput(
  groups: readonly (readonly SplitEngine[])[],
  layers: number,
): number {
  return sum(groups.map((group) => 1 / slowestStageMs(group, layers)));
}

function deal(
  engines: readonly SplitEngine[],
  options: { readonly count: number; readonly layers: number },
): Grouping {
  const groups: Grouping = Array.from({ length: options.count }, () => []);
  const fastestFirst = [...engines].sort((a, b) => a.layerMs - b.layerMs);
  const limitMs = commonLimit(engines, options);
  const strength = (group: readonly SplitEngine[]) =>
    sum(group.map((engine) => layersWithin(engine, limitMs)));
  for (const engine of fastestFirst) {
    const weakest = groups.reduce((weak, group) =>
      strength(group) < strength(weak) ? group : weak,
    );
    weakest.push(engine);
  }
  return groups;
}

/** A time in which all engines together could run every pipeline's layers. */
function commonLimit(
  engines: readonly SplitEngine[],
  options: { readonly count: number; readonly layers: number },
): number {
  return slowestStageMs(engines, options.count * options.layers);
}

/** Moves and swaps engines until nothing gains throughput any more. */
function improve(start: Grouping, layers: number): Grouping {
  let best = start;
  let bestRate = throughput(best, layers);
  let isImproving = true;
  while (isImproving) {
    isImproving = false;
    for (const next of neighbours(best)) {
      const rate = throughput(next, layers);
      if (rate <= bestRate * (1 + ROUNDING)) continue;
      best = next;
      bestRate = rate;
      isImproving = true;
      break;
    }
  }
  return best;
}

/** Every grouping that differs by one engine moved or two swapped. */
function* neighbours(groups: Grouping): Generator<Grouping> {
  for (let from = 0; from < groups.length; from++) {
    for (let to = 0; to < groups.length; to++) {
      if (from === to) continue;
      for (const engine of groups[from] ?? []) {
        yield replace(groups, { from, to, moved: [engine], returned: [] });
        if (from > to) continue;
        for (const other of groups[to] ?? []) {
          yield replace(groups, {
            from,
            to,
            moved: [engine],
            returned: [other],
          });
        }
      }
    }
  }
}

function replace(
  groups: Grouping,
  change: {
    readonly from: number;
    readonly to: number;
    readonly moved: readonly SplitEngine[];
    readonly returned: readonly SplitEngine[];
  },
): Grouping {
  const { from, to, moved, returned } = change;
  return groups.map((group, index) => {
    if (index === from) {
      return [...group.filter((one) => !moved.includes(one)), ...returned];
    }
    if (index === to) {
      return [...group.filter((one) => !returned.includes(one)), ...moved];
    }
    return group;
  });
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
