/** The memory that layers and adapters take on an engine. */
import type { HeldLayers, PlacementSettings } from "@rosemarypin/schemas";
import { countLayers, isSameVersion } from "./held_layers.ts";

/** Megabytes for weights, and for KV caches and adapters with them. */
export function memoryOf(
  held: readonly HeldLayers[],
  options: {
    readonly settings: PlacementSettings;
    /** Adapters of a model that the note allows. */
    readonly adaptersOf: (model: string) => number;
  },
): number {
  let sum = 0;
  for (const placed of options.settings.models) {
    const own = held.filter(({ model }) => model === placed.model);
    if (own.length === 0) continue;
    const versions = own.filter(
      (one, index) =>
        own.findIndex((other) => isSameVersion(one, other)) === index,
    );
    for (const version of versions) {
      const ranges = own.filter((one) => isSameVersion(one, version));
      sum += countLayers(ranges) * placed.layerMegabytes;
    }
    sum += countLayers(own) * placed.kvMegabytes;
    sum += options.adaptersOf(placed.model) * placed.adapterMegabytes;
  }
  return sum;
}
