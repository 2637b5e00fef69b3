/** What an answer's attempts import, and what that teaches of the links. */
import type { EngineFleet, KnownEngine } from "@rosemarypin/backends";
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
  readonly links: LinkSpeeds;
}

/** Adds to an attempt where its stages import their KV cache from. */
export function addImports(
  attempt: AttemptRequest,
  { progress, fleet, links }: ImportContext,
): AttemptRequest {
  const { stages } = attempt;
  const kept = new Set(
    stages.flatMap(({ engine, keptPositions }) =>
      keptPositions === undefined ? [] : [engine],
    ),
  );
  // The usual case costs no look at the fleet.
  if (kept.size === stages.length || progress.kept.size === 0) return attempt;
  const engines = byName(fleet);
  const holders = findHolders(progress, { stages, engines });
  if (holders.length === 0) return attempt;
  const positions = countPositions(attempt);
  const all = { kept, holders, engines, positions, links };
  const sources = chooseImports(stages, all);
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

/** Engines that are no stage of the attempt and still have their cache. */
function findHolders(
  progress: Progress,
  options: {
    readonly stages: readonly Stage[];
    readonly engines: ReadonlyMap<string, KnownEngine>;
  },
): CacheHolder[] {
  const names = new Set(options.stages.map(({ engine }) => engine));
  return [...progress.kept].flatMap(([name, { layers, incarnation }]) => {
    const engine = options.engines.get(name);
    if (!engine || names.has(name)) return [];
    // A restarted engine's memory is empty.
    if (engine.state?.incarnation !== incarnation) return [];
    return [{ engine, layers }];
  });
}

function countPositions(attempt: AttemptRequest): number {
  return attempt.promptTokens.length + attempt.deliveredTokens.length - 1;
}

function byName(
  fleet: Pick<EngineFleet, "engines">,
): ReadonlyMap<string, KnownEngine> {
  return new Map(fleet.engines().map((known) => [known.settings.id, known]));
}

interface RunningImports extends ImportContext {
  readonly attempt: AttemptRequest;
}

/** Takes the measure of a transfer. */
export function noteImported(
  event: Extract<EngineEvent, { type: "imported" }>,
  options: RunningImports,
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
  if (link) options.links.observe(link, { bytes, durationMs });
}

/**
 * Notes that a stage found no cache after `elapsedMs`. The exporter is not
 * asked again, so that the next attempt recomputes. A transfer that ran into
 * its limit was slow: without that as a measure, each later answer would wait
 * for the same link in vain.
 */
export function noteNoCache(
  stage: Stage,
  options: RunningImports & { readonly elapsedMs: number },
): void {
  const { progress, attempt, elapsedMs } = options;
  const source = stage.importFrom;
  if (!source) return;
  progress.kept.delete(source.engine);
  log.info("cache_import_failed", {
    request: attempt.requestId,
    attempt: attempt.attempt,
    engine: stage.engine,
    from: source.engine,
  });
  if (elapsedMs < source.withinMs) return;
  const holder = byName(options.fleet).get(source.engine);
  if (!holder) return;
  const positions = countPositions(attempt);
  const bytes = cacheBytesOf(stage, { positions, holder });
  const link = linkOf(stage, options);
  const transfer = { bytes, durationMs: elapsedMs };
  if (link) options.links.observeGivenUp(link, transfer);
}

function linkOf(stage: Stage, { fleet }: ImportContext): Link | null {
  const engines = byName(fleet);
  const from = engines.get(stage.importFrom?.engine ?? "");
  const to = engines.get(stage.engine);
  return from && to ? { from: linkEndOf(from), to: linkEndOf(to) } : null;
}
