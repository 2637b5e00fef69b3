/** Chooses engines that cover a version's layers once, in order. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { LayerRange, ModelVersion, Stage } from "@rosemarypin/schemas";

/** Extra cost of an engine in another failure domain, whose links are long. */
const FAR_COST = 0.05;
/** Range of the random part of a cost; it only decides between equals. */
const TIE_COST = 0.01;

export interface PipelineNeed {
  readonly model: string;
  readonly version: ModelVersion;
  readonly adapter: string | undefined;
  /** The instance's own failure domain. */
  readonly failureDomain: string;
  /** Engines that just failed this answer. */
  readonly avoid: ReadonlySet<string>;
  /** Engines that still have the answer's KV cache; they go first. */
  readonly prefer?: ReadonlySet<string>;
  /** Answers that may run at once on an engine, by its id. */
  readonly windowOf: (engine: string) => number;
  /** A number from 0 to 1, seeded; see `TIE_COST`. */
  readonly random: () => number;
}

/** Why no pipeline was chosen. */
export type PipelineChoice =
  | { readonly kind: "chosen"; readonly stages: readonly Stage[] }
  /** Engines hold the layers, but all have as much as they may run. */
  | { readonly kind: "busy" }
  /** Some layers are held by no usable engine. */
  | { readonly kind: "uncovered"; readonly layer: number };

/** An engine as one possible stage. */
interface Candidate {
  readonly engine: KnownEngine;
  readonly layers: LayerRange;
  readonly cost: number;
  readonly isFree: boolean;
}

/**
 * Finds the cheapest chain. Ranges of different engines need not line up, so
 * the chain is a shortest path over layers: a greedy walk could end at a
 * layer from which no engine goes on, although another chain exists.
 */
export function choosePipeline(
  engines: readonly KnownEngine[],
  need: PipelineNeed,
): PipelineChoice {
  const candidates = engines
    .filter((engine) => engine.usable && !need.avoid.has(engine.settings.id))
    .flatMap((engine) => toCandidates(engine, need));
  const layers = need.version.layers;
  const free = candidates.filter(({ isFree }) => isFree);
  const chain = cheapestChain(free, layers);
  if (chain.kind === "found") {
    return { kind: "chosen", stages: chain.candidates.map(toStage) };
  }
  const any = cheapestChain(candidates, layers);
  if (any.kind === "found") return { kind: "busy" };
  return { kind: "uncovered", layer: any.reachedLayer };
}

function toCandidates(engine: KnownEngine, need: PipelineNeed): Candidate[] {
  const { state, settings, inFlight } = engine;
  if (!state || !holdsAdapter(state.adapters, need)) return [];
  const window = Math.max(1, need.windowOf(settings.id));
  const far = settings.failureDomain === need.failureDomain ? 0 : FAR_COST;
  const load = (inFlight + 1) / window;
  const hasCache = need.prefer?.has(settings.id) ?? false;
  const cost = hasCache ? 0 : load + far + need.random() * TIE_COST;
  const isFree = inFlight < window;
  return state.held
    .filter(
      ({ model, version }) =>
        model === need.model && version === need.version.version,
    )
    .map(({ layers }) => ({ engine, layers, cost, isFree }));
}

function holdsAdapter(
  adapters: readonly { readonly model: string; readonly adapter: string }[],
  need: PipelineNeed,
): boolean {
  if (need.adapter === undefined) return true;
  return adapters.some(
    ({ model, adapter }) => model === need.model && adapter === need.adapter,
  );
}

type Chain =
  | { readonly kind: "found"; readonly candidates: readonly Candidate[] }
  | { readonly kind: "none"; readonly reachedLayer: number };

/** Cheapest way to reach each layer from layer 0, in ascending order. */
function cheapestChain(
  candidates: readonly Candidate[],
  layers: number,
): Chain {
  const reached = new Map<number, { cost: number; last: Candidate | null }>([
    [0, { cost: 0, last: null }],
  ]);
  const ordered = [...candidates].sort((a, b) => a.layers.from - b.layers.from);
  for (const candidate of ordered) {
    const start = reached.get(candidate.layers.from);
    if (!start) continue;
    const cost = start.cost + candidate.cost;
    const known = reached.get(candidate.layers.to);
    if (known && known.cost <= cost) continue;
    reached.set(candidate.layers.to, { cost, last: candidate });
  }
  if (!reached.has(layers)) {
    return { kind: "none", reachedLayer: Math.max(...reached.keys()) };
  }
  return { kind: "found", candidates: walkBack(reached, layers) };
}

function walkBack(
  reached: ReadonlyMap<number, { readonly last: Candidate | null }>,
  layers: number,
): Candidate[] {
  const chain: Candidate[] = [];
  let layer = layers;
  while (layer > 0) {
    const last = reached.get(layer)?.last;
    if (!last) break;
    chain.unshift(last);
    layer = last.layers.from;
  }
  return chain;
}

function toStage({ engine, layers }: Candidate): Stage {
  const { id, address } = engine.settings;
  return { engine: id, address, layers };
}
