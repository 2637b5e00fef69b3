/**
 * Which engines of neighbouring layer ranges go together. Answers that keep
 * to the same engines meet the same others in each of them, in the same order,
 * so that each of their tokens takes the same time. Answers that change from
 * one group of engines to another wait for a different queue in each: gaps
 * differ by up to a batch, and some are beyond the objective while the engines
 * could still take more.
 */
import type { KnownEngine } from "@rosemarypin/backends";
import type { LayerRange } from "@rosemarypin/schemas";

/** An engine's place among those that hold the same layers. */
export interface EnginePlace {
  readonly index: number;
  readonly count: number;
}

/** An engine that holds layers of a version. */
export interface LayerHolder {
  readonly engine: KnownEngine;
  readonly layers: LayerRange;
}

/**
 * Gives each holder its place, by failure domain and name. All instances know
 * the same engines, so they find the same partners without a word, and those
 * in one failure domain mostly go together.
 */
export function withPlaces<T extends LayerHolder>(
  holders: readonly T[],
): (T & { readonly place: EnginePlace })[] {
  const groups = new Map<string, T[]>();
  for (const holder of [...holders].sort(compareHolders)) {
    const { from, to } = holder.layers;
    const group = groups.get(`${from}-${to}`);
    if (group) group.push(holder);
    else groups.set(`${from}-${to}`, [holder]);
  }
  return [...groups.values()].flatMap((group) =>
    group.map((holder, index) => {
      const place = { index, count: group.length };
      return { ...holder, place };
    }),
  );
}

function compareHolders(a: LayerHolder, b: LayerHolder): number {
  const one = a.engine.settings;
  const other = b.engine.settings;
  if (one.failureDomain !== other.failureDomain) {
    return one.failureDomain < other.failureDomain ? -1 : 1;
  }
  return one.id < other.id ? -1 : 1;
}

/**
 * Whether two places overlap when both groups are laid over the same length:
 * with equal counts each has one partner, otherwise a place has as many as its
 * share of the other group.
 */
export function arePartners(
  { place: a }: { readonly place: EnginePlace },
  { place: b }: { readonly place: EnginePlace },
): boolean {
  return (
    a.index * b.count < (b.index + 1) * a.count &&
    b.index * a.count < (a.index + 1) * b.count
  );
}
