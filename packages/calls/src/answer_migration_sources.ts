/** Finds the engines that a running answer should migrate off. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type { Stage } from "@rosemarypin/schemas";

/** The answer's pipeline and remaining work, and the thresholds. */
export interface MigrationSourceOptions {
  readonly model: string;
  readonly stages: readonly Stage[];
  /** Maximum number of tokens to come, and their expected duration. */
  readonly remainingTokens: number;
  readonly remainingMs: number;
  /**
   * Minimum benefit of a migration: the expected remaining time of the answer
   * for a leaving engine, the expected saved time for a slow one.
   */
  readonly minBenefitMs: number;
  /** Excess over the typical send time from which a link counts as slow. */
  readonly slowLinkMs: number;
}

/** Engines to migrate off, and engines that are unsuitable as targets. */
export interface MigrationSources {
  /** Engines of the pipeline that the answer should migrate off. */
  readonly sources: readonly string[];
  /**
   * All leaving engines. Includes engines with a slow link as well, unless the
   * answer migrates off a leaving engine.
   */
  readonly avoid: ReadonlySet<string>;
}

/**
 * Finds leaving and slow engines in the pipeline of an answer. An engine with a
 * degraded link responds to probes but delays every token; it is detected by
 * comparison with the engines that serve the same layers.
 */
export function findMigrationSources(
  engines: readonly EngineSnapshot[],
  options: MigrationSourceOptions,
): MigrationSources {
  const { stages, remainingTokens, remainingMs, minBenefitMs, slowLinkMs } =
    options;
  const stageEngines = new Set(stages.map(({ engine }) => engine));
  const leaving = idsOf(engines.filter(({ state }) => state?.leaving));
  const leavingStages = leaving.filter((id) => stageEngines.has(id));
  // A leaving engine takes precedence, and a slow engine may replace it.
  if (leavingStages.length > 0 && remainingMs >= minBenefitMs) {
    return { sources: leavingStages, avoid: new Set(leaving) };
  }
  const avoid = new Set(leaving);
  // Common case: a stage whose send time is below the threshold cannot exceed
  // the typical send time by the threshold.
  const mayBeSlow = engines.some(
    ({ settings, state }) =>
      stageEngines.has(settings.id) && (state?.sendMs ?? 0) >= slowLinkMs,
  );
  if (!mayBeSlow) return { sources: [], avoid };
  const typicalSendMs = findTypicalSendMs(engines, options.model);
  const sources: string[] = [];
  for (const engine of engines) {
    const { id } = engine.settings;
    const typicalMs = typicalSendMs.get(layerKeyOf(engine, options.model)) ?? 0;
    const excessMs = (engine.state?.sendMs ?? 0) - typicalMs;
    if (excessMs < slowLinkMs) continue;
    avoid.add(id);
    if (stageEngines.has(id) && remainingTokens * excessMs >= minBenefitMs)
      sources.push(id);
  }
  return { sources, avoid };
}

function idsOf(engines: readonly EngineSnapshot[]): string[] {
  return engines.map(({ settings }) => settings.id);
}

/**
 * Median send time of the usable engines, by layer range. An engine without a
 * measurement counts as 0 ms: the first answer that migrates there measures it.
 * If all engines of a range are slow, none exceeds the median.
 */
function findTypicalSendMs(
  engines: readonly EngineSnapshot[],
  model: string,
): ReadonlyMap<string, number> {
  const times = new Map<string, number[]>();
  for (const engine of engines) {
    if (!engine.usable) continue;
    const layers = layerKeyOf(engine, model);
    const group = times.get(layers) ?? [];
    group.push(engine.state?.sendMs ?? 0);
    times.set(layers, group);
  }
  // The lower of the two middle values, since with two engines the upper one
  // is the slow engine's.
  const lowerMedian = (group: number[]) =>
    group.sort((a, b) => a - b)[(group.length - 1) >> 1] ?? 0;
  return new Map(
    [...times].map(([layers, group]) => [layers, lowerMedian(group)] as const),
  );
}

function layerKeyOf({ settings }: EngineSnapshot, model: string): string {
  const role = settings.roles.find((candidate) => candidate.model === model);
  return role ? `${role.layers.from}-${role.layers.to}` : "";
}
