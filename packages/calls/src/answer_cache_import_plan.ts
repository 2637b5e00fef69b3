/** Chooses, for the stages without KV cache, between import and recompute. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { CacheSource, LayerRange, Stage } from "@rosemarypin/schemas";
import type { LinkSpeeds } from "./answer_link_speeds.ts";

/** Taken for engines that do not say, as large models have it. */
const USUAL_CACHE_BYTES = 4_096;
const USUAL_PROMPT_MICROS = 5;
const SHORTEST_LIMIT_MS = 50;
/** Shorter than the silence after which a message counts as lost. */
const LONGEST_LIMIT_MS = 2_000;
const MICROS = 1_000;
const MILLIS = 1_000;

/** An engine that is no stage any more and still has the KV cache. */
export interface CacheHolder {
  readonly engine: KnownEngine;
  readonly layers: LayerRange;
}

export interface ImportOptions {
  /** Stages that have their KV cache, by engine. */
  readonly kept: ReadonlySet<string>;
  readonly holders: readonly CacheHolder[];
  readonly engines: ReadonlyMap<string, KnownEngine>;
  /** Positions that each stage must have. */
  readonly positions: number;
  readonly links: LinkSpeeds;
}

interface Way {
  readonly costMs: number;
  readonly sources: ReadonlyMap<string, CacheSource>;
}

/**
 * Says which stages are to import, and from where. A stage that recomputes
 * makes all stages before it run again too, since it needs their outputs; so
 * the ways differ in the last stage that recomputes, and each later one that
 * lacks its cache imports. The cheapest way by measured speeds is taken.
 */
export function chooseImports(
  stages: readonly Stage[],
  options: ImportOptions,
): ReadonlyMap<string, CacheSource> {
  const ways = stages
    .flatMap(({ engine }, index) => (options.kept.has(engine) ? [] : [index]))
    .map((last) => describeWay(stages, { ...options, last }));
  const all = [describeWay(stages, { ...options, last: -1 }), ...ways];
  const [best] = all
    .filter((way) => way !== null)
    .sort((a, b) => a.costMs - b.costMs);
  return best?.sources ?? new Map();
}

/** Stages up to `last` run again; `null` when a later one has no source. */
function describeWay(
  stages: readonly Stage[],
  options: ImportOptions & { readonly last: number },
): Way | null {
  const { kept, positions, last } = options;
  const again = stages.slice(0, last + 1);
  let costMs = recomputeMs(again, options);
  const sources = new Map<string, CacheSource>();
  if (positions <= 0) return last < 0 ? { costMs, sources } : null;
  for (const [index, stage] of stages.entries()) {
    if (index <= last || kept.has(stage.engine)) continue;
    const holder = findHolder(stage, options);
    if (!holder) return null;
    costMs += importMs(stage, { ...options, holder });
    // Given up after the time in which the stages up to it recompute, so a
    // link that is slower than it was costs twice the other way at most.
    const limitMs = recomputeMs(stages.slice(0, index + 1), options);
    sources.set(stage.engine, describeSource(holder, limitMs));
  }
  return { costMs, sources };
}

function describeSource(holder: CacheHolder, limitMs: number): CacheSource {
  const { settings, state } = holder.engine;
  const bounded = Math.min(LONGEST_LIMIT_MS, limitMs);
  return {
    engine: settings.id,
    address: settings.address,
    incarnation: state?.incarnation,
    withinMs: Math.ceil(Math.max(SHORTEST_LIMIT_MS, bounded)),
  };
}

function findHolder(
  { layers }: Stage,
  { holders }: ImportOptions,
): CacheHolder | undefined {
  return holders.find(
    (holder) =>
      holder.layers.from === layers.from && holder.layers.to === layers.to,
  );
}

function recomputeMs(
  stages: readonly Stage[],
  { positions, engines }: ImportOptions,
): number {
  return stages.reduce((sum, { engine, layers }) => {
    const state = engines.get(engine)?.state;
    const micros = state?.promptMicros ?? USUAL_PROMPT_MICROS;
    return sum + (positions * (layers.to - layers.from) * micros) / MICROS;
  }, 0);
}

function importMs(
  stage: Stage,
  options: ImportOptions & { readonly holder: CacheHolder },
): number {
  const { holder, engines, links } = options;
  const bytes = cacheBytesOf(stage, { ...options, holder: holder.engine });
  const to = engines.get(stage.engine);
  const link = {
    from: linkEndOf(holder.engine),
    to: to ? linkEndOf(to) : { engine: stage.engine, failureDomain: "" },
  };
  return (bytes / links.bytesPerSecond(link)) * MILLIS;
}

/** Bytes of a stage's KV cache, as the engine that holds it counts them. */
export function cacheBytesOf(
  { layers }: Pick<Stage, "layers">,
  options: { readonly positions: number; readonly holder: KnownEngine },
): number {
  const { positions, holder } = options;
  const bytes = holder.state?.cacheBytes ?? USUAL_CACHE_BYTES;
  return positions * (layers.to - layers.from) * bytes;
}

/** The end of a link at an engine. */
export function linkEndOf({ settings }: KnownEngine) {
  return { engine: settings.id, failureDomain: settings.failureDomain };
}
