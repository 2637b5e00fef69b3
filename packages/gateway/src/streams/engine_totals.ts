/** Sums the reported loads by engine, in place. */
import type { EngineLoad } from "./engine_usage.ts";

/**
 * Loads on one engine, by who reported them, in tokens times layers. They are
 * kept current in place, so that a search among hundreds of engines looks up
 * none of them by id.
 */
export interface EngineTotals {
  readonly localHeld: number;
  readonly localUnread: number;
  readonly peers: EngineLoad;
  readonly domains: EngineLoad;
}

/** Sums of the reports of one kind of sender. */
export interface ReportedSums {
  add(engineId: string, load: EngineLoad): void;
  /** Replaces a load that was added by another one. */
  replace(engineId: string, last: EngineLoad, next: EngineLoad): void;
  /** Takes back a load that was added. */
  subtract(engineId: string, load: EngineLoad): void;
}

/** Sums over the reports that are counted. */
interface MutableSums {
  count: number;
  held: number;
  unread: number;
}

interface MutableTotals {
  localHeld: number;
  localUnread: number;
  readonly peers: MutableSums;
  readonly domains: MutableSums;
  isWatched: boolean;
}

/** Creates totals of no engine. */
export function createEngineTotals() {
  const byEngine = new Map<string, MutableTotals>();
  let revision = 0;

  /** Totals to be changed; those of an unknown engine begin at zero. */
  function change(engineId: string): MutableTotals {
    revision += 1;
    return byEngine.get(engineId) ?? create(engineId);
  }

  function create(engineId: string): MutableTotals {
    const created = createZero();
    byEngine.set(engineId, created);
    return created;
  }

  /** Engines come and go under new ids, so totals without use are dropped. */
  function dropUnused(engineId: string, totals: MutableTotals): void {
    const { isWatched, peers, domains, localHeld, localUnread } = totals;
    if (isWatched || peers.count > 0 || domains.count > 0) return;
    if (localHeld === 0 && localUnread === 0) byEngine.delete(engineId);
  }

  /** Sums of one kind of reports, which `sumsOf` finds in the totals. */
  function createReportedSums(
    sumsOf: (totals: MutableTotals) => MutableSums,
  ): ReportedSums {
    return {
      add(engineId, { held, unread }) {
        const sums = sumsOf(change(engineId));
        sums.count += 1;
        sums.held += held;
        sums.unread += unread;
      },
      replace(engineId, last, next) {
        const sums = sumsOf(change(engineId));
        // The sum of a single load is that load, without rounding errors.
        const isOnly = sums.count === 1;
        sums.held = isOnly ? next.held : sums.held - last.held + next.held;
        sums.unread = isOnly
          ? next.unread
          : sums.unread - last.unread + next.unread;
      },
      subtract(engineId, { held, unread }) {
        const totals = change(engineId);
        const sums = sumsOf(totals);
        sums.count -= 1;
        // Sums of fractions would not return to zero by themselves.
        const isLast = sums.count === 0;
        sums.held = isLast ? 0 : sums.held - held;
        sums.unread = isLast ? 0 : sums.unread - unread;
        if (isLast) dropUnused(engineId, totals);
      },
    };
  }

  const peers = createReportedSums((totals) => totals.peers);
  const domains = createReportedSums((totals) => totals.domains);

  return {
    peers,
    domains,
    setLocal(engineId: string, held: number, unread: number): void {
      const totals = change(engineId);
      totals.localHeld = held;
      totals.localUnread = unread;
      dropUnused(engineId, totals);
    },
    get: (engineId: string): EngineTotals =>
      byEngine.get(engineId) ?? createZero(),
    /** Returns totals that stay current until `forget`. */
    watch(engineId: string): EngineTotals {
      const totals = byEngine.get(engineId) ?? create(engineId);
      totals.isWatched = true;
      return totals;
    },
    forget(engineId: string): void {
      const totals = byEngine.get(engineId);
      if (!totals) return;
      totals.isWatched = false;
      dropUnused(engineId, totals);
    },
    /** Increases with each change. */
    revision: () => revision,
  };
}

function createZero(): MutableTotals {
  return {
    localHeld: 0,
    localUnread: 0,
    peers: { count: 0, held: 0, unread: 0 },
    domains: { count: 0, held: 0, unread: 0 },
    isWatched: false,
  };
}
