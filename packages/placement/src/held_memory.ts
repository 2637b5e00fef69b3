/** Computes the memory that layers and adapters need on an engine. */
import type { HeldLayers, PlacementSettings } from "@rosemarypin/schemas";
import { countLayers, isSameVersion } from "./held_layers.ts";

/**
 * Megabytes for weights, KV caches and adapters. The KV cache of a layer is
 * counted once for all versions of its model.
 */
export function requiredMegabytes(
  held: readonly HeldLayers[],
  options: {
    readonly settings: PlacementSettings;
    /** Number of adapters of a model that the release note allows. */
    readonly adaptersOf: (model: string) => number;
  },
): number {
  let sum = 0;
  for (const placed of options.settings.models) {
    const modelRanges = held.filter(({ model }) => model === placed.model);
    if (modelRanges.length === 0) continue;
    const versions = modelRanges.filter(
      (range, index) =>
        modelRanges.findIndex((candidate) =>
          isSameVersion(range, candidate),
        ) === index,
    );
    for (const version of versions) {
      const versionRanges = modelRanges.filter((range) =>
        isSameVersion(range, version),
      );
      sum += countLayers(versionRanges) * placed.layerMegabytes;
    }
    sum += countLayers(modelRanges) * placed.kvMegabytes;
    sum += options.adaptersOf(placed.model) * placed.adapterMegabytes;
  }
  return sum;
}
