/** Estimates the processing time of tokens at the stages of a pipeline. */
import type { EngineInfo, ModelShape } from "./types.ts";

/**
 * Time per token and stage, in milliseconds, for the network hop and for
 * waiting until the engine's current forward pass ends.
 */
export const STAGE_OVERHEAD_MS = 0.5;

/** Milliseconds per token that one layer takes on an idle engine. */
export function idleLayerMs(
  model: ModelShape,
  { stepFactor }: Pick<EngineInfo, "stepFactor">,
): number {
  return (model.stepMs * stepFactor) / model.layerCount;
}

/**
 * Returns the prefill time on an idle engine, in milliseconds. `tokenLayers` is
 * the sum of prompt tokens times the layers that process them.
 */
export function prefillMs(
  { prefillTokensPerMs, layerCount }: ModelShape,
  prompts: { readonly prefillFactor: number; readonly tokenLayers: number },
): number {
  const { prefillFactor, tokenLayers } = prompts;
  return (tokenLayers * prefillFactor) / (prefillTokensPerMs * layerCount);
}
