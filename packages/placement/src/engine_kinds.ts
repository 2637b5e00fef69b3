/** Engines that are interchangeable, and the times of groups of them. */
import { type SplitEngine, slowestStageMs } from "./layer_split.ts";
import {
  largestLayers,
  type PlanEngine,
  type PlanModel,
} from "./plan_types.ts";

/** Engines of one speed, link and memory. */
export interface EngineKind {
  /** The first of them; all are like it. */
  readonly sample: PlanEngine;
  readonly engines: readonly PlanEngine[];
}

/** Engines by kind, the fastest first; equal inputs give equal lists. */
export function listKinds(
  engines: readonly PlanEngine[],
): readonly EngineKind[] {
  const kinds = new Map<string, PlanEngine[]>();
  const ordered = [...engines].sort(
    (a, b) =>
      a.layerMs - b.layerMs ||
      a.fixedMs - b.fixedMs ||
      b.memoryMegabytes - a.memoryMegabytes ||
      (a.id < b.id ? -1 : 1),
  );
  for (const engine of ordered) {
    const { layerMs, fixedMs, memoryMegabytes } = engine;
    const key = `${layerMs}/${fixedMs}/${memoryMegabytes}`;
    const list = kinds.get(key) ?? [];
    list.push(engine);
    kinds.set(key, list);
  }
  return [...kinds.values()].flatMap((list) =>
    list[0] ? [{ sample: list[0], engines: list }] : [],
  );
}

/** The engine as the split of one model's layers sees it. */
export function toSplitEngine(
  engine: PlanEngine,
  model: PlanModel,
): SplitEngine {
  return {
    id: engine.id,
    layerMs: engine.layerMs * model.layerCost,
    fixedMs: engine.fixedMs,
    largestLayers: largestLayers(engine, model),
  };
}

/** Facts about groups, by model and kinds in ascending order. */
export interface GroupTimes {
  /** Time of the slowest stage, in milliseconds. */
  slowestMs(model: PlanModel, kinds: readonly number[]): number;
  /** Share of the layers for which there is memory, from 0 to 1. */
  memoryShare(model: PlanModel, kinds: readonly number[]): number;
}

/** What is known of the groups that begin with some kinds. */
interface TimeNode {
  timeMs: number | null;
  readonly next: (TimeNode | undefined)[];
}

/** Times groups, each combination of kinds once. */
export function createGroupTimes(kinds: readonly EngineKind[]): GroupTimes {
  const roots = new Map<PlanModel, TimeNode>();
  const split = new Map<PlanModel, readonly SplitEngine[]>();

  function splitOf(model: PlanModel): readonly SplitEngine[] {
    const known = split.get(model);
    if (known) return known;
    const made = kinds.map(({ sample }) => toSplitEngine(sample, model));
    split.set(model, made);
    return made;
  }

  function timeOf(model: PlanModel, group: readonly number[]): number {
    const all = splitOf(model);
    const engines = group.flatMap((kind) => all[kind] ?? []);
    return slowestStageMs(engines, model.layers);
  }

  return {
    slowestMs(model, group) {
      let node = roots.get(model) ?? newNode();
      roots.set(model, node);
      // A search asks for some groups a million times; joined into a text as
      // the key of a map, the kinds took most of its time.
      for (const kind of group) {
        const next = node.next[kind] ?? newNode();
        node.next[kind] = next;
        node = next;
      }
      node.timeMs ??= timeOf(model, group);
      return node.timeMs;
    },
    memoryShare(model, group) {
      const all = splitOf(model);
      const room = group.reduce(
        (sum, kind) => sum + (all[kind]?.largestLayers ?? 0),
        0,
      );
      return Math.min(1, room / model.layers);
    },
  };
}

function newNode(): TimeNode {
  return { timeMs: null, next: [] };
}
