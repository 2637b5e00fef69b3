/** What engines of a group would hold by a plan that is being made. */
import { layersWithRoom, roomTokens } from "./engine_capacity.ts";
import { roomOfGroup, tightRoom } from "./group_room.ts";
import { countHolders } from "./layer_coverage.ts";
import {
  type EngineFacts,
  type LayerRange,
  layersIn,
  type ModelShape,
} from "./types.ts";

/** An engine that may be given other layers. */
export interface PlannedEngine extends EngineFacts {
  /** Layers that it serves now; `held` is what it was last ordered to hold. */
  readonly serving: LayerRange | null;
  /** False while an earlier order is in progress. */
  readonly orderable: boolean;
}

/** What an engine is to hold from now on. */
export interface LayerOrder {
  readonly engineId: string;
  readonly range: LayerRange;
}

/** An engine beside layers that it could hold too. */
export interface Neighbour {
  readonly engine: PlannedEngine;
  /** What it goes on to hold of its own. */
  readonly kept: LayerRange;
}

export interface PlanDraft {
  readonly group: readonly PlannedEngine[];
  readonly model: ModelShape;
  /** Room that engines are planned with, in tokens. */
  readonly tokens: number;
  /** Room that an engine keeps at least, in tokens. */
  readonly tightTokens: number;
  /** Engines without layers that may be given some, fast ones first. */
  free(): readonly PlannedEngine[];
  held(engine: PlannedEngine): LayerRange | undefined;
  /** What each engine would hold. */
  ranges(): readonly LayerRange[];
  /** Whether the draft gives the engine other layers than it was ordered. */
  isOrdered(engine: PlannedEngine): boolean;
  give(engine: PlannedEngine, range: LayerRange): void;
  orders(): LayerOrder[];
  /** Layers that an engine holds with the planned room. */
  usualLayers(engine: PlannedEngine): number;
  /** Number of holders of each layer. */
  coverage(): number[];
  /** Room for tokens that all holders of each layer have together. */
  roomByLayer(): number[];
  /** Room of an engine that holds more layers, in tokens. */
  roomWith(neighbour: Neighbour, more: number): number;
  /**
   * Whether others serve a layer of an engine, so that it may give it up.
   * Layers that are only being loaded elsewhere don't count: until they are
   * there, nobody would serve them.
   */
  isServedByOthers(engine: PlannedEngine, layer: number): boolean;
}

/** Creates the draft that leaves all engines as they are. */
export function createPlanDraft(
  group: readonly PlannedEngine[],
  model: ModelShape,
): PlanDraft {
  const tokens = roomOfGroup(group, model);
  const holds = new Map<string, LayerRange>();
  const orders = new Map<string, LayerOrder>();
  for (const { id, held } of group) if (held) holds.set(id, held);
  const empty = group
    .filter(({ held, orderable }) => held === null && orderable)
    .filter((engine) => usualLayers(engine) > 0)
    .sort(bySpeed);

  function usualLayers({ memoryMb }: PlannedEngine): number {
    return layersWithRoom(model, { memoryMb, tokens });
  }

  return {
    group,
    model,
    tokens,
    tightTokens: tightRoom(model),
    free: () => empty.filter(({ id }) => !holds.has(id)),
    held: ({ id }) => holds.get(id),
    ranges: () => [...holds.values()],
    isOrdered: ({ id }) => orders.has(id),
    give(engine, range) {
      holds.set(engine.id, range);
      orders.set(engine.id, { engineId: engine.id, range });
    },
    orders: () => [...orders.values()],
    usualLayers,
    coverage: () => countHolders([...holds.values()], model.layerCount),
    roomByLayer() {
      const rooms = new Array<number>(model.layerCount).fill(0);
      for (const { id, memoryMb } of group) {
        const range = holds.get(id);
        if (!range) continue;
        const room = roomTokens(model, { memoryMb, layers: layersIn(range) });
        for (let layer = range.from; layer < range.to; layer += 1) {
          rooms[layer] = (rooms[layer] ?? 0) + room;
        }
      }
      return rooms;
    },
    roomWith({ engine, kept }, more) {
      const { memoryMb } = engine;
      return roomTokens(model, { memoryMb, layers: layersIn(kept) + more });
    },
    isServedByOthers({ id }, layer) {
      return group.some((other) => {
        const { serving } = other;
        const next = holds.get(other.id);
        if (other.id === id || !serving || !next) return false;
        const servesNow = serving.from <= layer && layer < serving.to;
        return servesNow && next.from <= layer && layer < next.to;
      });
    },
  };
}

/** Fast engines first: more layers on them make every token faster. */
export function bySpeed(a: PlannedEngine, b: PlannedEngine): number {
  return a.stepFactor - b.stepFactor || (a.id < b.id ? -1 : 1);
}
