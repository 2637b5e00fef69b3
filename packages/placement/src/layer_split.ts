/**
 * Splits a model's layers over mixed accelerators that form one pipeline, so
 * that its slowest stage is as fast as can be.
 */
import type { SplitStage } from "./plan_types.ts";

/** One engine that may hold a range of layers. */
export interface SplitEngine {
  readonly id: string;
  /** Time of one layer for a full batch, in milliseconds. */
  readonly layerMs: number;
  /** Time of a batch whatever its layers, with its link, in milliseconds. */
  readonly fixedMs: number;
  /** Layers that its memory can hold. */
  readonly largestLayers: number;
}

/** Engines that hold all layers once, in order. */
export interface SplitPipeline {
  readonly stages: readonly SplitStage[];
  /** Time of the slowest stage for a full batch, in milliseconds. */
  readonly slowestMs: number;
}

/** How many layers an engine can run in `limitMs`. */
export function layersWithin(engine: SplitEngine, limitMs: number): number {
  const layers = Math.floor(
    (limitMs - engine.fixedMs) / engine.layerMs + ROUNDING,
  );
  return Math.max(0, Math.min(engine.largestLayers, layers));
}

/** Keeps a time that was computed from whole layers at those layers. */
const ROUNDING = 1e-9;

/**
 * Least time of the slowest stage if the engines form one pipeline; infinite
 * if they cannot hold the layers. Each layer goes where the stage is then the
 * fastest: the times of an engine grow with its layers, so this takes the
 * smallest times there are, and no split has a smaller largest one.
 */
export function slowestStageMs(
  engines: readonly SplitEngine[],
  layers: number,
): number {
  const held = engines.map(() => 0);
  let slowestMs = 0;
  for (let layer = 0; layer < layers; layer++) {
    let fastest = -1;
    let fastestMs = Infinity;
    engines.forEach((engine, index) => {
      const next = (held[index] ?? 0) + 1;
      if (next > engine.largestLayers) return;
      const timeMs = engine.fixedMs + next * engine.layerMs;
      if (timeMs >= fastestMs) return;
      fastest = index;
      fastestMs = timeMs;
    });
    if (fastest < 0) return Infinity;
    held[fastest] = (held[fastest] ?? 0) + 1;
    slowestMs = Math.max(slowestMs, fastestMs);
  }
  return slowestMs;
}

/** Divides the layers among engines that form one pipeline. */
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
