/** Decides whether a server is leaving, from sources that may disagree. */
import type { InstanceList, ServiceServer } from "@rosemarypin/schemas";

/** Validity of a server's report that it is not leaving. */
const SERVING_REPORT_TTL_MS = 3_000;
/** Validity of a server's report that it is leaving. */
const LEAVING_REPORT_TTL_MS = 60_000;

/** Tracks which servers are leaving. */
export interface LeavingServers {
  isLeaving(server: ServiceServer): boolean;
  /** Records the server's report in a response or on its health path. */
  recordReport(server: string, leaving: boolean): void;
  /**
   * Applies the platform's instance list, which may be late or wrong. With
   * `null`, the last list remains.
   */
  applyInstanceList(list: InstanceList | null): void;
}

/**
 * Creates the record of one instance.
 *
 * The platform's list can show a leaving server as live for many seconds, show
 * a live one as leaving permanently, or omit it. The sources therefore have an
 * order of precedence: the operators' settings, then the server's own report
 * while it is valid, then the list. A server that reported it was leaving and
 * stopped responding stays excluded for a minute, since probing it with a call
 * would be new work.
 */
export function createLeavingServers(): LeavingServers {
  const reports = new Map<string, { leaving: boolean; reportedAt: number }>();
  let listedAsLeaving = new Set<string>();

  function reportedLeaving(server: string): boolean | null {
    const report = reports.get(server);
    if (!report) return null;
    const ttlMs = report.leaving
      ? LEAVING_REPORT_TTL_MS
      : SERVING_REPORT_TTL_MS;
    return performance.now() - report.reportedAt < ttlMs
      ? report.leaving
      : null;
  }

  return {
    isLeaving({ id, leaving }) {
      if (leaving) return true;
      return reportedLeaving(id) ?? listedAsLeaving.has(id);
    },
    recordReport(server, leaving) {
      reports.set(server, { leaving, reportedAt: performance.now() });
    },
    applyInstanceList(list) {
      if (!list) return;
      const leaving = list.instances.filter(({ state }) => state === "leaving");
      listedAsLeaving = new Set(leaving.map(({ id }) => id));
    },
  };
}
