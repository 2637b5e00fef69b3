/** Chooses pipelines for answers and reserves their share of the engines. */
import {
  BACKLOG_COST_SHARE,
  type LayerRange,
  type Stage,
} from "@rosemarypin/pipelines";
import type { BackendServer } from "../backend_server.ts";
import type { BackendFleet, ServerCounts } from "../backends/mod.ts";
import type { EngineShape, Service } from "../configuration.ts";
import type { AddressedStage } from "../protocol.ts";
import { DEFAULT_DOMAIN_LIMIT } from "./domain_flow.ts";
import { createDomainLinks, type DomainPair } from "./domain_links.ts";
import {
  createEngineTable,
  type EngineRow,
  type EngineTable,
} from "./engine_table.ts";
import type { EngineReservation, EngineUsage } from "./engine_usage.ts";
import { createUnreportedUsage } from "./unreported_usage.ts";

/** Time of an end without events that neither widens nor cuts a share. */
const EARLY_END_MS = 400;

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
  /** What was believed of its engines when it was chosen. */
  readonly believed: PipelineLoad;
}

/** The highest values over the engines of a pipeline. */
export interface PipelineLoad {
  /** Used share of an engine's memory. */
  readonly load: number;
  /** Time that an engine needs to read the prompts before this one. */
  readonly backlogMs: number;
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
  /**
   * Load limit of the engines in a failure domain whose instances report only
   * their sum; `null` for the default. Engines serve one service each.
   */
  readonly domainLoadLimit?: (
    failureDomain: string,
    service: Service,
  ) => number | null;
}

export function createPipelineRouter({
  fleet,
  failureDomain,
  usage,
  possibleSendersOf,
  domainLoadLimit,
}: PipelineRouterOptions): PipelineRouter {
  const unreported = createUnreportedUsage({
    failureDomain,
    usage,
    possibleSendersOf,
  });
  const tables = new Map<string, ServiceTable>();
  const links = createDomainLinks(() => {
    const domains = [...tables.values()].flatMap(({ table }) => table.domains);
    let count = 1;
    for (const domain of new Set(domains))
      count += possibleSendersOf(domain).length;
    return count;
  });
  fleet.onChanged((id) => {
    const server = fleet.get(id);
    if (!server) usage.forget(id);
    for (const [service, { table }] of tables) {
      if (server && table.matches(server)) table.watch(id);
      else if (server?.service === service || table.rowOf(id))
        tables.delete(service);
    }
  });
  fleet.onCondition((id) => {
    for (const { table } of tables.values()) table.watch(id);
  });

  /** Prices the links; without `maxLoad`, busy ones are used as well. */
  function updateLinks(
    { search, domains }: EngineTable,
    { service, maxLoad }: PipelineRequest,
  ): boolean {
    if (service.engine?.model.linkTokenMs === undefined) return true;
    let areUsable = true;
    for (const [index, domain] of domains.entries()) {
      for (const other of domains.slice(index + 1)) {
        const pair = [domain, other] as const;
        const isUsable = maxLoad === undefined || links.isFree(pair);
        const costMs = links.backlogMs(pair) * BACKLOG_COST_SHARE;
        search.setLinkMs(domain, other, isUsable ? costMs : Infinity);
        areUsable &&= isUsable;
      }
    }
    return areUsable;
  }

  /** Links that the activations of a prompt pass to or from unread stages. */
  function linksBetween(
    stages: readonly AddressedStage[],
    unreadStages: readonly AddressedStage[],
  ): DomainPair[] {
    const unread = new Set(unreadStages);
    return stages.flatMap((stage, index): DomainPair[] => {
      const last = stages[index - 1];
      if (!last || !(unread.has(stage) || unread.has(last))) return [];
      const domain = fleet.get(last.engineId)?.failureDomain;
      const other = fleet.get(stage.engineId)?.failureDomain;
      return domain && other && domain !== other ? [[domain, other]] : [];
    });
  }

  /** Counts a prompt on the links that it passes, until its first event. */
  function countOnLinks(
    reservation: EngineReservation,
    pairs: readonly DomainPair[],
    { service, size }: PipelineRequest,
  ): EngineReservation {
    const tokenMs = service.engine?.model.linkTokenMs;
    if (tokenMs === undefined || pairs.length === 0) return reservation;
    const sentAt = performance.now();
    let isRead = false;
    for (const pair of pairs) links.send(pair, size.promptTokens * tokenMs);

    function observe(ms: number): void {
      if (isRead) return;
      isRead = true;
      for (const pair of pairs) links.observeFirstEvent(pair, ms);
    }

    return {
      ...reservation,
      markPromptRead() {
        observe(performance.now() - sentAt);
        reservation.markPromptRead();
      },
      release() {
        // An early end, such as that of a refused run, says nothing.
        const ms = performance.now() - sentAt;
        observe(Math.max(ms, EARLY_END_MS));
        reservation.release();
      },
    };
  }

  /** Returns the current table of a service's engines. */
  function tableOf({ name }: Service, engine: EngineShape): EngineTable {
    let entry = tables.get(name);
    if (entry?.engine !== engine) {
      const options = { fleet, failureDomain, usage, unreported };
      entry = { engine, table: createEngineTable(name, engine, options) };
      tables.set(name, entry);
    }
    entry.table.refresh();
    return entry.table;
  }

  /** Marks the engines that may serve the request, for the next search. */
  function markUsable(
    table: EngineTable,
    request: PipelineRequest,
    constraints: SearchConstraints,
  ): void {
    const {
      range,
      onlyDomain,
      ignoresLimits = range !== undefined,
    } = constraints;
    const { service, size, avoided, maxLoad } = request;
    const { rows, isInUse, search } = table;
    const { isUsable, loads } = search;
    isUsable.set(isInUse);
    for (const id of avoided) {
      const row = table.rowOf(id);
      if (row) isUsable[row.index] = 0;
    }
    const tokens = totalTokens(size);
    let limitedDomain: string | null = null;
    let limit = Number.POSITIVE_INFINITY;
    for (let index = 0; index < rows.length; index += 1) {
      if (isUsable[index] === 0) continue;
      const row = rows[index] as EngineRow;
      const { server } = row;
      const domain = server.failureDomain;
      if (maxLoad !== undefined) {
        if (domain !== limitedDomain) {
          limitedDomain = domain;
          limit = loadLimitIn(domain, service, maxLoad);
        }
        const added = tokens / Math.max(1, row.capacityTokens);
        if ((loads[index] as number) + added > limit) {
          isUsable[index] = 0;
          continue;
        }
      }
      const mayServe =
        (onlyDomain === undefined || domain === onlyDomain) &&
        (ignoresLimits || mayReceiveRequest(server));
      if (!mayServe) isUsable[index] = 0;
    }
  }

  function loadLimitIn(
    domain: string,
    service: Service,
    maxLoad: number,
  ): number {
    if (!unreported.isSummed(domain)) return maxLoad;
    const limit = domainLoadLimit?.(domain, service) ?? DEFAULT_DOMAIN_LIMIT;
    return Math.min(maxLoad, limit);
  }

  /**
   * Whether the limit of an engine with the first layer allows a request. Later
   * stages receive none from instances.
   */
  function mayReceiveRequest({ id, held }: BackendServer): boolean {
    if (held && held.from > 0) return true;
    const server = fleet.get(id);
    return server !== null && fleet.limits.allows(server);
  }

  function findStages(
    request: PipelineRequest,
    constraints: SearchConstraints = {},
  ): AddressedStage[] | null {
    const { engine } = request.service;
    if (!engine) return null;
    const table = tableOf(request.service, engine);
    markUsable(table, request, constraints);
    updateLinks(table, request);
    const found = table.search.find(constraints.range);
    return found ? withAddresses(found.stages) : null;
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
    const { size, service } = request;
    const believed = loadOf(stages, service);
    const reservation = usage.reserve({
      stages,
      tokens: totalTokens(size),
      unreadTokens: size.promptTokens,
      unreadStages,
    });
    const pairs = linksBetween(stages, unreadStages);
    const counted = countOnLinks(reservation, pairs, request);
    return { stages, first, believed, ...counted };
  }

  function loadOf(
    stages: readonly AddressedStage[],
    { name }: Service,
  ): PipelineLoad {
    const table = tables.get(name)?.table;
    let load = 0;
    let backlogMs = 0;
    for (const { engineId } of stages) {
      const row = table?.rowOf(engineId);
      if (!table || !row) continue;
      load = Math.max(load, table.search.loads[row.index] as number);
      backlogMs = Math.max(
        backlogMs,
        table.search.backlogsMs[row.index] as number,
      );
    }
    return { load, backlogMs };
  }

  return {
    choose(request) {
      const stages = findAndCount(request);
      return stages ? reserve(stages, request, stages) : null;
    },
    hasPipeline(request) {
      const { engine } = request.service;
      if (!engine) return false;
      const table = tableOf(request.service, engine);
      const ignoresLimits = request.maxLoad === undefined;
      markUsable(table, request, { ignoresLimits });
      if (!table.search.covers()) return false;
      if (ignoresLimits) return true;
      return updateLinks(table, request) || table.search.find() !== null;
    },
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
      const { rows, isInUse } = tableOf(service, engine);
      const ranges = rows.flatMap(({ index, id, server }) =>
        server.held && isInUse[index] === 1 && !avoided.has(id)
          ? [server.held]
          : [],
      );
      return describeGaps(ranges, engine.model.layerCount);
    },
    countEngines: ({ name }) => fleet.countServers(name),
  };
}

interface ServiceTable {
  readonly engine: EngineShape;
  readonly table: EngineTable;
}

interface SearchConstraints {
  readonly range?: LayerRange;
  readonly onlyDomain?: string | undefined;
  /** Whether engines may start a pipeline in spite of their limits. */
  readonly ignoresLimits?: boolean;
}

/** Tokens that an answer holds in memory once it is complete. */
function totalTokens({ promptTokens, answerTokens }: AnswerSize): number {
  return promptTokens + answerTokens;
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
