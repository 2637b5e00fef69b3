/** How long tokens take at the stages of a pipeline. */
import type { EngineFacts, ModelShape } from "./types.ts";

/** Waiting for the pass that an engine is in, and the hop, in milliseconds. */
export const STAGE_MS = 0.5;

/** Milliseconds that one layer adds to a token on an engine without load. */
export function layerMs(
  model: ModelShape,
  { stepFactor }: Pick<EngineFacts, "stepFactor">,
): number {
  return (model.stepMs * stepFactor) / model.layerCount;
}

/** Milliseconds that an engine without load takes to read prompts. */
export function readMs(
  { readTokensPerMs, layerCount }: ModelShape,
  prompts: { readonly readFactor: number; readonly tokenLayers: number },
): number {
  const { readFactor, tokenLayers } = prompts;
  return (tokenLayers * readFactor) / (readTokensPerMs * layerCount);
}
