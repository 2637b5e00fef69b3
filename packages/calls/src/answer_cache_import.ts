/** Plans KV cache imports of an attempt and records their transfer speeds. */
import type { EngineFleet, EngineSnapshot } from "@rosemarypin/backends";
import type { AttemptRequest, EngineEvent, Stage } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import {
  type CacheHolder,
  cacheBytesOf,
  chooseImports,
  linkEndOf,
} from "./answer_cache_import_plan.ts";
import type { Link, LinkSpeeds } from "./answer_link_speeds.ts";
import type { Progress } from "./answer_progress.ts";

const log = createLogger("answer");

interface ImportContext {
  readonly progress: Progress;
  readonly fleet: Pick<EngineFleet, "engines">;
  readonly linkSpeeds: LinkSpeeds;
}

/** Returns the attempt with the KV cache source of each importing stage. */
export function addCacheImports(
  attempt: AttemptRequest,
  { progress, fleet, linkSpeeds }: ImportContext,
): AttemptRequest {
  const { stages } = attempt;
  const enginesWithCache = new Set(
    stages.flatMap(({ engine, keptPositions }) =>
      keptPositions === undefined ? [] : [engine],
    ),
  );
  // Common case, without a read of the fleet: nothing to import.
  if (enginesWithCache.size === stages.length || progress.caches.size === 0)
    return attempt;
  const engines = enginesById(fleet);
  const holders = findHolders(progress, { stages, engines });
  if (holders.length === 0) return attempt;
  const positions = countPositions(attempt);
  const importOptions = {
    enginesWithCache,
    holders,
    engines,
    positions,
    linkSpeeds,
  };
  const sources = chooseImports(stages, importOptions);
  if (sources.size === 0) return attempt;
  return {
    ...attempt,
    stages: stages.map((stage) => {
      const importFrom = sources.get(stage.engine);
      if (!importFrom) return stage;
      return { ...stage, keptPositions: positions, importFrom };
    }),
  };
}

/** Engines that hold KV cache of the answer but are no stage of the attempt. */
function findHolders(
  progress: Progress,
  options: {
    readonly stages: readonly Stage[];
    readonly engines: ReadonlyMap<string, EngineSnapshot>;
  },
): CacheHolder[] {
  const stageEngines = new Set(options.stages.map(({ engine }) => engine));
  return [...progress.caches].flatMap(([name, { layers, incarnation }]) => {
    const engine = options.engines.get(name);
    if (!engine || stageEngines.has(name)) return [];
    // A restart has emptied the engine's memory.
    if (engine.state?.incarnation !== incarnation) return [];
    return [{ engine, layers }];
  });
}

function countPositions(attempt: AttemptRequest): number {
  return attempt.promptTokens.length + attempt.deliveredTokens.length - 1;
}

function enginesById(
  fleet: Pick<EngineFleet, "engines">,
): ReadonlyMap<string, EngineSnapshot> {
  return new Map(fleet.engines().map((engine) => [engine.settings.id, engine]));
}

interface AttemptImportContext extends ImportContext {
  readonly attempt: AttemptRequest;
}

/** Logs a completed transfer and updates the speed of its link. */
export function recordImport(
  event: Extract<EngineEvent, { type: "imported" }>,
  options: AttemptImportContext,
): void {
  const { attempt } = options;
  const { bytes, durationMs } = event;
  const stage = attempt.stages[event.stage];
  if (!stage?.importFrom) return;
  log.info("cache_imported", {
    request: attempt.requestId,
    attempt: attempt.attempt,
    engine: stage.engine,
    from: stage.importFrom.engine,
    bytes,
    ms: Math.round(durationMs),
  });
  const link = linkOf(stage, options);
  if (link) options.linkSpeeds.observe(link, { bytes, durationMs });
}

/**
 * Handles a stage that reports, `elapsedMs` after the start of the attempt,
 * that it could not import its cache. The exporter is dropped as a source, so
 * that the next attempt recomputes. A transfer that timed out is recorded as a
 * speed of the link; otherwise later answers would time out on it as well.
 */
export function recordMissingCache(
  stage: Stage,
  options: AttemptImportContext & { readonly elapsedMs: number },
): void {
  const { progress, attempt, elapsedMs } = options;
  const source = stage.importFrom;
  if (!source) return;
  progress.caches.delete(source.engine);
  log.info("cache_import_failed", {
    request: attempt.requestId,
    attempt: attempt.attempt,
    engine: stage.engine,
    from: source.engine,
  });
  if (elapsedMs < source.withinMs) return;
  const holder = enginesById(options.fleet).get(source.engine);
  if (!holder) return;
  const positions = countPositions(attempt);
  const bytes = cacheBytesOf(stage, { positions, holder });
  const link = linkOf(stage, options);
  const transfer = { bytes, durationMs: elapsedMs };
  if (link) options.linkSpeeds.observeTimeout(link, transfer);
}

function linkOf(stage: Stage, { fleet }: ImportContext): Link | null {
  const engines = enginesById(fleet);
  const from = engines.get(stage.importFrom?.engine ?? "");
  const to = engines.get(stage.engine);
  return from && to ? { from: linkEndOf(from), to: linkEndOf(to) } : null;
}
