/** Keeps the last loads that each sender reported, for as long as valid. */
import type { ReportedSums } from "./engine_totals.ts";
import type { LoadByEngine } from "./engine_usage.ts";

interface ReceivedReport {
  readonly loads: LoadByEngine;
  readonly receivedAt: number;
}

export interface ReceivedLoads {
  /**
   * Replaces the loads that the sender reported before. Returns whether memory
   * becomes free: the loads name less use of some engine than the valid ones
   * before. The first report of a sender may also replace a higher estimate.
   */
  record(sender: string, loads: LoadByEngine): boolean;
  /** Loads of a sender; `null` without any or when they expired. */
  get(sender: string): LoadByEngine | null;
  /** Unexpired loads of all senders. */
  all(): LoadByEngine[];
  /** Takes expired loads out of the sums. */
  dropExpired(): void;
}

const NO_LOADS: LoadByEngine = new Map();

/** Keeps reports that are valid for `validMs`, and adds them to the sums. */
export function createReceivedLoads(
  sums: ReportedSums,
  validMs: number,
): ReceivedLoads {
  const reports = new Map<string, ReceivedReport>();
  /** No report expires before this time. */
  let nextExpiry = Number.POSITIVE_INFINITY;

  /**
   * Replaces loads of one sender in the sums; returns whether some engine is
   * used less. Most engines are in both, and many with the same load: each is
   * looked up once, and only what differs is changed.
   */
  function exchangeLoads(last: LoadByEngine, next: LoadByEngine): boolean {
    let frees = false;
    let inBoth = 0;
    for (const [engineId, load] of next) {
      const before = last.get(engineId);
      if (!before) {
        sums.add(engineId, load);
        continue;
      }
      inBoth += 1;
      if (load.held < before.held) frees = true;
      if (load.held !== before.held || load.unread !== before.unread)
        sums.replace(engineId, before, load);
    }
    if (inBoth === last.size) return frees;
    for (const [engineId, load] of last) {
      if (next.has(engineId)) continue;
      sums.subtract(engineId, load);
      if (load.held > 0) frees = true;
    }
    return frees;
  }

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
      const receivedAt = performance.now();
      const isLastValid = last && receivedAt - last.receivedAt < validMs;
      reports.set(sender, { loads, receivedAt });
      nextExpiry = Math.min(nextExpiry, receivedAt + validMs);
      const frees = exchangeLoads(last?.loads ?? NO_LOADS, loads);
      return frees || !isLastValid;
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
