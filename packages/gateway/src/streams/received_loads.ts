/** Keeps the last loads that each sender reported, for as long as valid. */
import type { ReportedSums } from "./engine_totals.ts";
import type { LoadByEngine } from "./engine_usage.ts";

interface ReceivedReport {
  readonly loads: LoadByEngine;
  readonly receivedAt: number;
}

export interface ReceivedLoads {
  /** Replaces the loads that the sender reported before. */
  record(sender: string, loads: LoadByEngine): void;
  /** Loads of a sender; `null` without any or when they expired. */
  get(sender: string): LoadByEngine | null;
  /** Unexpired loads of all senders. */
  all(): LoadByEngine[];
  /** Takes expired loads out of the sums. */
  dropExpired(): void;
}

/** Keeps reports that are valid for `validMs`, and adds them to the sums. */
export function createReceivedLoads(
  sums: ReportedSums,
  validMs: number,
): ReceivedLoads {
  const reports = new Map<string, ReceivedReport>();
  /** No report expires before this time. */
  let nextExpiry = Number.POSITIVE_INFINITY;

  function takeBack({ loads }: ReceivedReport): void {
    for (const [engineId, load] of loads) sums.subtract(engineId, load);
  }

  function dropExpired(): void {
    const now = performance.now();
    if (now < nextExpiry) return;
    nextExpiry = Number.POSITIVE_INFINITY;
    for (const [sender, report] of reports) {
      const expiresAt = report.receivedAt + validMs;
      if (now - report.receivedAt >= validMs) {
        reports.delete(sender);
        takeBack(report);
      } else nextExpiry = Math.min(nextExpiry, expiresAt);
    }
  }

  return {
    record(sender, loads) {
      const last = reports.get(sender);
      if (last) takeBack(last);
      const receivedAt = performance.now();
      reports.set(sender, { loads, receivedAt });
      for (const [engineId, load] of loads) sums.add(engineId, load);
      nextExpiry = Math.min(nextExpiry, receivedAt + validMs);
    },
    get(sender) {
      const report = reports.get(sender);
      const isValid = report && performance.now() - report.receivedAt < validMs;
      return isValid ? report.loads : null;
    },
    all() {
      dropExpired();
      return Array.from(reports.values(), ({ loads }) => loads);
    },
    dropExpired,
  };
}
