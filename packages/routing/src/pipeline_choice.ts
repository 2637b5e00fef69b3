/** Chooses a chain of engines that covers each layer of a version once. */
import type { EngineSnapshot } from "@rosemarypin/backends";
import type { ModelVersion, Stage } from "@rosemarypin/schemas";
import { type Candidate, cheapestChain } from "./engine_chain.ts";
import {
  assignGroupPositions,
  type GroupPosition,
  type LayerHolder,
} from "./engine_partners.ts";

/** Extra cost of an engine in another failure domain, for its latency. */
const REMOTE_DOMAIN_COST = 0.05;
/** Range of the random part of a cost, which only breaks ties. */
const TIE_BREAK_RANGE = 0.01;

export interface PipelineRequirements {
  readonly model: string;
  readonly version: ModelVersion;
  readonly adapter: string | undefined;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  /** Engines to exclude because they failed this answer. */
  readonly avoid: ReadonlySet<string>;
  /** Engines that still have the answer's KV cache; they cost nothing. */
  readonly prefer?: ReadonlySet<string>;
  /** Returns how many answers may run concurrently on an engine, by id. */
  readonly windowOf: (engine: string) => number;
  /** Returns a seeded random number from 0 to 1; see `TIE_BREAK_RANGE`. */
  readonly random: () => number;
}

/** A chosen pipeline, or the reason why there is none. */
export type PipelineChoice =
  | { readonly kind: "chosen"; readonly stages: readonly Stage[] }
  /** Usable engines cover the layers, but too many have a full window. */
  | { readonly kind: "busy" }
  /** No chain of usable engines goes beyond `layer`. */
  | { readonly kind: "uncovered"; readonly layer: number };

/**
 * Finds the cheapest chain of engines for all layers, without the engines
 * whose window is full.
 */
export function choosePipeline(
  engines: readonly EngineSnapshot[],
  requirements: PipelineRequirements,
): PipelineChoice {
  const holders = engines.flatMap((engine) =>
    findLayerHolders(engine, requirements),
  );
  const candidates = assignGroupPositions(holders)
    .filter(({ engine }) => !requirements.avoid.has(engine.settings.id))
    .map((holder) => toCandidate(holder, requirements));
  const layers = requirements.version.layers;
  const free = candidates.filter(({ isFree }) => isFree);
  const freeChain = cheapestChain(free, layers);
  if (freeChain.kind === "found") {
    return { kind: "chosen", stages: freeChain.candidates.map(toStage) };
  }
  const chainWithBusy = cheapestChain(candidates, layers);
  if (chainWithBusy.kind === "found") return { kind: "busy" };
  return { kind: "uncovered", layer: chainWithBusy.reachedLayer };
}

function findLayerHolders(
  engine: EngineSnapshot,
  requirements: PipelineRequirements,
): LayerHolder[] {
  const { state, usable } = engine;
  if (!usable || !state || !holdsAdapter(state.adapters, requirements))
    return [];
  return state.held
    .filter(
      ({ model, version }) =>
        model === requirements.model &&
        version === requirements.version.version,
    )
    .map(({ layers }) => ({ engine, layers }));
}

function toCandidate(
  holder: LayerHolder & { readonly position: GroupPosition },
  requirements: PipelineRequirements,
): Candidate {
  const { settings, inFlight } = holder.engine;
  const window = Math.max(1, requirements.windowOf(settings.id));
  const domainCost =
    settings.failureDomain === requirements.failureDomain
      ? 0
      : REMOTE_DOMAIN_COST;
  const load = (inFlight + 1) / window;
  const hasCache = requirements.prefer?.has(settings.id) ?? false;
  const cost = hasCache
    ? 0
    : load + domainCost + requirements.random() * TIE_BREAK_RANGE;
  return { ...holder, cost, isFree: inFlight < window };
}

function holdsAdapter(
  adapters: readonly { readonly model: string; readonly adapter: string }[],
  requirements: PipelineRequirements,
): boolean {
  if (requirements.adapter === undefined) return true;
  return adapters.some(
    ({ model, adapter }) =>
      model === requirements.model && adapter === requirements.adapter,
  );
}

function toStage({ engine, layers }: Candidate): Stage {
  const { id, address } = engine.settings;
  return { engine: id, address, layers };
}
