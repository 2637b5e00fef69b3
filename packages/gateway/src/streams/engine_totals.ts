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
  readonly peerHeld: number;
  readonly peerUnread: number;
  readonly domainHeld: number;
  readonly domainUnread: number;
}

/** Sums of the reports of one kind of sender. */
export interface ReportedSums {
  add(engineId: string, load: EngineLoad): void;
  /** Replaces a load that was added by another one. */
  replace(engineId: string, last: EngineLoad, next: EngineLoad): void;
  /** Takes back a load that was added. */
  subtract(engineId: string, load: EngineLoad): void;
}

interface MutableTotals {
  localHeld: number;
  localUnread: number;
  peerHeld: number;
  peerUnread: number;
  domainHeld: number;
  domainUnread: number;
  peers: number;
  domains: number;
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
    if (isWatched || peers > 0 || domains > 0) return;
    if (localHeld === 0 && localUnread === 0) byEngine.delete(engineId);
  }

  const peers: ReportedSums = {
    add(engineId, { held, unread }) {
      const totals = change(engineId);
      totals.peers += 1;
      totals.peerHeld += held;
      totals.peerUnread += unread;
    },
    replace(engineId, last, next) {
      const totals = change(engineId);
      // The sum of a single load is that load, without rounding errors.
      const isOnly = totals.peers === 1;
      const { peerHeld, peerUnread } = totals;
      totals.peerHeld = isOnly ? next.held : peerHeld - last.held + next.held;
      totals.peerUnread = isOnly
        ? next.unread
        : peerUnread - last.unread + next.unread;
    },
    subtract(engineId, { held, unread }) {
      const totals = change(engineId);
      totals.peers -= 1;
      // Sums of fractions would not return to zero by themselves.
      const isLast = totals.peers === 0;
      totals.peerHeld = isLast ? 0 : totals.peerHeld - held;
      totals.peerUnread = isLast ? 0 : totals.peerUnread - unread;
      if (isLast) dropUnused(engineId, totals);
    },
  };
  const domains: ReportedSums = {
    add(engineId, { held, unread }) {
      const totals = change(engineId);
      totals.domains += 1;
      totals.domainHeld += held;
      totals.domainUnread += unread;
    },
    replace(engineId, last, next) {
      const totals = change(engineId);
      // The sum of a single load is that load, without rounding errors.
      const isOnly = totals.domains === 1;
      const { domainHeld, domainUnread } = totals;
      totals.domainHeld = isOnly
        ? next.held
        : domainHeld - last.held + next.held;
      totals.domainUnread = isOnly
        ? next.unread
        : domainUnread - last.unread + next.unread;
    },
    subtract(engineId, { held, unread }) {
      const totals = change(engineId);
      totals.domains -= 1;
      const isLast = totals.domains === 0;
      totals.domainHeld = isLast ? 0 : totals.domainHeld - held;
      totals.domainUnread = isLast ? 0 : totals.domainUnread - unread;
      if (isLast) dropUnused(engineId, totals);
    },
  };

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
    peerHeld: 0,
    peerUnread: 0,
    domainHeld: 0,
    domainUnread: 0,
    peers: 0,
    domains: 0,
    isWatched: false,
  };
}
