/** Finds the engines that a running answer does better to leave. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { Stage } from "@rosemarypin/schemas";

export interface WorseOptions {
  readonly model: string;
  readonly stages: readonly Stage[];
  /** Tokens that the answer may still have, and their expected time. */
  readonly restTokens: number;
  readonly restMs: number;
  /** An answer that is expected to end, or to gain, less stays. */
  readonly leastMs: number;
  /** What a message must take longer than usual for its link to be slow. */
  readonly slowMs: number;
}

/** Engines to leave, and those that are no better. */
export interface WorseEngines {
  /** Stages of the answer that it does better to leave. */
  readonly from: readonly string[];
  /** All engines that are leaving, or slow by as much. */
  readonly avoid: ReadonlySet<string>;
}

/**
 * An engine that leaves has to be empty soon. One with a degraded link answers
 * each probe and yet holds up every token; it shows against the engines that
 * hold the same layers.
 */
export function findWorse(
  engines: readonly KnownEngine[],
  options: WorseOptions,
): WorseEngines {
  const { stages, restTokens, restMs, leastMs, slowMs } = options;
  const names = new Set(stages.map(({ engine }) => engine));
  const leaving = namesOf(engines.filter(({ state }) => state?.leaving));
  const left = leaving.filter((id) => names.has(id));
  // A planned stop comes first: a slow engine will do in place of one that
  // leaves.
  if (left.length > 0 && restMs >= leastMs) {
    return { from: left, avoid: new Set(leaving) };
  }
  const avoid = new Set(leaving);
  // The usual case: no stage is slow by itself, so none is beside others.
  const mayBeSlow = engines.some(
    ({ settings, state }) =>
      names.has(settings.id) && (state?.sendMs ?? 0) >= slowMs,
  );
  if (!mayBeSlow) return { from: [], avoid };
  const usual = findUsualTimes(engines, options.model);
  const from: string[] = [];
  for (const known of engines) {
    const { id } = known.settings;
    const usualMs = usual.get(layersOf(known, options.model)) ?? 0;
    const excessMs = (known.state?.sendMs ?? 0) - usualMs;
    if (excessMs < slowMs) continue;
    avoid.add(id);
    if (names.has(id) && restTokens * excessMs >= leastMs) from.push(id);
  }
  return { from, avoid };
}

function namesOf(engines: readonly KnownEngine[]): string[] {
  return engines.map(({ settings }) => settings.id);
}

/**
 * What a message takes from most engines of each layer range. One that has
 * sent nothing counts as quick: the first answer that moves there measures it,
 * and between engines that are all slow none moves.
 */
function findUsualTimes(
  engines: readonly KnownEngine[],
  model: string,
): ReadonlyMap<string, number> {
  const times = new Map<string, number[]>();
  for (const known of engines) {
    if (!known.usable) continue;
    const layers = layersOf(known, model);
    const group = times.get(layers) ?? [];
    group.push(known.state?.sendMs ?? 0);
    times.set(layers, group);
  }
  // The lower of two in the middle: one of two engines may be the slow one.
  const middle = (group: number[]) =>
    group.sort((a, b) => a - b)[(group.length - 1) >> 1] ?? 0;
  return new Map(
    [...times].map(([layers, group]) => [layers, middle(group)] as const),
  );
}

function layersOf({ settings }: KnownEngine, model: string): string {
  const role = settings.roles.find((one) => one.model === model);
  return role ? `${role.layers.from}-${role.layers.to}` : "";
}
