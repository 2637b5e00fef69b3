/** Deals engines out to pipelines, as a start for the search. */
import { type EngineKind, toSplitEngine } from "./engine_kinds.ts";
import type { KindGroup } from "./group_moves.ts";
import { layersWithin } from "./layer_split.ts";
import type { PlanModel } from "./plan_types.ts";

/** Halvings of a range of times; far finer than one layer. */
const HALVINGS = 40;

export interface DealOptions {
  /** The model of each group. */
  readonly wanted: readonly PlanModel[];
  /** What an engine counts by: layers run in a time, or held in memory. */
  readonly by: "time" | "memory";
}

/**
 * Gives each engine, the fastest first, to the group that has the least part
 * of its layers so far.
 */
export function dealKinds(
  kinds: readonly EngineKind[],
  { wanted, by }: DealOptions,
): KindGroup[] {
  const groups = wanted.map((model) => ({ model, kinds: [] as number[] }));
  if (groups.length === 0) return groups;
  const share = createShares(kinds);
  const limitMs =
    by === "time" ? commonLimitMs(kinds, { wanted, share }) : LONGEST_MS;
  const parts = groups.map(() => 0);
  kinds.forEach((kind, index) => {
    for (const _engine of kind.engines) {
      const least = indexOfLeast(parts);
      const group = groups[least];
      if (!group) continue;
      group.kinds.push(index);
      const added = share(index, { model: group.model, limitMs });
      parts[least] = (parts[least] ?? 0) + added;
    }
  });
  return groups;
}

type Share = (
  kind: number,
  options: { readonly model: PlanModel; readonly limitMs: number },
) => number;

/** Part of a model's layers that one engine can run in a time. */
function createShares(kinds: readonly EngineKind[]): Share {
  return (kind, { model, limitMs }) => {
    const sample = kinds[kind]?.sample;
    if (!sample) return 0;
    return layersWithin(toSplitEngine(sample, model), limitMs) / model.layers;
  };
}

/** A time in which all engines together could run every group's layers. */
function commonLimitMs(
  kinds: readonly EngineKind[],
  options: { readonly wanted: readonly PlanModel[]; readonly share: Share },
): number {
  const { wanted, share } = options;
  const models = [...new Set(wanted)];
  const holds = (limitMs: number) => {
    let parts = 0;
    kinds.forEach(({ engines }, kind) => {
      for (const model of models) {
        const part = share(kind, { model, limitMs });
        parts += (engines.length * part) / models.length;
      }
    });
    return parts >= wanted.length;
  };
  let low = 0;
  let high = 1;
  while (!holds(high)) {
    high *= 2;
    // Memory is what lacks, not time.
    if (high > LONGEST_MS) return high;
  }
  for (let halving = 0; halving < HALVINGS; halving++) {
    const middle = (low + high) / 2;
    if (holds(middle)) high = middle;
    else low = middle;
  }
  return high;
}

const LONGEST_MS = 1e9;

function indexOfLeast(values: readonly number[]): number {
  return values.reduce(
    (least, value, index) => (value < (values[least] ?? 0) ? index : least),
    0,
  );
}
