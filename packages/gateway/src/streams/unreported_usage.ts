/**
 * Estimates the load of instances without a current report. Callers are spread
 * over the instances, so such an instance is assumed to use the average of the
 * other instances in its failure domain.
 */
import type { BackendServer } from "../backend_server.ts";
import type { EngineUsage, LoadByEngine } from "./engine_usage.ts";

export interface UnreportedUsage {
  /**
   * Reads again which instances report; returns whether any does not. Estimates
   * are of the last call.
   */
  update(): boolean;
  /** Estimated tokens times layers that such instances hold on an engine. */
  heldOn(
    engine: Pick<BackendServer, "id" | "failureDomain">,
    layers: number,
  ): number;
  /** Whether the engines' loads are known as the sum over their domain. */
  isSummed(failureDomain: string): boolean;
}

/** Reports of the instances in one failure domain. */
interface DomainReports {
  isSummed: boolean;
  /** Number of other instances without a current report. */
  unreportedCount: number;
  /** Current reports, and the local loads if this is the local domain. */
  sampledLoads: LoadByEngine[];
}

export function createUnreportedUsage(options: {
  readonly failureDomain: string;
  readonly usage: EngineUsage;
  /** Names of other instances in a failure domain that may send requests. */
  readonly possibleSendersOf: (failureDomain: string) => readonly string[];
}): UnreportedUsage {
  const { usage } = options;
  /** Reports by failure domain in which there are engines. */
  const reportsByDomain = new Map<string, DomainReports>();
  let isAnyUnreported = false;

  function read(domain: string, reports: DomainReports): void {
    reports.unreportedCount = 0;
    reports.sampledLoads = [];
    // The sum over a domain already covers all its instances.
    reports.isSummed = usage.hasDomainLoads(domain);
    if (reports.isSummed) return;
    const { sampledLoads } = reports;
    for (const instance of options.possibleSendersOf(domain)) {
      const loads = usage.peerLoads(instance);
      if (loads) sampledLoads.push(loads);
      else reports.unreportedCount += 1;
    }
    if (domain === options.failureDomain) sampledLoads.push(usage.localLoads());
    if (reports.unreportedCount > 0) isAnyUnreported = true;
  }

  function reportsOf(domain: string): DomainReports {
    const known = reportsByDomain.get(domain);
    if (known) return known;
    const reports = { isSummed: false, unreportedCount: 0, sampledLoads: [] };
    reportsByDomain.set(domain, reports);
    read(domain, reports);
    return reports;
  }

  return {
    update() {
      isAnyUnreported = false;
      for (const [domain, reports] of reportsByDomain) read(domain, reports);
      return isAnyUnreported;
    },
    heldOn({ id, failureDomain }, layers) {
      const { unreportedCount, sampledLoads } = reportsOf(failureDomain);
      if (unreportedCount === 0) return 0;
      // Without any report from that domain, each of its instances is assumed
      // to have as many tokens on this engine as this instance has in total.
      if (sampledLoads.length === 0)
        return unreportedCount * usage.localTokens() * layers;
      let held = 0;
      for (const loads of sampledLoads) held += loads.get(id)?.held ?? 0;
      return unreportedCount * (held / sampledLoads.length);
    },
    isSummed: (failureDomain) => reportsOf(failureDomain).isSummed,
  };
}
