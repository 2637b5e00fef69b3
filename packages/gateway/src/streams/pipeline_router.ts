/** Chooses pipelines for answers and reserves their share of the engines. */
import {
  findPipeline,
  kvCapacityTokens,
  type LayerRange,
  layersIn,
  prefillMs,
  type Stage,
  type StageCandidate,
} from "@rosemarypin/pipelines";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet, ServerCounts } from "../backends/mod.ts";
import type { EngineShape, Service } from "../configuration.ts";
import type { AddressedStage } from "../protocol.ts";
import {
  type EngineLoad,
  type EngineReservation,
  type EngineUsage,
  type LoadByEngine,
  NO_LOAD,
} from "./engine_usage.ts";

/**
 * Upper bound on the used share of an engine's memory in a failure domain whose
 * instances report only their sum. That is known with a delay of seconds, in
 * which the domain itself and others may fill the engine. When all domains are
 * short of engines, more use of each other's would delay the answers of every
 * domain, instead of refusing some in one.
 */
const MAX_SUMMED_LOAD = 0.5;

/** Tokens for which an answer takes memory on each engine of its pipeline. */
export interface AnswerSize {
  readonly promptTokens: number;
  /** An estimate, since the length of the answer isn't known beforehand. */
  readonly answerTokens: number;
}

export interface PipelineRequest {
  readonly service: Service;
  readonly size: AnswerSize;
  /** Ids of engines that are excluded from this answer's pipeline. */
  readonly avoided: ReadonlySet<string>;
  /**
   * Upper bound on the used share of each engine's memory, this answer
   * included; unlimited if left out.
   */
  readonly maxLoad?: number;
}

/** A pipeline whose load is counted until it is released. */
export interface ChosenPipeline extends EngineReservation {
  readonly stages: readonly AddressedStage[];
  /** The engine that receives the request and streams the answer. */
  readonly first: BackendServer;
}

export interface PipelineRouter {
  /**
   * Reserves the cheapest pipeline, for one request that counts towards the
   * limit of its first engine; `null` when some layer isn't held by any usable
   * engine that is neither avoided nor loaded beyond `maxLoad`, or when no
   * engine with the first layer may receive a request.
   */
  choose(request: PipelineRequest): ChosenPipeline | null;
  /**
   * Whether `choose` would find a pipeline; reserves nothing. Without `maxLoad`,
   * the request limits of engines are ignored too.
   */
  hasPipeline(request: PipelineRequest): boolean;
  /**
   * Reserves a copy of the pipeline with other engines in place of one stage;
   * the caller releases the old one. `null` when the stage is the first one or
   * isn't in the pipeline, or when no other engines that `choose` would accept
   * hold its layers.
   */
  replaceStage(
    pipeline: ChosenPipeline,
    request: PipelineRequest & {
      /** HOST:PORT of the stage to replace. */
      readonly address: string;
      /** Restricts the choice to the failure domain of the replaced engine. */
      readonly sameDomain: boolean;
    },
  ): ChosenPipeline | null;
  /**
   * Ranges of layers that no usable engine holds, such as `20-31,70-80`; the
   * upper ends are exclusive.
   */
  missingLayers(request: Pick<PipelineRequest, "service" | "avoided">): string;
  /** Counts the engines of a service. */
  countEngines(service: Service): ServerCounts;
}

export interface PipelineRouterOptions {
  readonly fleet: BackendFleet;
  readonly failureDomain: string;
  readonly usage: EngineUsage;
  /** Names of other instances in a failure domain that may send requests. */
  readonly possibleSendersOf: (failureDomain: string) => readonly string[];
}

export function createPipelineRouter({
  fleet,
  failureDomain,
  usage,
  possibleSendersOf,
}: PipelineRouterOptions): PipelineRouter {
  function listCandidates(
    service: Service,
    engine: EngineShape,
    avoided: ReadonlySet<string>,
  ): StageCandidate[] {
    const usageOfDomain = createDomainUsageLookup();
    return fleet.ofService(service.name).flatMap((server) => {
      const kind = engine.kinds.get(server.kind ?? "");
      const { id, held, failureDomain } = server;
      if (!kind || !held || avoided.has(id)) return [];
      if (!fleet.isUsable(server)) return [];
      const { memoryMb } = kind;
      const slowdown = fleet.slowdownOf(id);
      const stepFactor = kind.stepFactor * slowdown;
      const prefillFactor = kind.prefillFactor * slowdown;
      const { model } = engine;
      const layers = layersIn(held);
      const capacityTokenLayers =
        kvCapacityTokens(model, { memoryMb, layers }) * layers;
      const load = estimateLoad(
        server,
        layers,
        usageOfDomain(server.failureDomain),
      );
      // The estimate can be too low, since it includes guesses for other
      // instances. A recent report of the engine itself, which the fleet
      // requests after a refusal, is used if it is higher.
      const reportedLoad = fleet.reportedLoad(id) ?? 0;
      return [
        {
          id,
          failureDomain,
          memoryMb,
          stepFactor,
          prefillFactor,
          held,
          load: Math.max(
            load.held / Math.max(1, capacityTokenLayers),
            reportedLoad,
          ),
          backlogMs: prefillMs(model, {
            prefillFactor,
            tokenLayers: load.unread,
          }),
        },
      ];
    });
  }

  /**
   * Estimates the load of all instances' answers on an engine. Callers are
   * spread over the instances, so one without a current report is assumed to
   * use the average of the other instances in its failure domain.
   */
  function estimateLoad(
    { id }: BackendServer,
    layers: number,
    domainUsage: DomainUsage,
  ): EngineLoad {
    const localLoad = usage.localLoads().get(id) ?? NO_LOAD;
    const peerLoad = usage.peerLoadOf(id);
    const domainLoad = usage.domainLoadOf(id);
    const held =
      localLoad.held +
      peerLoad.held +
      domainLoad.held +
      estimateUnreportedHeld(id, layers, domainUsage);
    const unread = localLoad.unread + peerLoad.unread + domainLoad.unread;
    return { held, unread };
  }

  function estimateUnreportedHeld(
    id: string,
    layers: number,
    { unreportedCount, sampledLoads }: DomainUsage,
  ): number {
    if (unreportedCount === 0) return 0;
    // Without any report from that domain, each of its instances is assumed to
    // have as many tokens on this engine as this instance has in total.
    if (sampledLoads.length === 0)
      return unreportedCount * usage.localTokens() * layers;
    const heldByReporting = sampledLoads.map(
      (loads) => loads.get(id)?.held ?? 0,
    );
    return unreportedCount * (sum(heldByReporting) / sampledLoads.length);
  }

  /** Caches the usage of each failure domain during one search. */
  function createDomainUsageLookup(): (domain: string) => DomainUsage {
    const usageByDomain = new Map<string, DomainUsage>();
    return (domain) => {
      const cached = usageByDomain.get(domain);
      if (cached) return cached;
      const instances = possibleSendersOf(domain);
      const reportedLoads = instances.flatMap(
        (instance) => usage.peerLoads(instance) ?? [],
      );
      const localLoads = domain === failureDomain ? [usage.localLoads()] : [];
      // The sum over a domain already covers all its instances.
      const hasSum = usage.hasDomainLoads(domain);
      const domainUsage = {
        unreportedCount: hasSum ? 0 : instances.length - reportedLoads.length,
        sampledLoads: [...reportedLoads, ...localLoads],
      };
      usageByDomain.set(domain, domainUsage);
      return domainUsage;
    };
  }

  function findStages(
    request: PipelineRequest,
    constraints: {
      readonly range?: LayerRange;
      readonly onlyDomain?: string | undefined;
      /** Whether engines may start a pipeline in spite of their limits. */
      readonly ignoresLimits?: boolean;
    } = {},
  ): AddressedStage[] | null {
    const { service, avoided, maxLoad } = request;
    const { engine } = service;
    if (!engine) return null;
    const {
      range,
      onlyDomain,
      ignoresLimits = range !== undefined,
    } = constraints;
    const usable = listCandidates(service, engine, avoided).filter(
      (candidate) =>
        (onlyDomain === undefined || candidate.failureDomain === onlyDomain) &&
        (maxLoad === undefined || hasRoomFor(candidate, request, engine)) &&
        (ignoresLimits || mayReceiveRequest(candidate)),
    );
    const found = findPipeline(usable, {
      model: engine.model,
      failureDomain,
      ...(range ? { range } : {}),
    });
    return found ? withAddresses(found.stages) : null;
  }

  function hasRoomFor(
    candidate: StageCandidate,
    { size, maxLoad = 1 }: PipelineRequest,
    { model }: EngineShape,
  ): boolean {
    const { memoryMb, held, load } = candidate;
    const isSummed = usage.hasDomainLoads(candidate.failureDomain);
    const limit = isSummed ? Math.min(maxLoad, MAX_SUMMED_LOAD) : maxLoad;
    const capacityTokens = kvCapacityTokens(model, {
      memoryMb,
      layers: layersIn(held),
    });
    return load + totalTokens(size) / Math.max(1, capacityTokens) <= limit;
  }

  /**
   * Whether the limit of an engine with the first layer allows a request. Later
   * stages receive none from instances.
   */
  function mayReceiveRequest({ id, held }: StageCandidate): boolean {
    if (held.from > 0) return true;
    const server = fleet.get(id);
    return server !== null && fleet.limits.allows(server);
  }

  /** Finds a pipeline whose first engine's limit has counted the request. */
  function findAndCount(request: PipelineRequest): AddressedStage[] | null {
    for (;;) {
      const stages = findStages(request);
      const first = fleet.get(stages?.[0]?.engineId ?? "");
      if (!stages || !first) return null;
      if (fleet.limits.take(first)) return stages;
    }
  }

  /** Adds the engines' addresses; `null` if one was removed meanwhile. */
  function withAddresses(stages: readonly Stage[]): AddressedStage[] | null {
    const addressedStages = stages.flatMap((stage) => {
      const server = fleet.get(stage.engineId);
      return server ? [{ ...stage, address: server.address }] : [];
    });
    return addressedStages.length === stages.length ? addressedStages : null;
  }

  function reserve(
    stages: readonly AddressedStage[],
    request: PipelineRequest,
    unreadStages: readonly AddressedStage[],
  ): ChosenPipeline | null {
    const first = fleet.get(stages[0]?.engineId ?? "");
    if (!first) return null;
    const { size } = request;
    const reservation = usage.reserve({
      stages,
      tokens: totalTokens(size),
      unreadTokens: size.promptTokens,
      unreadStages,
    });
    return { stages, first, ...reservation };
  }

  return {
    choose(request) {
      const stages = findAndCount(request);
      return stages ? reserve(stages, request, stages) : null;
    },
    hasPipeline: (request) =>
      findStages(request, { ignoresLimits: request.maxLoad === undefined }) !==
      null,
    replaceStage({ stages }, request) {
      const lostIndex = stages.findIndex(
        ({ address }) => address === request.address,
      );
      const lostStage = stages[lostIndex];
      // The first engine streams the answer and can't be replaced.
      if (!lostStage || lostIndex === 0) return null;
      const inUse = stages.map(({ engineId }) => engineId);
      const avoided = new Set([...request.avoided, ...inUse]);
      const onlyDomain = request.sameDomain
        ? fleet.get(lostStage.engineId)?.failureDomain
        : undefined;
      const replacements = findStages(
        { ...request, avoided },
        { range: lostStage.range, onlyDomain },
      );
      if (!replacements) return null;
      const newStages = [
        ...stages.slice(0, lostIndex),
        ...replacements,
        ...stages.slice(lostIndex + 1),
      ];
      return reserve(newStages, request, replacements);
    },
    missingLayers({ service, avoided }) {
      const { engine } = service;
      if (!engine) return "";
      const ranges = listCandidates(service, engine, avoided).map(
        ({ held }) => held,
      );
      return describeGaps(ranges, engine.model.layerCount);
    },
    countEngines: ({ name }) => fleet.countServers(name),
  };
}

/** Reports of the instances in one failure domain. */
interface DomainUsage {
  /** Number of other instances without a current report. */
  readonly unreportedCount: number;
  /** Current reports, and the local loads if this is the local domain. */
  readonly sampledLoads: readonly LoadByEngine[];
}

/** Tokens that an answer holds in memory once it is complete. */
function totalTokens({ promptTokens, answerTokens }: AnswerSize): number {
  return promptTokens + answerTokens;
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

/**
 * Layers that none of the ranges covers, such as `20-31,70-80`; the upper ends
 * are exclusive.
 */
function describeGaps(ranges: readonly LayerRange[], layers: number): string {
  const gaps: string[] = [];
  let from: number | null = null;
  for (let layer = 0; layer <= layers; layer += 1) {
    const isCovered =
      layer === layers ||
      ranges.some((range) => range.from <= layer && layer < range.to);
    if (!isCovered) from ??= layer;
    else if (from !== null) {
      gaps.push(`${from}-${layer}`);
      from = null;
    }
  }
  return gaps.join(",");
}
