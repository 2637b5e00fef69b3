/** Divides the layers of a model among engines without layers. */
import { kvCapacityTokens, maxLayersWithCapacity } from "./engine_capacity.ts";
import { idleLayerMs, STAGE_OVERHEAD_MS } from "./stage_time.ts";
import type { EngineInfo, ModelShape } from "./types.ts";

/** A division of the whole model among engines, in layer order. */
export interface LayerLayout<Engine extends EngineInfo = EngineInfo> {
  readonly parts: readonly LayoutPart<Engine>[];
  /** KV cache capacity that every engine has beside its layers, in tokens. */
  readonly tokens: number;
  /** Expected time per token through all parts, in milliseconds. */
  readonly tokenMs: number;
}

export interface LayoutPart<Engine extends EngineInfo> {
  readonly engine: Engine;
  readonly layers: number;
}

/**
 * Returns the layout that maximises power in the sense of queueing theory,
 * which is throughput divided by response time, or `null` if the model doesn't
 * fit. With more KV cache capacity, fewer layers fit on fast engines and every
 * token takes longer; with less, answers are preempted under load.
 */
export function chooseLayout<Engine extends EngineInfo>(
  engines: readonly Engine[],
  model: ModelShape,
  bounds: {
    readonly maxEngines: number;
    readonly minKvTokens: number;
    readonly maxKvTokens: number;
  },
): LayerLayout<Engine> | null {
  let bestLayout: LayerLayout<Engine> | null = null;
  for (const tokens of capacityChoices(engines, model)) {
    if (tokens < bounds.minKvTokens) continue;
    const layout = fastestLayout(engines, model, {
      tokens: Math.min(tokens, bounds.maxKvTokens),
      maxEngines: bounds.maxEngines,
    });
    if (
      layout &&
      (!bestLayout || powerMetric(layout) > powerMetric(bestLayout))
    )
      bestLayout = layout;
    if (tokens >= bounds.maxKvTokens) break;
  }
  return bestLayout;
}

/** Returns a value proportional to throughput divided by response time. */
function powerMetric({ tokens, tokenMs }: LayerLayout): number {
  return tokens / tokenMs ** 2;
}

/**
 * Lists, in ascending order, the KV cache capacities of every engine size with
 * every number of layers. Capacities between two of these values allow no other
 * layouts and only leave memory unused.
 */
function capacityChoices(
  engines: readonly EngineInfo[],
  model: ModelShape,
): number[] {
  const sizes = new Set(engines.map(({ memoryMb }) => memoryMb));
  const choices = new Set<number>();
  for (const memoryMb of sizes) {
    for (let layers = 1; layers <= model.layerCount; layers += 1) {
      const tokens = kvCapacityTokens(model, { memoryMb, layers });
      if (tokens > 0) choices.add(tokens);
    }
  }
  return [...choices].sort((a, b) => a - b);
}

/**
 * Returns the layout with the shortest time per token when every engine has KV
 * cache capacity for `tokens`, or `null` if the model doesn't fit. Engines are
 * filled in ascending order of time per layer; the last gets the remainder.
 */
function fastestLayout<Engine extends EngineInfo>(
  engines: readonly Engine[],
  model: ModelShape,
  {
    tokens,
    maxEngines,
  }: { readonly tokens: number; readonly maxEngines: number },
): LayerLayout<Engine> | null {
  const ranked = engines
    .map((engine) => {
      const layers = maxLayersWithCapacity(model, { ...engine, tokens });
      const ms =
        idleLayerMs(model, engine) + STAGE_OVERHEAD_MS / Math.max(1, layers);
      return { engine, layers, ms };
    })
    .filter(({ layers }) => layers > 0)
    .sort((a, b) => a.ms - b.ms || (a.engine.id < b.engine.id ? -1 : 1))
    .slice(0, maxEngines);
  let missing = model.layerCount;
  let tokenMs = 0;
  const parts: LayoutPart<Engine>[] = [];
  for (const { engine, layers: maxLayers } of ranked) {
    if (missing === 0) break;
    const layers = Math.min(maxLayers, missing);
    missing -= layers;
    tokenMs += STAGE_OVERHEAD_MS + layers * idleLayerMs(model, engine);
    parts.push({ engine, layers });
  }
  return missing > 0 ? null : { parts, tokens, tokenMs };
}
