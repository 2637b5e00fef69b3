/** Chooses between import and recomputation for stages without KV cache. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type { CacheSource, LayerRange, Stage } from "@rosemarypin/schemas";
import type { LinkSpeeds } from "./answer_link_speeds.ts";

/**
 * Defaults per position and layer for engines that report no value, typical of
 * large models.
 */
const DEFAULT_CACHE_BYTES = 4_096;
const DEFAULT_PROMPT_MICROS = 5;
const MIN_TRANSFER_TIMEOUT_MS = 50;
/** Shorter than the silence after which a message is assumed lost (3 s). */
const MAX_TRANSFER_TIMEOUT_MS = 2_000;
const MICROS_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;

/** An engine outside the pipeline that holds KV cache of the answer. */
export interface CacheHolder {
  readonly engine: EngineSnapshot;
  readonly layers: LayerRange;
}

export interface ImportOptions {
  /** Engines of the stages that hold their KV cache already. */
  readonly enginesWithCache: ReadonlySet<string>;
  readonly holders: readonly CacheHolder[];
  readonly engines: ReadonlyMap<string, EngineSnapshot>;
  /** Number of positions that the KV cache of each stage must cover. */
  readonly positions: number;
  readonly linkSpeeds: LinkSpeeds;
}

interface ImportPlan {
  readonly costMs: number;
  readonly sources: ReadonlyMap<string, CacheSource>;
}

/**
 * Returns the cache source of each stage that should import, by engine. A stage
 * that recomputes needs the outputs of all stages before it, so these are
 * recomputed too. Each plan therefore has a last recomputed stage, after which
 * every stage without cache imports. The plan with the lowest estimated cost is
 * chosen.
 */
export function chooseImports(
  stages: readonly Stage[],
  options: ImportOptions,
): ReadonlyMap<string, CacheSource> {
  const plans = stages
    .flatMap(({ engine }, index) =>
      options.enginesWithCache.has(engine) ? [] : [index],
    )
    .map((lastRecomputed) =>
      createPlan(stages, { ...options, lastRecomputed }),
    );
  const all = [
    createPlan(stages, { ...options, lastRecomputed: -1 }),
    ...plans,
  ];
  const [cheapest] = all
    .filter((plan) => plan !== null)
    .sort((a, b) => a.costMs - b.costMs);
  return cheapest?.sources ?? new Map();
}

/**
 * Plan that recomputes the stages up to index `lastRecomputed` and imports for
 * the later ones; `null` when one of these has no source.
 */
function createPlan(
  stages: readonly Stage[],
  options: ImportOptions & { readonly lastRecomputed: number },
): ImportPlan | null {
  const { enginesWithCache, positions, lastRecomputed } = options;
  const recomputed = stages.slice(0, lastRecomputed + 1);
  let costMs = recomputeMs(recomputed, options);
  const sources = new Map<string, CacheSource>();
  if (positions <= 0) return lastRecomputed < 0 ? { costMs, sources } : null;
  for (const [index, stage] of stages.entries()) {
    if (index <= lastRecomputed || enginesWithCache.has(stage.engine)) continue;
    const holder = findHolder(stage, options);
    if (!holder) return null;
    costMs += importMs(stage, { ...options, holder });
    // The timeout is the time to recompute the stages up to this one. A link
    // that has become slow thus costs about twice a recomputation at most.
    const timeoutMs = recomputeMs(stages.slice(0, index + 1), options);
    sources.set(stage.engine, createCacheSource(holder, timeoutMs));
  }
  return { costMs, sources };
}

function createCacheSource(
  holder: CacheHolder,
  timeoutMs: number,
): CacheSource {
  const { settings, state } = holder.engine;
  const boundedMs = Math.min(MAX_TRANSFER_TIMEOUT_MS, timeoutMs);
  return {
    engine: settings.id,
    address: settings.address,
    incarnation: state?.incarnation,
    withinMs: Math.ceil(Math.max(MIN_TRANSFER_TIMEOUT_MS, boundedMs)),
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
    const micros = state?.promptMicros ?? DEFAULT_PROMPT_MICROS;
    return (
      sum + (positions * (layers.to - layers.from) * micros) / MICROS_PER_MS
    );
  }, 0);
}

function importMs(
  stage: Stage,
  options: ImportOptions & { readonly holder: CacheHolder },
): number {
  const { holder, engines, linkSpeeds } = options;
  const bytes = cacheBytesOf(stage, { ...options, holder: holder.engine });
  const to = engines.get(stage.engine);
  const link = {
    from: linkEndOf(holder.engine),
    to: to ? linkEndOf(to) : { engine: stage.engine, failureDomain: "" },
  };
  return (bytes / linkSpeeds.bytesPerSecond(link)) * MS_PER_SECOND;
}

/** Size of a stage's KV cache, by the bytes that `holder` reports. */
export function cacheBytesOf(
  { layers }: Pick<Stage, "layers">,
  options: { readonly positions: number; readonly holder: EngineSnapshot },
): number {
  const { positions, holder } = options;
  const bytes = holder.state?.cacheBytes ?? DEFAULT_CACHE_BYTES;
  return positions * (layers.to - layers.from) * bytes;
}

/** Returns an engine as the end of a link. */
export function linkEndOf({ settings }: EngineSnapshot) {
  return { engine: settings.id, failureDomain: settings.failureDomain };
}
