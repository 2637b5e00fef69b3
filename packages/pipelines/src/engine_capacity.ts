/** Divides an engine's memory between weights and the KV cache. */
import type { ModelShape } from "./types.ts";

const BYTES_PER_MB = 1e6;

/**
 * Returns the KV cache capacity, in tokens, of an engine with `layers` layers.
 */
export function kvCapacityTokens(
  model: ModelShape,
  { memoryMb, layers }: { readonly memoryMb: number; readonly layers: number },
): number {
  if (layers <= 0) return 0;
  const freeBytes = (memoryMb - layers * model.layerMb) * BYTES_PER_MB;
  return Math.max(0, Math.floor(freeBytes / (layers * model.tokenLayerBytes)));
}

/**
 * Returns how many layers fit into an engine's memory together with the KV
 * cache of `tokens` tokens for each of them.
 */
export function maxLayersWithCapacity(
  model: ModelShape,
  { memoryMb, tokens }: { readonly memoryMb: number; readonly tokens: number },
): number {
  const layerMb =
    model.layerMb + (tokens * model.tokenLayerBytes) / BYTES_PER_MB;
  return Math.min(model.layerCount, Math.floor(memoryMb / layerMb));
}
