/** Current state of all backend servers, from the list and from reports. */
import type { LayerRange } from "@rosemarypin/pipelines";
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer, EngineReport } from "../backend_server.ts";
import type { AnswerMetadata, EngineCalls } from "../protocol.ts";
import type { ConnectionCheck } from "./connection_check.ts";
import { createDomainSuspicion } from "./domain_suspicion.ts";
import {
  createFailureDetector,
  type FailureDetector,
} from "./failure_detector.ts";
import { createIncarnationMap } from "./incarnation_map.ts";
import {
  createOutlierEjection,
  type OutlierEjection,
} from "./outlier_ejection.ts";
import { createReachability, type Reachability } from "./reachability.ts";
import { createRequestLimits, type RequestLimits } from "./request_limits.ts";
import {
  createRequestedBackoffs,
  type RequestedBackoffs,
} from "./requested_backoffs.ts";
import { createSlowEngines } from "./slow_engines.ts";

/**
 * Maximum lag of a list entry behind the state of its server: entries are
 * written every 1.2 s and take up to 0.8 s to pass through the store.
 */
const ENTRY_LAG_MS = 2_000;

/**
 * Time for which a reported load is valid. It is shorter than an answer, so
 * that most of the reported answers are still in progress.
 */
const LOAD_REPORT_TTL_MS = 1_000;

/** Reachable engines answer a probe within a few milliseconds. */
const PROBE_TIMEOUT_MS = 300;

/** Status of a request that another server at the address received. */
export const MISDIRECTED_REQUEST = 421;
const UNAVAILABLE = 503;

const log = createLogger("backends");

export interface BackendFleet {
  readonly detector: FailureDetector;
  readonly outliers: OutlierEjection;
  readonly limits: RequestLimits;
  readonly backoffs: RequestedBackoffs;
  readonly reachability: Reachability;
  get(id: string): BackendServer | null;
  byAddress(address: string): BackendServer | null;
  /** Ids of all servers of all services. */
  ids(): Iterable<string>;
  /** All servers of a service, including leaving and suspected ones. */
  ofService(service: string): BackendServer[];
  /** Counts the servers of a service that aren't leaving. */
  countServers(service: string): ServerCounts;
  /** Whether new requests may go to the server. */
  isUsable(server: BackendServer): boolean;
  /** Adds or updates a server from its list entry. */
  put(server: BackendServer): void;
  remove(id: string): void;
  /**
   * Removes a server whose address now belongs to another server, until its
   * list entry is renewed. Suspicion is not enough: the other server answers
   * probes at that address, so the suspicion would end at once and requests
   * and orders would continue to reach the wrong server.
   */
  markReplaced(id: string): void;
  /**
   * Share of an engine's memory that answers use, from its latest report;
   * `null` if that is older than a second.
   */
  reportedLoad(id: string): number | null;
  /** Factor by which an engine is slower than its kind; 1 if it isn't slow. */
  slowdownOf(id: string): number;
  /** Applies an engine's report, which is newer than its list entry. */
  putReport(id: string, report: EngineReport): void;
  /**
   * Asks an engine for its report, and resolves to whether it comes from the
   * process that `server` describes.
   */
  checkProcess(server: BackendServer): Promise<ProcessCheck>;
  /**
   * Applies what a server says about itself in the headers of an answer, which
   * is newer than its list entry. `server` is as it was when the request was
   * sent: its entry may be missing or belong to its next start by now.
   */
  recordAnswer(
    server: BackendServer,
    status: number,
    answer: ServerAnswer,
  ): void;
  /**
   * Handles the refusal of a request by an engine: avoids it for a moment and
   * reads its report, unless it has asked for a longer backoff.
   */
  handleRefusal(id: string): void;
  /** Registers a callback for added, changed, suspected and removed servers. */
  onChanged(callback: (id: string) => void): void;
  /**
   * Registers a callback for servers that may no longer be usable or that have
   * reported their load or speed. All return to normal without a call: the
   * owner has to ask again as long as a server differs from that.
   */
  onCondition(callback: (id: string) => void): void;
}

/** What an engine's report says about one of its processes. */
export type ProcessCheck =
  | "same_process"
  | "other_process"
  /** The list entry or the report doesn't name a start. */
  | "start_unknown"
  | "no_report";

/** Servers of one service that aren't leaving. */
export interface ServerCounts {
  readonly listed: number;
  /** Those that get no requests from this instance after a failure. */
  readonly avoided: number;
}

/** The part of an answer that concerns the server and not the request. */
export type ServerAnswer = Pick<
  AnswerMetadata,
  | "isSigned"
  | "notRun"
  | "retryAfterSeconds"
  | "requestLimitPerSecond"
  | "isLeaving"
>;

export interface BackendFleetOptions {
  readonly engines: EngineCalls;
  readonly canConnect: ConnectionCheck;
  /** Failure domain of this instance. */
  readonly failureDomain: string;
  /**
   * Number of instances in a failure domain that may send requests, or in all
   * with `null`; this one is included.
   */
  readonly countInstances: (failureDomain: string | null) => number;
  readonly signal: AbortSignal;
}

/** Creates an empty fleet. */
export function createBackendFleet({
  engines,
  canConnect,
  failureDomain,
  countInstances,
  signal,
}: BackendFleetOptions): BackendFleet {
  const servers = new Map<string, BackendServer>();
  const suspicion = createDomainSuspicion(failureDomain);
  const detector = createFailureDetector({
    probe,
    onFailure: checkReachability,
    onSilent: probeDomainIfSuspected,
    onSuspected: notifyChanged,
    onAvoided: notifyCondition,
    signal,
  });
  const outliers = createOutlierEjection({
    countServers: () => servers.size,
    onEjected: notifyCondition,
  });
  const limits = createRequestLimits({ failureDomain, countInstances });
  const backoffs = createRequestedBackoffs();
  const slowEngines = createSlowEngines({ probe, signal });
  const reachability = createReachability({
    failureDomain,
    serversOf: ofService,
    canConnect,
    onReconnected: probeAvoided,
    signal,
  });
  const changeCallbacks: ((id: string) => void)[] = [];
  const conditionCallbacks: ((id: string) => void)[] = [];
  const replacedEntries = new Map<string, BackendServer>();
  const reportedAt = new Map<string, number>();
  const reportedLoads = new Map<string, number>();
  /**
   * Servers whose answers announced that they are leaving. Their entries may
   * lag behind, and return after an outage of the store.
   */
  const announcedLeaving = createIncarnationMap<true>();

  function ofService(service: string): BackendServer[] {
    return [...servers.values()].filter((server) => server.service === service);
  }

  function checkReachability(id: string): void {
    const server = servers.get(id);
    if (server) reachability.check(server.service);
  }

  /**
   * Probes a suspected engine; resolves to whether the engine answered, `null`
   * for servers of plain services, which have no reports. While no engine can
   * be reached, the sample of the reachability check stands for all of them.
   */
  async function probe(id: string): Promise<boolean | null> {
    const server = servers.get(id);
    if (!server || server.kind === null) return null;
    if (reachability.isCutOff(server.service)) return false;
    return readReport(server);
  }

  /** Reads an engine's report; resolves to whether the engine answered. */
  async function readReport(server: BackendServer): Promise<boolean> {
    return (await checkProcess(server)) !== "no_report";
  }

  async function checkProcess(server: BackendServer): Promise<ProcessCheck> {
    const { id, address, startedAt } = server;
    const report = await engines.report(address, PROBE_TIMEOUT_MS);
    if (!report) return "no_report";
    putReport(id, report);
    if (startedAt === 0 || report.startedAt === null) return "start_unknown";
    return report.startedAt === startedAt ? "same_process" : "other_process";
  }

  /**
   * Ends what was concluded from failures while no server of the service could
   * be reached. Otherwise they would get no requests for seconds after that.
   */
  async function probeAvoided(service: string): Promise<void> {
    await Promise.all(
      ofService(service).map(async (server) => {
        outliers.forget(server.id);
        if (!detector.isAvoided(server.id)) return;
        const works = server.kind === null || (await readReport(server));
        if (works) detector.reportSuccess(server.id);
      }),
    );
  }

  /** Probes all engines of a domain when several stop answering. */
  function probeDomainIfSuspected(id: string): void {
    const domain = servers.get(id)?.failureDomain;
    if (domain === undefined || !suspicion.recordFailure(domain)) return;
    log.warn("domain_suspected", { domain });
    for (const sibling of servers.values()) {
      if (sibling.failureDomain !== domain || detector.isAvoided(sibling.id))
        continue;
      void probe(sibling.id).then((works) => {
        if (works === false) detector.reportFailure(sibling.id, "silent");
      });
    }
  }

  function notifyChanged(id: string): void {
    for (const callback of changeCallbacks) callback(id);
  }

  function notifyCondition(id: string): void {
    for (const callback of conditionCallbacks) callback(id);
  }

  function putReport(id: string, report: EngineReport): void {
    const last = servers.get(id);
    if (!last) return;
    const startedAt = report.startedAt ?? last.startedAt;
    // The report is from before a restart, or from after one that the list
    // doesn't show yet.
    if (startedAt !== last.startedAt) return;
    reportedAt.set(id, performance.now());
    const { orderCount, held, usedTokenLayers, totalTokenLayers } = report;
    slowEngines.record(id, report.slowdown);
    reportedLoads.set(id, usedTokenLayers / Math.max(1, totalTokenLayers));
    servers.set(id, { ...last, orderCount, held });
    notifyCondition(id);
    if (!isSameRange(held, last.held)) notifyChanged(id);
  }

  function put(entry: BackendServer): void {
    const leaving = entry.leaving || announcedLeaving.get(entry) !== null;
    const server = leaving ? { ...entry, leaving } : entry;
    const replacedEntry = replacedEntries.get(server.id);
    if (replacedEntry && !isNewer(server, replacedEntry)) return;
    replacedEntries.delete(server.id);
    const last = servers.get(server.id);
    const isSameIncarnation = last?.startedAt === server.startedAt;
    if (last && isOlder(server, last)) {
      // An older entry of the same start can add that the server is leaving.
      if (!isSameIncarnation || !server.leaving || last.leaving) return;
      servers.set(server.id, { ...last, leaving: true });
    } else if (last && isSameIncarnation) {
      const hasNewerReport = isNewerThanEntries(reportedAt.get(server.id));
      const { orderCount } = last;
      const held = hasNewerReport ? last.held : server.held;
      servers.set(server.id, { ...server, orderCount, held });
    } else {
      servers.set(server.id, server);
      reportedAt.delete(server.id);
      outliers.forget(server.id);
      slowEngines.forget(server.id);
      detector.reportSuccess(server.id);
    }
    const current = servers.get(server.id);
    // Renewals arrive constantly, and each callback triggers layer planning.
    if (last && current && isOnlyRenewal(current, last)) return;
    logChange(server, last);
    notifyChanged(server.id);
  }

  function recordBackoff(server: BackendServer, seconds: number): void {
    backoffs.record(server, seconds);
    notifyCondition(server.id);
  }

  function recordAnswer(
    server: BackendServer,
    status: number,
    answer: ServerAnswer,
  ): void {
    // A misdirected request was answered by another server at this address.
    if (status === MISDIRECTED_REQUEST) return;
    const { id, startedAt } = server;
    if (answer.isLeaving && !announcedLeaving.get(server)) {
      announcedLeaving.set(server, true);
      const listed = servers.get(id);
      if (listed?.startedAt === startedAt) put(listed);
    }
    const { retryAfterSeconds } = answer;
    if (answer.notRun) {
      log.info("request_rejected", {
        id,
        retry_after_s: retryAfterSeconds ?? undefined,
      });
    }
    const isRejected = answer.notRun || status === UNAVAILABLE;
    if (isRejected && retryAfterSeconds !== null)
      recordBackoff(server, retryAfterSeconds);
    // Answers of intermediaries name no limit and don't lift one.
    const { requestLimitPerSecond, isSigned } = answer;
    if (requestLimitPerSecond !== null || isSigned)
      limits.record(server, requestLimitPerSecond);
  }

  return {
    detector,
    outliers,
    limits,
    backoffs,
    reachability,
    get: (id) => servers.get(id) ?? null,
    byAddress(address) {
      // The entry of a stopped server may still be listed beside the entry of
      // its successor at the same address.
      let latest: BackendServer | null = null;
      for (const server of servers.values()) {
        if (server.address !== address) continue;
        if (!latest || server.startedAt > latest.startedAt) latest = server;
      }
      return latest;
    },
    reportedLoad(id) {
      const at = reportedAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (performance.now() - at > LOAD_REPORT_TTL_MS) return null;
      return reportedLoads.get(id) ?? null;
    },
    ids: () => servers.keys(),
    slowdownOf: slowEngines.slowdownOf,
    ofService,
    countServers(service) {
      const listed = ofService(service).filter(({ leaving }) => !leaving);
      const avoided = listed.filter(({ id }) => detector.hasFailed(id));
      return { listed: listed.length, avoided: avoided.length };
    },
    isUsable: (server) =>
      !server.leaving &&
      backoffs.remainingMs(server) === 0 &&
      !detector.isAvoided(server.id) &&
      !outliers.isEjected(server.id),
    put,
    remove(id) {
      const last = servers.get(id);
      if (!last) return;
      servers.delete(id);
      reportedAt.delete(id);
      reportedLoads.delete(id);
      outliers.forget(id);
      slowEngines.forget(id);
      detector.reportSuccess(id);
      log.info("server_gone", { id, address: last.address });
      notifyChanged(id);
    },
    markReplaced(id) {
      const last = servers.get(id);
      if (!last) return;
      replacedEntries.set(id, last);
      this.remove(id);
    },
    checkProcess,
    putReport,
    recordAnswer,
    handleRefusal(id) {
      detector.reportRefusal(id);
      const server = servers.get(id);
      if (!server || backoffs.remainingMs(server) > 0) return;
      void probe(id).then((works) => {
        if (works === false) detector.reportFailure(id, "silent");
      });
    },
    onChanged(callback) {
      changeCallbacks.push(callback);
    },
    onCondition(callback) {
      conditionCallbacks.push(callback);
    },
  };
}

/** Whether a report is newer than any entry that arrives now. */
function isNewerThanEntries(reportedAt: number | undefined): boolean {
  if (reportedAt === undefined) return false;
  return performance.now() - reportedAt < ENTRY_LAG_MS;
}

/** Whether an entry was written before the current one. */
function isOlder(entry: BackendServer, current: BackendServer): boolean {
  if (entry.startedAt !== current.startedAt) {
    return entry.startedAt < current.startedAt;
  }
  return entry.renewal < current.renewal;
}

function isNewer(entry: BackendServer, current: BackendServer): boolean {
  return entry.startedAt > current.startedAt || entry.renewal > current.renewal;
}

function isSameRange(a: LayerRange | null, b: LayerRange | null): boolean {
  return a?.from === b?.from && a?.to === b?.to;
}

/** Whether an entry differs from the last one only in its renewal number. */
function isOnlyRenewal(entry: BackendServer, last: BackendServer): boolean {
  // With `util`'s deep comparison, this took a twentieth of the processor time
  // of an idle instance.
  for (const key of Object.keys(entry) as (keyof BackendServer)[]) {
    if (key === "renewal" || entry[key] === last[key]) continue;
    if (key !== "held" || !isSameRange(entry.held, last.held)) return false;
  }
  return true;
}

function logChange(server: BackendServer, last: BackendServer | undefined) {
  const { id, address, failureDomain, leaving, held, startedAt } = server;
  if (!last || last.startedAt !== startedAt) {
    log.info("server_seen", {
      id,
      address,
      domain: failureDomain,
      started_at: startedAt,
    });
  } else if (leaving && !last.leaving) {
    log.info("server_leaving", { id, address });
  } else if (!isSameRange(held, last.held)) {
    log.info("server_layers", { id, from: held?.from, to: held?.to });
  }
}
