/** Allocates engines to pipelines as the initial solution of local search. */
import { type EngineKind, toSplitEngine } from "./engine_kinds.ts";
import type { KindGroup } from "./group_local_search.ts";
import { layersWithin } from "./layer_split.ts";
import type { PlanModel } from "./plan_types.ts";

/** Halvings of a time interval, which end far below the time of one layer. */
const BISECTION_STEPS = 40;

export interface AllocationOptions {
  /** The model of each group. */
  readonly groupModels: readonly PlanModel[];
  /** What limits an engine's layers: a common time limit, or memory alone. */
  readonly limitedBy: "time" | "memory";
}

/**
 * Allocates engines greedily, the fastest first: each goes to the group whose
 * engines cover the smallest fraction of its layers so far.
 */
export function allocateEngines(
  kinds: readonly EngineKind[],
  { groupModels, limitedBy }: AllocationOptions,
): KindGroup[] {
  const groups = groupModels.map((model) => ({ model, kinds: [] as number[] }));
  if (groups.length === 0) return groups;
  const layerFraction = createLayerFraction(kinds);
  const limitMs =
    limitedBy === "time"
      ? findFeasibleTimeMs(kinds, { groupModels, layerFraction })
      : MAX_TIME_MS;
  const coverage = groups.map(() => 0);
  kinds.forEach((kind, index) => {
    for (const _engine of kind.engines) {
      const leastCovered = indexOfMinimum(coverage);
      const group = groups[leastCovered];
      if (!group) continue;
      group.kinds.push(index);
      const added = layerFraction(index, { model: group.model, limitMs });
      coverage[leastCovered] = (coverage[leastCovered] ?? 0) + added;
    }
  });
  return groups;
}

/** Fraction of a model's layers that an engine can run within a time limit. */
type LayerFraction = (
  kind: number,
  options: { readonly model: PlanModel; readonly limitMs: number },
) => number;

function createLayerFraction(kinds: readonly EngineKind[]): LayerFraction {
  return (kind, { model, limitMs }) => {
    const representative = kinds[kind]?.representative;
    if (!representative) return 0;
    return (
      layersWithin(toSplitEngine(representative, model), limitMs) / model.layers
    );
  };
}

/**
 * Bisects for the smallest time limit at which the layer fractions of all
 * engines, spread evenly over the models, add up to the number of groups.
 * Returns a value above `MAX_TIME_MS` if memory is insufficient.
 */
function findFeasibleTimeMs(
  kinds: readonly EngineKind[],
  options: {
    readonly groupModels: readonly PlanModel[];
    readonly layerFraction: LayerFraction;
  },
): number {
  const { groupModels, layerFraction } = options;
  const models = [...new Set(groupModels)];
  const isFeasible = (limitMs: number) => {
    let totalFraction = 0;
    kinds.forEach(({ engines }, kind) => {
      for (const model of models) {
        const fraction = layerFraction(kind, { model, limitMs });
        totalFraction += (engines.length * fraction) / models.length;
      }
    });
    return totalFraction >= groupModels.length;
  };
  let low = 0;
  let high = 1;
  while (!isFeasible(high)) {
    high *= 2;
    // No time limit suffices: the engines lack memory.
    if (high > MAX_TIME_MS) return high;
  }
  for (let step = 0; step < BISECTION_STEPS; step++) {
    const midpoint = (low + high) / 2;
    if (isFeasible(midpoint)) high = midpoint;
    else low = midpoint;
  }
  return high;
}

const MAX_TIME_MS = 1e9;

function indexOfMinimum(values: readonly number[]): number {
  return values.reduce(
    (lowest, value, index) => (value < (values[lowest] ?? 0) ? index : lowest),
    0,
  );
}
