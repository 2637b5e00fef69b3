/**
 * Pairs engines of adjacent layer ranges as partners. Answers that stay on the
 * same set of engines are batched with the same answers at every stage, so
 * their tokens are evenly spaced. Answers that cross between sets wait in a
 * different queue at each stage: their gaps vary by up to one batch, and some
 * exceed the objective although the engines still have capacity.
 */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type { LayerRange } from "@rosemarypin/schemas";

/** Position of an engine among those that hold the same layers. */
export interface GroupPosition {
  readonly index: number;
  readonly count: number;
}

/** An engine and the range of a version's layers that it holds. */
export interface LayerHolder {
  readonly engine: EngineSnapshot;
  readonly layers: LayerRange;
}

/**
 * Adds to each holder its position in its group, sorted by failure domain and
 * id. All instances with the same list of engines compute the same partners
 * without coordination, and partners mostly share a failure domain.
 */
export function assignGroupPositions<T extends LayerHolder>(
  holders: readonly T[],
): (T & { readonly position: GroupPosition })[] {
  const groups = new Map<string, T[]>();
  for (const holder of [...holders].sort(compareHolders)) {
    const { from, to } = holder.layers;
    const group = groups.get(`${from}-${to}`);
    if (group) group.push(holder);
    else groups.set(`${from}-${to}`, [holder]);
  }
  return [...groups.values()].flatMap((group) =>
    group.map((holder, index) => {
      const position = { index, count: group.length };
      return { ...holder, position };
    }),
  );
}

function compareHolders(a: LayerHolder, b: LayerHolder): number {
  const first = a.engine.settings;
  const second = b.engine.settings;
  if (first.failureDomain !== second.failureDomain) {
    return first.failureDomain < second.failureDomain ? -1 : 1;
  }
  return first.id < second.id ? -1 : 1;
}

/**
 * Whether two positions overlap when both groups are scaled to equal length.
 * With equal counts, each engine has one partner; otherwise it has as many as
 * its share of the other group, and at least one.
 */
export function arePartners(
  { position: a }: { readonly position: GroupPosition },
  { position: b }: { readonly position: GroupPosition },
): boolean {
  return (
    a.index * b.count < (b.index + 1) * a.count &&
    b.index * a.count < (a.index + 1) * b.count
  );
}
