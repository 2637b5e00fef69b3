/** What a plan of one failure domain is made from, and what it says. */
import type { LayerRange } from "@rosemarypin/schemas";

/** A range of layers that an engine holds of some version of a model. */
export interface HeldRange {
  readonly model: string;
  readonly layers: LayerRange;
}

/** An engine that may be used. */
export interface PlanEngine {
  readonly id: string;
  /** Time that one layer of cost 1 adds to a full batch, in milliseconds. */
  readonly layerMs: number;
  /** Time of a batch whatever its layers, with its link, in milliseconds. */
  readonly fixedMs: number;
  readonly memoryMegabytes: number;
  /** What need not be moved to it. */
  readonly holds: readonly HeldRange[];
}

/** A model that the note allows. */
export interface PlanModel {
  readonly model: string;
  readonly layers: number;
  /** Memory of a layer: weights of all versions held at once, and KV. */
  readonly layerMegabytes: number;
  /** Memory that the model takes on an engine whatever its layers. */
  readonly fixedMegabytes: number;
  /** What the weight store serves for a layer of one version. */
  readonly loadMegabytes: number;
  readonly layerCost: number;
  readonly weight: number;
}

/** A range of layers on an engine. */
export interface SplitStage {
  readonly engine: string;
  readonly from: number;
  readonly to: number;
}

/** Engines that are to hold all layers of a model once, in order. */
export interface PlannedPipeline {
  readonly model: string;
  readonly stages: readonly SplitStage[];
  /** Time of the slowest stage for a full batch, in milliseconds. */
  readonly slowestMs: number;
}

/** What the engines do not allow. */
export interface Shortage {
  readonly model: string;
  /** No pipeline at all, or none left after the loss of one machine. */
  readonly kind: "no_pipeline" | "no_spare";
}

/** Who holds which layers, in one failure domain. */
export interface Plan {
  readonly pipelines: readonly PlannedPipeline[];
  readonly shortages: readonly Shortage[];
  /** Weights of one version that engines do not hold yet, in megabytes. */
  readonly movedMegabytes: number;
}

/** The time of a stage with so many layers, in milliseconds. */
export function stageMs(
  engine: PlanEngine,
  stage: { readonly model: PlanModel; readonly layers: number },
): number {
  const { model, layers } = stage;
  return engine.fixedMs + layers * engine.layerMs * model.layerCost;
}

/** Layers of the model for which the engine has memory. */
export function largestLayers(engine: PlanEngine, model: PlanModel): number {
  const free = engine.memoryMegabytes - model.fixedMegabytes;
  return Math.max(0, Math.floor(free / model.layerMegabytes + ROUNDING));
}

/** Keeps a quotient that was computed from whole layers at those layers. */
const ROUNDING = 1e-9;
