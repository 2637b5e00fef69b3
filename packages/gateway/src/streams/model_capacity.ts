/** Capacity of a model's engines in tokens of complete responses. */
import { kvCapacityTokens, layersIn } from "@rosemarypin/pipelines";
import type { BackendFleet } from "../backends/mod.ts";
import type { Service } from "../configuration.ts";

/**
 * Sums the token-layers for which the service's engines have memory, divided by
 * the model's layers. The least memory over the layers would be lower than what
 * engines admit in sum, since the held layers change when they are short.
 */
export function capacityTokensOf(
  { name, engine }: Service,
  fleet: Pick<BackendFleet, "ofService" | "detector">,
): number {
  if (!engine) return 0;
  const { model, kinds } = engine;
  const tokenLayers = fleet
    .ofService(name)
    .filter(({ id, leaving }) => !leaving && !fleet.detector.isAvoided(id))
    .reduce((sum, { kind, held }) => {
      const memoryMb = kinds.get(kind ?? "")?.memoryMb;
      if (memoryMb === undefined || !held) return sum;
      const layers = layersIn(held);
      return sum + kvCapacityTokens(model, { memoryMb, layers }) * layers;
    }, 0);
  return tokenLayers / Math.max(1, model.layerCount);
}
