/** Chooses how many layers each engine of a group holds, from nothing. */
import { layersWithRoom, roomTokens } from "./engine_capacity.ts";
import { layerMs, STAGE_MS } from "./stage_time.ts";
import type { EngineFacts, ModelShape } from "./types.ts";

/** Engines that hold the whole model once, in the order of its layers. */
export interface LayerLayout<Engine extends EngineFacts = EngineFacts> {
  readonly parts: readonly LayoutPart<Engine>[];
  /** Tokens for which each engine has room beside its layers. */
  readonly tokens: number;
  /** Expected milliseconds a token takes on its way through all parts. */
  readonly tokenMs: number;
}

export interface LayoutPart<Engine extends EngineFacts> {
  readonly engine: Engine;
  readonly layers: number;
}

/**
 * The layout with the most power, in the sense of queueing theory: the
 * answers a second that it has room for, over the time that one of them takes.
 * With more room, fewer layers fit on fast engines and every token takes
 * longer; with less, answers are preempted when many come at once.
 */
export function chooseLayout<Engine extends EngineFacts>(
  engines: readonly Engine[],
  model: ModelShape,
  bounds: {
    readonly mostEngines: number;
    readonly leastTokens: number;
    readonly mostTokens: number;
  },
): LayerLayout<Engine> | null {
  let best: LayerLayout<Engine> | null = null;
  for (const tokens of roomChoices(engines, model)) {
    if (tokens < bounds.leastTokens) continue;
    const layout = fastestLayout(engines, model, {
      tokens: Math.min(tokens, bounds.mostTokens),
      mostEngines: bounds.mostEngines,
    });
    if (layout && (!best || powerOf(layout) > powerOf(best))) best = layout;
    if (tokens >= bounds.mostTokens) break;
  }
  return best;
}

/** Proportional to the answers a second over the time of one. */
function powerOf({ tokens, tokenMs }: LayerLayout): number {
  return tokens / tokenMs ** 2;
}

/**
 * The most room with which some engine holds a number of layers. Between two
 * of them nothing changes but that room is left unused.
 */
function roomChoices(
  engines: readonly EngineFacts[],
  model: ModelShape,
): number[] {
  const sizes = new Set(engines.map(({ memoryMb }) => memoryMb));
  const choices = new Set<number>();
  for (const memoryMb of sizes) {
    for (let layers = 1; layers <= model.layerCount; layers += 1) {
      const tokens = roomTokens(model, { memoryMb, layers });
      if (tokens > 0) choices.add(tokens);
    }
  }
  return [...choices].sort((a, b) => a - b);
}

/**
 * The layout that takes least time with room for so many tokens on each
 * engine: those that take least for each of their layers come first, and the
 * slowest one gets what is left.
 */
function fastestLayout<Engine extends EngineFacts>(
  engines: readonly Engine[],
  model: ModelShape,
  {
    tokens,
    mostEngines,
  }: { readonly tokens: number; readonly mostEngines: number },
): LayerLayout<Engine> | null {
  const ranked = engines
    .map((engine) => {
      const layers = layersWithRoom(model, { ...engine, tokens });
      const ms = layerMs(model, engine) + STAGE_MS / Math.max(1, layers);
      return { engine, layers, ms };
    })
    .filter(({ layers }) => layers > 0)
    .sort((a, b) => a.ms - b.ms || (a.engine.id < b.engine.id ? -1 : 1))
    .slice(0, mostEngines);
  let missing = model.layerCount;
  let tokenMs = 0;
  const parts: LayoutPart<Engine>[] = [];
  for (const { engine, layers: most } of ranked) {
    if (missing === 0) break;
    const layers = Math.min(most, missing);
    missing -= layers;
    tokenMs += STAGE_MS + layers * layerMs(model, engine);
    parts.push({ engine, layers });
  }
  return missing > 0 ? null : { parts, tokens, tokenMs };
}
