/** Finds the cheapest chain of engines through a version's layers. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type { LayerRange } from "@rosemarypin/schemas";
import { arePartners, type GroupPosition } from "./engine_partners.ts";

/**
 * Extra cost of two adjacent stages that are not partners. It outweighs small
 * differences in load, but not the higher cost of a much fuller engine.
 */
const NON_PARTNER_COST = 0.3;

/** An engine as a possible stage of a chain. */
export interface Candidate {
  readonly engine: EngineSnapshot;
  readonly layers: LayerRange;
  readonly position: GroupPosition;
  readonly cost: number;
  readonly isFree: boolean;
}

export type Chain =
  | { readonly kind: "found"; readonly candidates: readonly Candidate[] }
  | { readonly kind: "none"; readonly reachedLayer: number };

/** The cheapest chain from layer 0 that ends with `last`. */
interface PartialChain {
  readonly last: Candidate;
  readonly previous: PartialChain | null;
  readonly cost: number;
}

/**
 * Finds the cheapest chain as a shortest path over engines. Layer ranges of
 * different engines need not line up, so a greedy search could end at a layer
 * where no other engine starts, although another chain exists.
 */
export function cheapestChain(
  candidates: readonly Candidate[],
  layers: number,
): Chain {
  const chainsByEnd = new Map<number, PartialChain[]>();
  const ordered = [...candidates].sort((a, b) => a.layers.from - b.layers.from);
  for (const candidate of ordered) {
    const chain = extend(candidate, chainsByEnd);
    if (!chain) continue;
    const { to } = candidate.layers;
    const sameEnd = chainsByEnd.get(to);
    if (sameEnd) sameEnd.push(chain);
    else chainsByEnd.set(to, [chain]);
  }
  const best = cheapest(chainsByEnd.get(layers) ?? []);
  if (best) return { kind: "found", candidates: candidatesOf(best) };
  return { kind: "none", reachedLayer: Math.max(0, ...chainsByEnd.keys()) };
}

function extend(
  last: Candidate,
  chainsByEnd: ReadonlyMap<number, readonly PartialChain[]>,
): PartialChain | null {
  const { from } = last.layers;
  if (from === 0) return { last, previous: null, cost: last.cost };
  const extended = (chainsByEnd.get(from) ?? []).map((previous) => {
    const crossingCost = arePartners(previous.last, last)
      ? 0
      : NON_PARTNER_COST;
    return { last, previous, cost: previous.cost + last.cost + crossingCost };
  });
  return cheapest(extended);
}

function cheapest(chains: readonly PartialChain[]): PartialChain | null {
  return chains.reduce<PartialChain | null>(
    (best, next) => (best && best.cost <= next.cost ? best : next),
    null,
  );
}

function candidatesOf(end: PartialChain): Candidate[] {
  const chain: Candidate[] = [];
  for (let link: PartialChain | null = end; link; link = link.previous) {
    chain.unshift(link.last);
  }
  return chain;
}
