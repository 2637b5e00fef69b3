/** Groups equivalent engines by kind, and evaluates groups of kinds. */
import { type SplitEngine, slowestStageMs } from "./layer_split.ts";
import { maxLayersOn, type PlanEngine, type PlanModel } from "./plan_types.ts";

/** Engines with the same speed, link and memory. */
export interface EngineKind {
  /** The first of the engines, equivalent to each of them. */
  readonly representative: PlanEngine;
  readonly engines: readonly PlanEngine[];
}

/** Lists engines by kind, the fastest first; equal inputs give equal lists. */
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
    list[0] ? [{ representative: list[0], engines: list }] : [],
  );
}

/** Returns the engine's parameters for splitting the layers of a model. */
export function toSplitEngine(
  engine: PlanEngine,
  model: PlanModel,
): SplitEngine {
  return {
    id: engine.id,
    layerMs: engine.layerMs * model.layerCost,
    fixedMs: engine.fixedMs,
    maxLayers: maxLayersOn(engine, model),
  };
}

/** Evaluates groups, given by their model and kinds in ascending order. */
export interface GroupEvaluator {
  /** Time of the slowest stage, in milliseconds. */
  slowestMs(model: PlanModel, kinds: readonly number[]): number;
  /** Fraction of the layers that fits into memory, from 0 to 1. */
  memoryCoverage(model: PlanModel, kinds: readonly number[]): number;
}

/** Trie node of a sequence of kinds, with the cached time of that group. */
interface TrieNode {
  timeMs: number | null;
  readonly next: (TrieNode | undefined)[];
}

/** Creates an evaluator that computes the time of each group once. */
export function createGroupEvaluator(
  kinds: readonly EngineKind[],
): GroupEvaluator {
  const roots = new Map<PlanModel, TrieNode>();
  const splitEngines = new Map<PlanModel, readonly SplitEngine[]>();

  function splitEnginesOf(model: PlanModel): readonly SplitEngine[] {
    const cached = splitEngines.get(model);
    if (cached) return cached;
    const created = kinds.map(({ representative }) =>
      toSplitEngine(representative, model),
    );
    splitEngines.set(model, created);
    return created;
  }

  function computeSlowestMs(
    model: PlanModel,
    group: readonly number[],
  ): number {
    const all = splitEnginesOf(model);
    const engines = group.flatMap((kind) => all[kind] ?? []);
    return slowestStageMs(engines, model.layers);
  }

  return {
    slowestMs(model, group) {
      let node = roots.get(model) ?? createNode();
      roots.set(model, node);
      // A search looks up some groups a million times; building string keys
      // for a map would take most of its time.
      for (const kind of group) {
        const next = node.next[kind] ?? createNode();
        node.next[kind] = next;
        node = next;
      }
      node.timeMs ??= computeSlowestMs(model, group);
      return node.timeMs;
    },
    memoryCoverage(model, group) {
      const all = splitEnginesOf(model);
      const capacity = group.reduce(
        (sum, kind) => sum + (all[kind]?.maxLayers ?? 0),
        0,
      );
      return Math.min(1, capacity / model.layers);
    },
  };
}

function createNode(): TrieNode {
  return { timeMs: null, next: [] };
}
