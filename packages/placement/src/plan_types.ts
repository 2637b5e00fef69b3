/** Inputs and result of planning the engines of one failure domain. */
import type { LayerRange } from "@rosemarypin/schemas";

/** A range of layers that an engine holds of some version of a model. */
export interface HeldRange {
  readonly model: string;
  readonly layers: LayerRange;
}

/** An engine that a plan may assign layers to. */
export interface PlanEngine {
  readonly id: string;
  /** Time that one layer of cost 1 adds to a full batch, in milliseconds. */
  readonly layerMs: number;
  /** Fixed time per batch, link included, in milliseconds. */
  readonly fixedMs: number;
  readonly memoryMegabytes: number;
  /** Layers that it holds already and that need no transfer. */
  readonly holds: readonly HeldRange[];
}

/** A placed model that the release note serves. */
export interface PlanModel {
  readonly model: string;
  readonly layers: number;
  /** Memory per layer: weights of all versions held at once, and KV cache. */
  readonly layerMegabytes: number;
  /** Memory per engine that does not depend on its number of layers. */
  readonly fixedMegabytes: number;
  /** Transfer from the weight store for one layer of one version. */
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

/** Stages that together hold each layer of a model once, in order. */
export interface PlannedPipeline {
  readonly model: string;
  readonly stages: readonly SplitStage[];
  /** Time of the slowest stage for a full batch, in milliseconds. */
  readonly slowestMs: number;
}

/** A model for which the engines do not suffice. */
export interface Shortage {
  readonly model: string;
  /** No pipeline at all, or none left after the loss of one engine. */
  readonly kind: "no_pipeline" | "no_spare";
}

/** The pipelines planned for one failure domain. */
export interface Plan {
  readonly pipelines: readonly PlannedPipeline[];
  readonly shortages: readonly Shortage[];
  /** Weights of one version that engines have to load, in megabytes. */
  readonly movedMegabytes: number;
}

/** Time that a stage takes for a full batch, in milliseconds. */
export function stageMs(
  engine: PlanEngine,
  stage: { readonly model: PlanModel; readonly layers: number },
): number {
  const { model, layers } = stage;
  return engine.fixedMs + layers * engine.layerMs * model.layerCost;
}

/** Number of layers of the model that fit into the engine's memory. */
export function maxLayersOn(engine: PlanEngine, model: PlanModel): number {
  const availableMegabytes = engine.memoryMegabytes - model.fixedMegabytes;
  return Math.max(
    0,
    Math.floor(availableMegabytes / model.layerMegabytes + ROUNDING_TOLERANCE),
  );
}

/** Absorbs floating-point error before a quotient is rounded down. */
const ROUNDING_TOLERANCE = 1e-9;
