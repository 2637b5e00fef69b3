/** Holds the layers of a group's engines while a plan is computed. */
import { kvCapacityTokens, maxLayersWithCapacity } from "./engine_capacity.ts";
import { minCapacityTokens, targetCapacityTokens } from "./group_sizing.ts";
import { countHolders } from "./layer_coverage.ts";
import { idleLayerMs } from "./stage_time.ts";
import {
  type EngineInfo,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/** An engine to which layers can be assigned. */
export interface PlannedEngine extends EngineInfo {
  /** Layers that it serves now; `held` is the range of the last order. */
  readonly serving: LayerRange | null;
  /** Whether it accepts orders; false while an earlier one is in progress. */
  readonly acceptsOrders: boolean;
}

/** Instructs an engine to hold exactly the layers of a range. */
export interface LayerOrder {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** An engine that could take over layers adjacent to its range. */
export interface Neighbour {
  readonly engine: PlannedEngine;
  /** Layers of the engine's current range that it retains. */
  readonly retained: LayerRange;
}

/** A plan that starts from the current layers and collects orders. */
export interface PlanDraft {
  readonly group: readonly PlannedEngine[];
  readonly model: ModelShape;
  /** Target KV cache capacity of an engine, in tokens. */
  readonly targetKvTokens: number;
  /** Minimum KV cache capacity of an engine, in tokens. */
  readonly minKvTokens: number;
  /** Engines without layers that accept orders, the fastest first. */
  idleEngines(): readonly PlannedEngine[];
  /** Layers of an engine in this draft. */
  held(engine: PlannedEngine): LayerRange | undefined;
  /** Layers of each engine in this draft, without engines that have none. */
  ranges(): readonly LayerRange[];
  /** Whether the draft contains an order to the engine. */
  hasOrder(engine: PlannedEngine): boolean;
  /** Replaces the layers of an engine and adds an order for this. */
  assign(engine: PlannedEngine, range: LayerRange): void;
  orders(): LayerOrder[];
  /** Number of layers that fit beside the target KV cache capacity. */
  targetLayers(engine: PlannedEngine): number;
  /** Number of engines that hold each layer. */
  holderCounts(): number[];
  /** Total KV cache capacity of the engines with each layer, in tokens. */
  capacityByLayer(): number[];
  /**
   * Sum of the rates of the engines with each layer: answers that they can pass
   * on per millisecond if each takes one decode step.
   */
  rateByLayer(): number[];
  /**
   * KV cache capacity of an engine, in tokens, if `addedLayers` are added to
   * the layers that it retains, or removed if the number is negative.
   */
  capacityWith(neighbour: Neighbour, addedLayers: number): number;
  /**
   * Whether another engine of the group serves the layer and keeps it in this
   * draft, so that the given engine can release it. A layer that is still
   * loading on the other engine doesn't count: until it is loaded, no engine
   * would serve it.
   */
  isServedByOthers(engine: PlannedEngine, layer: number): boolean;
}

/** Creates a draft without orders. */
export function createPlanDraft(
  group: readonly PlannedEngine[],
  model: ModelShape,
): PlanDraft {
  const targetKvTokens = targetCapacityTokens(group, model);
  const heldRanges = new Map<string, LayerRange>();
  const orders = new Map<string, LayerOrder>();
  for (const { id, held } of group) if (held) heldRanges.set(id, held);
  const idle = group
    .filter(({ held, acceptsOrders }) => held === null && acceptsOrders)
    .filter((engine) => targetLayers(engine) > 0)
    .sort(compareSpeed);

  function targetLayers({ memoryMb }: PlannedEngine): number {
    return maxLayersWithCapacity(model, { memoryMb, tokens: targetKvTokens });
  }

  return {
    group,
    model,
    targetKvTokens,
    minKvTokens: minCapacityTokens(model),
    idleEngines: () => idle.filter(({ id }) => !heldRanges.has(id)),
    held: ({ id }) => heldRanges.get(id),
    ranges: () => [...heldRanges.values()],
    hasOrder: ({ id }) => orders.has(id),
    assign(engine, range) {
      heldRanges.set(engine.id, range);
      orders.set(engine.id, { engineId: engine.id, range });
    },
    orders: () => [...orders.values()],
    targetLayers,
    holderCounts: () =>
      countHolders([...heldRanges.values()], model.layerCount),
    capacityByLayer() {
      const capacities = new Array<number>(model.layerCount).fill(0);
      for (const { id, memoryMb } of group) {
        const range = heldRanges.get(id);
        if (!range) continue;
        const capacity = kvCapacityTokens(model, {
          memoryMb,
          layers: layersIn(range),
        });
        for (let layer = range.from; layer < range.to; layer += 1) {
          capacities[layer] = (capacities[layer] ?? 0) + capacity;
        }
      }
      return capacities;
    },
    rateByLayer() {
      const rates = new Array<number>(model.layerCount).fill(0);
      for (const engine of group) {
        const range = heldRanges.get(engine.id);
        if (!range) continue;
        const rate = 1 / (layersIn(range) * idleLayerMs(model, engine));
        for (let layer = range.from; layer < range.to; layer += 1)
          rates[layer] = (rates[layer] ?? 0) + rate;
      }
      return rates;
    },
    capacityWith({ engine, retained }, addedLayers) {
      const { memoryMb } = engine;
      return kvCapacityTokens(model, {
        memoryMb,
        layers: layersIn(retained) + addedLayers,
      });
    },
    isServedByOthers({ id }, layer) {
      return group.some((other) => {
        const { serving } = other;
        const planned = heldRanges.get(other.id);
        if (other.id === id || !serving || !planned) return false;
        const servesNow = serving.from <= layer && layer < serving.to;
        return servesNow && planned.from <= layer && layer < planned.to;
      });
    },
  };
}

/**
 * Compares engines so that the fastest sorts first. The more layers fast
 * engines hold, the shorter is the time per token.
 */
export function compareSpeed(a: PlannedEngine, b: PlannedEngine): number {
  return a.stepFactor - b.stepFactor || (a.id < b.id ? -1 : 1);
}
