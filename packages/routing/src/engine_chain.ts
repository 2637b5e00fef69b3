/** The cheapest way through a version's layers. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { LayerRange } from "@rosemarypin/schemas";
import { arePartners, type EnginePlace } from "./engine_partners.ts";

/**
 * Extra cost of going on to an engine that is no partner. It outweighs small
 * differences of load, and not an engine that is much fuller than the others.
 */
const CROSSING_COST = 0.3;

/** An engine as one possible stage. */
export interface Candidate {
  readonly engine: KnownEngine;
  readonly layers: LayerRange;
  readonly place: EnginePlace;
  readonly cost: number;
  readonly isFree: boolean;
}

export type Chain =
  | { readonly kind: "found"; readonly candidates: readonly Candidate[] }
  | { readonly kind: "none"; readonly reachedLayer: number };

/** The cheapest chain that ends with a candidate. */
interface ChainEnd {
  readonly last: Candidate;
  readonly before: ChainEnd | null;
  readonly cost: number;
}

/**
 * Finds the cheapest chain. Ranges of different engines need not line up, so
 * the chain is a shortest path over engines: a greedy walk could end at a
 * layer from which no engine goes on, although another chain exists.
 */
export function cheapestChain(
  candidates: readonly Candidate[],
  layers: number,
): Chain {
  const endsAt = new Map<number, ChainEnd[]>();
  const ordered = [...candidates].sort((a, b) => a.layers.from - b.layers.from);
  for (const candidate of ordered) {
    const end = extend(candidate, endsAt);
    if (!end) continue;
    const { to } = candidate.layers;
    const others = endsAt.get(to);
    if (others) others.push(end);
    else endsAt.set(to, [end]);
  }
  const best = cheapest(endsAt.get(layers) ?? []);
  if (best) return { kind: "found", candidates: walkBack(best) };
  return { kind: "none", reachedLayer: Math.max(0, ...endsAt.keys()) };
}

function extend(
  last: Candidate,
  endsAt: ReadonlyMap<number, readonly ChainEnd[]>,
): ChainEnd | null {
  const { from } = last.layers;
  if (from === 0) return { last, before: null, cost: last.cost };
  const ways = (endsAt.get(from) ?? []).map((before) => {
    const crossing = arePartners(before.last, last) ? 0 : CROSSING_COST;
    return { last, before, cost: before.cost + last.cost + crossing };
  });
  return cheapest(ways);
}

function cheapest(ends: readonly ChainEnd[]): ChainEnd | null {
  return ends.reduce<ChainEnd | null>(
    (best, next) => (best && best.cost <= next.cost ? best : next),
    null,
  );
}

function walkBack(end: ChainEnd): Candidate[] {
  const chain: Candidate[] = [];
  for (let at: ChainEnd | null = end; at; at = at.before) {
    chain.unshift(at.last);
  }
  return chain;
}
