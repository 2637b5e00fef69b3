/** Chooses pipelines for answers, and keeps count of what they use. */
import {
  findPipeline,
  type LayerRange,
  layersIn,
  roomTokens,
  type Stage,
  type StageCandidate,
} from "@rosemarypin/pipelines";
import type { BackendFleet } from "./backend_fleet.ts";
import type { BackendServer } from "./backend_server.ts";
import type { EngineShape, Service } from "./configuration.ts";
import type { EngineUse } from "./engine_use.ts";
import type { AddressedStage } from "./protocol.ts";

export interface PipelineRequest {
  readonly service: Service;
  /** Prompt and expected answer, in tokens. */
  readonly tokens: number;
  /** Engines that this answer is to keep away from. */
  readonly avoided: ReadonlySet<string>;
}

/** A pipeline that is counted as in use until it is released. */
export interface ChosenPipeline {
  readonly stages: readonly AddressedStage[];
  readonly first: BackendServer;
  release(): void;
}

export interface PipelineRouter {
  /** Chooses a pipeline, or gives `null` when a layer is held by nobody. */
  choose(request: PipelineRequest): ChosenPipeline | null;
  /**
   * Puts other engines in the place of one stage and counts them as in use;
   * `null` when nobody else holds its layers.
   */
  replaceStage(
    pipeline: ChosenPipeline,
    request: PipelineRequest & { readonly address: string },
  ): ChosenPipeline | null;
  /** Layers that no usable engine holds, as ranges, for the log. */
  missingLayers(request: Pick<PipelineRequest, "service" | "avoided">): string;
}

export interface PipelineRouterOptions {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
  readonly use: EngineUse;
  /** Other instances that may send answers from a failure domain, by name. */
  readonly othersIn: (failureDomain: string) => readonly string[];
}

/** Creates a router without answers in progress. */
export function createPipelineRouter({
  fleet,
  failureDomain,
  use,
  othersIn,
}: PipelineRouterOptions): PipelineRouter {
  function candidates(
    service: Service,
    engine: EngineShape,
    avoided: ReadonlySet<string>,
  ): StageCandidate[] {
    return fleet.ofService(service.name).flatMap((server) => {
      const kind = engine.kinds.get(server.kind ?? "");
      const { held } = server;
      if (!kind || !held || avoided.has(server.id)) return [];
      if (!fleet.isUsable(server)) return [];
      const { memoryMb, stepFactor, readFactor } = kind;
      const layers = layersIn(held);
      const room = roomTokens(engine.model, { memoryMb, layers }) * layers;
      const used = estimateUse(server, layers);
      return [
        {
          id: server.id,
          failureDomain: server.failureDomain,
          memoryMb,
          stepFactor,
          readFactor,
          held,
          // What others send is estimated; an engine that refused an answer
          // was asked, and knows better while its word is new.
          load: Math.max(
            used / Math.max(1, room),
            fleet.reportedLoad(server.id) ?? 0,
          ),
        },
      ];
    });
  }

  /**
   * Memory of an engine that answers of all instances take, in tokens times
   * layers. An instance that did not tell its use lately is taken to use as
   * much as this one: callers are spread over instances, and each prefers the
   * engines of its own domain. One of another domain has as many answers at
   * the engines there as this one has in all.
   */
  function estimateUse(server: BackendServer, layers: number): number {
    const own = use.own().get(server.id) ?? 0;
    const silent = othersIn(server.failureDomain).filter(
      (instance) => !use.isTold(instance),
    ).length;
    const isHome = server.failureDomain === failureDomain;
    const bySilent = silent * (isHome ? own : use.ownTokens() * layers);
    return own + use.byOthers(server.id) + bySilent;
  }

  function find(
    { service, avoided }: Pick<PipelineRequest, "service" | "avoided">,
    range?: LayerRange,
  ): AddressedStage[] | null {
    const { engine } = service;
    if (!engine) return null;
    const found = findPipeline(candidates(service, engine, avoided), {
      model: engine.model,
      failureDomain,
      ...(range ? { range } : {}),
    });
    return found ? addressed(found.stages) : null;
  }

  /** `null` when an engine went away meanwhile. */
  function addressed(stages: readonly Stage[]): AddressedStage[] | null {
    const known = stages.flatMap((stage) => {
      const server = fleet.get(stage.engineId);
      return server ? [{ ...stage, address: server.address }] : [];
    });
    return known.length === stages.length ? known : null;
  }

  function take(
    stages: readonly AddressedStage[],
    tokens: number,
  ): ChosenPipeline | null {
    const first = fleet.get(stages[0]?.engineId ?? "");
    if (!first) return null;
    return { stages, first, release: use.take(stages, tokens) };
  }

  return {
    choose(request) {
      const stages = find(request);
      return stages ? take(stages, request.tokens) : null;
    },
    replaceStage({ stages }, request) {
      const at = stages.findIndex(({ address }) => address === request.address);
      const lost = stages[at];
      // The first engine carries the stream; nothing can take its place.
      if (!lost || at === 0) return null;
      const inUse = stages.map(({ engineId }) => engineId);
      const avoided = new Set([...request.avoided, ...inUse]);
      const others = find({ service: request.service, avoided }, lost.range);
      if (!others) return null;
      const changed = [
        ...stages.slice(0, at),
        ...others,
        ...stages.slice(at + 1),
      ];
      return take(changed, request.tokens);
    },
    missingLayers({ service, avoided }) {
      const { engine } = service;
      if (!engine) return "";
      const ranges = candidates(service, engine, avoided).map(
        ({ held }) => held,
      );
      return describeGaps(ranges, engine.model.layerCount);
    },
  };
}

/** Ranges of layers that none of the others covers, such as `20-31,70-80`. */
function describeGaps(ranges: readonly LayerRange[], layers: number): string {
  const gaps: string[] = [];
  let from: number | null = null;
  for (let layer = 0; layer <= layers; layer += 1) {
    const isHeld =
      layer === layers ||
      ranges.some((range) => range.from <= layer && layer < range.to);
    if (!isHeld) from ??= layer;
    else if (from !== null) {
      gaps.push(`${from}-${layer}`);
      from = null;
    }
  }
  return gaps.join(",");
}
