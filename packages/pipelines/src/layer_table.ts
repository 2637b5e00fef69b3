/** What a pipeline search needs of the engines and their layers. */
import type { SearchedEngine } from "./pipeline_search.ts";
import { idleLayerMs } from "./stage_time.ts";
import { layersIn, type ModelShape } from "./types.ts";

/** Columns by the index of an engine. */
export interface LayerTable {
  /** First layer that the engine holds. */
  readonly froms: Int32Array;
  /** Exclusive end of the layers that it holds. */
  readonly tos: Int32Array;
  /** Share of the model's layers that it holds. */
  readonly layerShares: Float64Array;
  /** Number of its failure domain; 0 is the preferred one. */
  readonly domains: Int32Array;
  readonly domainCount: number;
  /** Names of the failure domains, by number. */
  readonly domainNames: readonly string[];
  /** Highest end of a range, or the number of layers of the model. */
  readonly layerCount: number;
  /**
   * Engines that hold a layer. Fast ones come first, since with them known a
   * search can leave out most of the others.
   */
  enginesAt(layer: number): Int32Array;
}

export function createLayerTable(
  engines: readonly SearchedEngine[],
  options: { readonly model: ModelShape; readonly failureDomain: string },
): LayerTable {
  const { model, failureDomain } = options;
  const froms = Int32Array.from(engines, ({ held }) => held.from);
  const tos = Int32Array.from(engines, ({ held }) => held.to);
  const names = [failureDomain];
  const domains = Int32Array.from(engines, (engine) => {
    const known = names.indexOf(engine.failureDomain);
    return known < 0 ? names.push(engine.failureDomain) - 1 : known;
  });
  let layerCount = model.layerCount;
  for (const { held } of engines) {
    layerCount = Math.max(layerCount, held.from, held.to);
  }
  const fastestFirst = engines
    .map((engine, index) => ({ index, ms: idleLayerMs(model, engine) }))
    .sort((a, b) => a.ms - b.ms);
  const lists: number[][] = Array.from({ length: layerCount }, () => []);
  for (const { index } of fastestFirst) {
    const to = tos[index] ?? 0;
    for (let layer = froms[index] ?? 0; layer < to; layer += 1)
      lists[layer]?.push(index);
  }
  const byLayer = lists.map((list) => Int32Array.from(list));
  const none = new Int32Array(0);
  return {
    froms,
    tos,
    layerShares: Float64Array.from(
      engines,
      ({ held }) => layersIn(held) / model.layerCount,
    ),
    domains,
    domainCount: names.length,
    domainNames: names,
    layerCount,
    enginesAt: (layer) => byLayer[layer] ?? none,
  };
}
