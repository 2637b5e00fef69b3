/** Chooses engines that cover a version's layers once, in order. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { ModelVersion, Stage } from "@rosemarypin/schemas";
import { type Candidate, cheapestChain } from "./engine_chain.ts";
import {
  type EnginePlace,
  type LayerHolder,
  withPlaces,
} from "./engine_partners.ts";

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

/** Finds engines for all layers; full ones are left out. */
export function choosePipeline(
  engines: readonly KnownEngine[],
  need: PipelineNeed,
): PipelineChoice {
  const holders = engines.flatMap((engine) => holdersOf(engine, need));
  const candidates = withPlaces(holders)
    .filter(({ engine }) => !need.avoid.has(engine.settings.id))
    .map((holder) => toCandidate(holder, need));
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

function holdersOf(engine: KnownEngine, need: PipelineNeed): LayerHolder[] {
  const { state, usable } = engine;
  if (!usable || !state || !holdsAdapter(state.adapters, need)) return [];
  return state.held
    .filter(
      ({ model, version }) =>
        model === need.model && version === need.version.version,
    )
    .map(({ layers }) => ({ engine, layers }));
}

function toCandidate(
  holder: LayerHolder & { readonly place: EnginePlace },
  need: PipelineNeed,
): Candidate {
  const { settings, inFlight } = holder.engine;
  const window = Math.max(1, need.windowOf(settings.id));
  const far = settings.failureDomain === need.failureDomain ? 0 : FAR_COST;
  const load = (inFlight + 1) / window;
  const hasCache = need.prefer?.has(settings.id) ?? false;
  const cost = hasCache ? 0 : load + far + need.random() * TIE_COST;
  return { ...holder, cost, isFree: inFlight < window };
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

function toStage({ engine, layers }: Candidate): Stage {
  const { id, address } = engine.settings;
  return { engine: id, address, layers };
}
