/**
 * Splits a model's layers over mixed accelerators that form one pipeline,
 * minimising the time of its slowest stage.
 */
import type { SplitStage } from "./plan_types.ts";

/** An engine that can hold a range of layers. */
export interface SplitEngine {
  readonly id: string;
  /** Time of one layer for a full batch, in milliseconds. */
  readonly layerMs: number;
  /** Fixed time per batch, link included, in milliseconds. */
  readonly fixedMs: number;
  /** Number of layers that fit into its memory. */
  readonly maxLayers: number;
}

/** Stages that together hold each layer once, in order. */
export interface SplitPipeline {
  readonly stages: readonly SplitStage[];
  /** Time of the slowest stage for a full batch, in milliseconds. */
  readonly slowestMs: number;
}

/** Number of layers that an engine can run within `limitMs`. */
export function layersWithin(engine: SplitEngine, limitMs: number): number {
  const layers = Math.floor(
    (limitMs - engine.fixedMs) / engine.layerMs + ROUNDING_TOLERANCE,
  );
  return Math.max(0, Math.min(engine.maxLayers, layers));
}

/** Absorbs floating-point error before a quotient is rounded down. */
const ROUNDING_TOLERANCE = 1e-9;

/**
 * Returns the minimal time of the slowest stage if the engines form one
 * pipeline, or `Infinity` if they lack memory. Greedy: each layer is assigned
 * where the resulting stage time is lowest. Stage times grow with the number
 * of layers, so this picks the smallest times there are and the largest of
 * them is minimal.
 */
export function slowestStageMs(
  engines: readonly SplitEngine[],
  layers: number,
): number {
  const assigned = engines.map(() => 0);
  let slowestMs = 0;
  for (let layer = 0; layer < layers; layer++) {
    let fastestIndex = -1;
    let fastestMs = Infinity;
    engines.forEach((engine, index) => {
      const layerCount = (assigned[index] ?? 0) + 1;
      if (layerCount > engine.maxLayers) return;
      const timeMs = engine.fixedMs + layerCount * engine.layerMs;
      if (timeMs >= fastestMs) return;
      fastestIndex = index;
      fastestMs = timeMs;
    });
    if (fastestIndex < 0) return Infinity;
    assigned[fastestIndex] = (assigned[fastestIndex] ?? 0) + 1;
    slowestMs = Math.max(slowestMs, fastestMs);
  }
  return slowestMs;
}

/**
 * Splits the layers into contiguous ranges, in the order of the engines. If the
 * engines lack memory, `slowestMs` is `Infinity` and the last layers are in no
 * stage.
 */
export function splitPipeline(
  engines: readonly SplitEngine[],
  layers: number,
): SplitPipeline {
  const slowestMs = slowestStageMs(engines, layers);
  const stages: SplitStage[] = [];
  let from = 0;
  for (const engine of engines) {
    const count = Math.min(layersWithin(engine, slowestMs), layers - from);
    if (count <= 0) continue;
    stages.push({ engine: engine.id, from, to: from + count });
    from += count;
  }
  return { stages, slowestMs };
}
