/** How weights and the KV cache of answers share an engine's memory. */
import type { ModelShape } from "./types.ts";

const BYTES_PER_MB = 1e6;

/** Tokens for which an engine that holds `layers` layers has room. */
export function roomTokens(
  model: ModelShape,
  { memoryMb, layers }: { readonly memoryMb: number; readonly layers: number },
): number {
  if (layers <= 0) return 0;
  const freeBytes = (memoryMb - layers * model.layerMb) * BYTES_PER_MB;
  return Math.max(0, Math.floor(freeBytes / (layers * model.tokenLayerBytes)));
}

/** Layers that an engine can hold with room for `tokens` tokens. */
export function layersWithRoom(
  model: ModelShape,
  { memoryMb, tokens }: { readonly memoryMb: number; readonly tokens: number },
): number {
  const layerMb =
    model.layerMb + (tokens * model.tokenLayerBytes) / BYTES_PER_MB;
  return Math.min(model.layerCount, Math.floor(memoryMb / layerMb));
}
