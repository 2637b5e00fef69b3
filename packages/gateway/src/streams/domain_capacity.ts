/** Computes the capacity of failure domains from the layers of their engines. */
import { kvCapacityTokens, layersIn } from "@rosemarypin/pipelines";
import type { BackendServer } from "../backend_server.ts";
import type { EngineShape } from "../configuration.ts";

/**
 * Returns the tokens of complete answers for which the engines of each failure
 * domain have memory: the sum over the engines with a layer, of the layer with
 * the lowest one. It is 0 for a domain without some layer.
 */
export function domainCapacities(
  servers: readonly BackendServer[],
  { model, kinds }: EngineShape,
): ReadonlyMap<string, number> {
  const tokensByDomain = new Map<string, Float64Array>();
  for (const { held, kind, failureDomain } of servers) {
    const memoryMb = kinds.get(kind ?? "")?.memoryMb;
    let byLayer = tokensByDomain.get(failureDomain);
    if (!byLayer) {
      byLayer = new Float64Array(model.layerCount);
      tokensByDomain.set(failureDomain, byLayer);
    }
    if (!held || memoryMb === undefined) continue;
    const layers = layersIn(held);
    const tokens = kvCapacityTokens(model, { memoryMb, layers });
    const to = Math.min(held.to, model.layerCount);
    for (let layer = held.from; layer < to; layer += 1)
      byLayer[layer] = (byLayer[layer] ?? 0) + tokens;
  }
  return new Map(
    Array.from(tokensByDomain, ([domain, tokens]) => [
      domain,
      Math.min(...tokens),
    ]),
  );
}
