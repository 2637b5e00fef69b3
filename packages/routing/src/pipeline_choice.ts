/** Chooses engines that cover a version's layers once, in order. */
import type { KnownEngine } from "@rosemarypin/backends";
import type { LayerRange, ModelVersion, Stage } from "@rosemarypin/schemas";

export interface PipelineNeed {
  readonly model: string;
  readonly version: ModelVersion;
  readonly adapter: string | undefined;
  /** The instance's own failure domain; its links are short. */
  readonly failureDomain: string;
  /** Engines that just failed this answer. */
  readonly avoid: ReadonlySet<string>;
  /** Engines that still have the answer's KV cache; they go first. */
  readonly prefer?: ReadonlySet<string>;
  /** Answers that one engine may run at once for this instance. */
  readonly answersPerEngine: number;
}

interface Candidate {
  readonly engine: KnownEngine;
  readonly layers: LayerRange;
}

/** Why no pipeline was chosen. */
export type PipelineChoice =
  | { readonly kind: "chosen"; readonly stages: readonly Stage[] }
  /** Engines hold the layers, but all have as much as they may run. */
  | { readonly kind: "busy" }
  /** Some layers are held by no usable engine. */
  | { readonly kind: "uncovered"; readonly layer: number };

/** Builds the chain stage by stage from the least busy engines. */
export function choosePipeline(
  engines: readonly KnownEngine[],
  need: PipelineNeed,
): PipelineChoice {
  const candidates = engines
    .filter((engine) => engine.usable && !need.avoid.has(engine.settings.id))
    .flatMap((engine) => heldRange(engine, need));
  const stages: Stage[] = [];
  let layer = 0;
  while (layer < need.version.layers) {
    const next = candidates.filter(({ layers }) => layers.from === layer);
    if (next.length === 0) return { kind: "uncovered", layer };
    const free = next.filter(
      ({ engine }) => engine.inFlight < need.answersPerEngine,
    );
    const keeping = free.filter(({ engine }) =>
      need.prefer?.has(engine.settings.id),
    );
    const best = keeping[0] ?? leastBusy(free, need.failureDomain);
    if (!best) return { kind: "busy" };
    stages.push(toStage(best));
    layer = best.layers.to;
  }
  return { kind: "chosen", stages };
}

function heldRange(engine: KnownEngine, need: PipelineNeed): Candidate[] {
  const { state } = engine;
  if (!state || !holdsAdapter(state.adapters, need)) return [];
  return state.held
    .filter(
      ({ model, version }) =>
        model === need.model && version === need.version.version,
    )
    .map(({ layers }) => ({ engine, layers }));
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

/** In-flight first, then reported load, then nearness. */
function leastBusy(
  candidates: readonly Candidate[],
  failureDomain: string,
): Candidate | undefined {
  const cost = ({ engine }: Candidate): number => {
    const far = engine.settings.failureDomain === failureDomain ? 0 : 0.5;
    return engine.inFlight + (engine.state?.load ?? 0) * 0.25 + far;
  };
  return [...candidates].sort((a, b) => cost(a) - cost(b))[0];
}

function toStage({ engine, layers }: Candidate): Stage {
  const { id, address } = engine.settings;
  return { engine: id, address, layers };
}
