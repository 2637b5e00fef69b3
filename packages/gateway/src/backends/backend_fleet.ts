/** The backend servers that an instance knows, and what it sent to them. */
import { isDeepStrictEqual } from "node:util";
import type { LayerRange } from "@rosemarypin/pipelines";
import { createLogger } from "@rosemarypin/telemetry";
import type { BackendServer, EngineReport } from "../backend_server.ts";
import type { EngineCalls } from "../protocol.ts";
import { createDomainSuspicion } from "./domain_suspicion.ts";
import {
  createFailureDetector,
  type FailureDetector,
} from "./failure_detector.ts";

/**
 * How far an entry may lag behind the server it tells of: it is written every
 * 1.2 s, and its way through the store takes up to 0.8 s.
 */
const ENTRY_LAG_MS = 2_000;

/**
 * For how long a reported load is believed: a part of the time of an answer,
 * so that most of what was reported is still in progress.
 */
const LOAD_HOLDS_MS = 1_000;

/** Bound on a probe; engines in reach answer in a few milliseconds. */
const PROBE_TIMEOUT_MS = 300;

const log = createLogger("backends");

export interface BackendFleet {
  readonly detector: FailureDetector;
  get(id: string): BackendServer | null;
  byAddress(address: string): BackendServer | null;
  /** Servers of a service, those that are leaving or suspected too. */
  ofService(service: string): BackendServer[];
  /** Whether new requests may go to the server. */
  isUsable(server: BackendServer): boolean;
  /** Takes in an entry of the list. */
  put(server: BackendServer): void;
  remove(id: string): void;
  /**
   * Another server has the address: the entry is void until it is written
   * anew. Asked by its address, the other one answers, so suspicion alone would
   * end at once, and orders and requests would go there again and again.
   */
  replaced(id: string): void;
  /**
   * Share of an engine's memory that answers take, as it said itself a moment
   * ago; `null` when it was not asked lately.
   */
  reportedLoad(id: string): number | null;
  /** Takes in what an engine said of itself, which is newer than its entry. */
  putReport(id: string, report: EngineReport): void;
  /** Asks an engine what it holds now, since it refused a request. */
  recheck(id: string): void;
  /** Calls back when a server came, changed or went. */
  onChanged(callback: (id: string) => void): void;
}

export interface BackendFleetOptions {
  readonly engines: EngineCalls;
  /** Of this instance. */
  readonly failureDomain: string;
  readonly signal: AbortSignal;
}

/** Creates a fleet without servers. */
export function createBackendFleet({
  engines,
  failureDomain,
  signal,
}: BackendFleetOptions): BackendFleet {
  const servers = new Map<string, BackendServer>();
  const suspicion = createDomainSuspicion(failureDomain);
  const detector = createFailureDetector({
    probe,
    onSilent: suspectDomain,
    onSuspected: changed,
    signal,
  });
  const callbacks: ((id: string) => void)[] = [];
  const voided = new Map<string, BackendServer>();
  const reportedAt = new Map<string, number>();
  const reportedLoads = new Map<string, number>();

  /** Engines are asked for a report; plain services have none. */
  async function probe(id: string): Promise<boolean | null> {
    const server = servers.get(id);
    if (!server || server.kind === null) return null;
    const report = await engines.report(server.address, PROBE_TIMEOUT_MS);
    if (report) putReport(id, report);
    return report !== null;
  }

  /** Asks the other engines of a domain when several fell silent. */
  function suspectDomain(id: string): void {
    const domain = servers.get(id)?.failureDomain;
    if (domain === undefined || !suspicion.silent(domain)) return;
    log.warn("domain_suspected", { domain });
    for (const other of servers.values()) {
      if (other.failureDomain !== domain || detector.isAvoided(other.id))
        continue;
      void probe(other.id).then((works) => {
        if (works === false) detector.away(other.id, "silent");
      });
    }
  }

  function changed(id: string): void {
    for (const callback of callbacks) callback(id);
  }

  function putReport(id: string, report: EngineReport): void {
    const last = servers.get(id);
    if (!last) return;
    const startedAt = report.startedAt ?? last.startedAt;
    // Of a life that ended, or of one that has not written its entry yet.
    if (startedAt !== last.startedAt) return;
    reportedAt.set(id, performance.now());
    const { orderCount, held, usedTokenLayers, totalTokenLayers } = report;
    reportedLoads.set(id, usedTokenLayers / Math.max(1, totalTokenLayers));
    servers.set(id, { ...last, orderCount, held });
    if (!isSameRange(held, last.held)) changed(id);
  }

  return {
    detector,
    get: (id) => servers.get(id) ?? null,
    byAddress(address) {
      // The entry of one that ended may still stand beside its successor's.
      let latest: BackendServer | null = null;
      for (const server of servers.values()) {
        if (server.address !== address) continue;
        if (!latest || server.startedAt > latest.startedAt) latest = server;
      }
      return latest;
    },
    reportedLoad(id) {
      const at = reportedAt.get(id) ?? Number.NEGATIVE_INFINITY;
      if (performance.now() - at > LOAD_HOLDS_MS) return null;
      return reportedLoads.get(id) ?? null;
    },
    ofService: (service) =>
      [...servers.values()].filter((server) => server.service === service),
    isUsable: (server) => !server.leaving && !detector.isAvoided(server.id),
    put(server) {
      const before = voided.get(server.id);
      if (before && !isNewer(server, before)) return;
      voided.delete(server.id);
      const last = servers.get(server.id);
      const isSameLife = last?.startedAt === server.startedAt;
      if (last && isOlder(server, last)) {
        // Only its leaving is news.
        if (!server.leaving || last.leaving) return;
        servers.set(server.id, { ...last, leaving: true });
      } else if (last && isSameLife) {
        const isReportNewer = isFresh(reportedAt.get(server.id));
        const { orderCount } = last;
        const held = isReportNewer ? last.held : server.held;
        servers.set(server.id, { ...server, orderCount, held });
      } else {
        servers.set(server.id, server);
        reportedAt.delete(server.id);
        detector.worked(server.id);
      }
      const now = servers.get(server.id);
      // Renewals come all the time, and would have layers planned each time.
      if (last && now && isRenewal(now, last)) return;
      logChange(server, last);
      changed(server.id);
    },
    remove(id) {
      const last = servers.get(id);
      if (!last) return;
      servers.delete(id);
      reportedAt.delete(id);
      reportedLoads.delete(id);
      detector.worked(id);
      log.info("server_gone", { id, address: last.address });
      changed(id);
    },
    replaced(id) {
      const last = servers.get(id);
      if (!last) return;
      voided.set(id, last);
      this.remove(id);
    },
    putReport,
    recheck(id) {
      detector.refused(id);
      void probe(id).then((works) => {
        if (works === false) detector.away(id, "silent");
      });
    },
    onChanged(callback) {
      callbacks.push(callback);
    },
  };
}

/** Whether a report is newer than what an entry that comes now tells. */
function isFresh(reportedAt: number | undefined): boolean {
  if (reportedAt === undefined) return false;
  return performance.now() - reportedAt < ENTRY_LAG_MS;
}

/** Whether an entry was written before the one that is known. */
function isOlder(entry: BackendServer, known: BackendServer): boolean {
  if (entry.startedAt !== known.startedAt) {
    return entry.startedAt < known.startedAt;
  }
  return entry.renewal < known.renewal;
}

function isNewer(entry: BackendServer, known: BackendServer): boolean {
  return entry.startedAt > known.startedAt || entry.renewal > known.renewal;
}

function isSameRange(a: LayerRange | null, b: LayerRange | null): boolean {
  return a?.from === b?.from && a?.to === b?.to;
}

/** Whether an entry tells the same as before, but that its server lives. */
function isRenewal(entry: BackendServer, last: BackendServer): boolean {
  return isDeepStrictEqual({ ...entry, renewal: last.renewal }, last);
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
