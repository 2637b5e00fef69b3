/** Tracks how much of each engine the answers of all instances use. */
import { layersIn } from "@rosemarypin/pipelines";
import type { AddressedStage } from "../protocol.ts";
import { createEngineTotals, type EngineTotals } from "./engine_totals.ts";
import { createReceivedLoads } from "./received_loads.ts";

/**
 * Time for which the loads that a peer reported are valid, a multiple of the
 * interval between reports. The usage of a peer without valid loads is
 * estimated.
 */
export const PEER_LOADS_VALID_MS = 5_000;
/** Time for which the summed loads of another failure domain are valid. */
export const DOMAIN_LOADS_VALID_MS = 3_000;

/**
 * Load that answers put on one engine. Both values are in tokens times layers:
 * a token counts once for each layer that the engine runs for its answer.
 */
export interface EngineLoad {
  /** KV cache memory that the answers occupy when they are complete. */
  readonly held: number;
  /** Prompt tokens that the engine has not read yet. */
  readonly unread: number;
}

export type LoadByEngine = ReadonlyMap<string, EngineLoad>;

/** The load of one answer, counted at its stages until it is released. */
export interface EngineReservation {
  /** Removes the answer's prompt from the unread ones; idempotent. */
  markPromptRead(): void;
  /** Removes the whole load; idempotent. */
  release(): void;
  /** Counts the load again after a release, with its prompt read. */
  restore(): void;
}

export interface EngineUsage {
  /** Counts an answer at its stages; `unreadStages` have to read its prompt. */
  reserve(answer: {
    readonly stages: readonly AddressedStage[];
    readonly tokens: number;
    readonly unreadTokens: number;
    readonly unreadStages: readonly AddressedStage[];
  }): EngineReservation;
  /** Load of this instance's answers, by engine. */
  localLoads(): LoadByEngine;
  /** Tokens of all answers in progress of this instance. */
  localTokens(): number;
  /** Replaces the loads that a peer reported before. */
  recordPeerLoads(instance: string, loads: LoadByEngine): void;
  /** Sum of the unexpired loads that peers reported for one engine. */
  peerLoadOf(engineId: string): EngineLoad;
  /** Loads that a peer reported; `null` without any or when they expired. */
  peerLoads(instance: string): LoadByEngine | null;
  /**
   * Loads of all instances in this failure domain: the sum of those reported by
   * peers and of the local ones, scaled up to `instanceCount` instances.
   */
  domainLoads(instanceCount: number): LoadByEngine;
  /** Replaces the loads that were reported for another failure domain before. */
  recordDomainLoads(failureDomain: string, loads: LoadByEngine): void;
  /** Whether loads that were reported for the failure domain are valid. */
  hasDomainLoads(failureDomain: string): boolean;
  /** Sum of the valid loads of other failure domains on one engine. */
  domainLoadOf(engineId: string): EngineLoad;
  /**
   * Totals of an engine, kept current until `forget`; `dropExpired` removes the
   * reports from them that are no longer valid.
   */
  totalsOf(engineId: string): EngineTotals;
  /** Ends the totals of an engine that is gone. */
  forget(engineId: string): void;
  dropExpired(): void;
  /** Increases with each change of any totals. */
  revision(): number;
  /** Registers a callback for changes of this instance's loads. */
  onChanged(callback: () => void): void;
  /**
   * Registers a callback for memory that becomes free: an answer of this
   * instance has ended, or a report names less use of some engine than the one
   * before.
   */
  onFreed(callback: () => void): void;
}

export const NO_LOAD: EngineLoad = { held: 0, unread: 0 };

/** Creates a record without answers and without reports of peers. */
export function createEngineUsage(): EngineUsage {
  const localLoads = new Map<string, EngineLoad>();
  const totals = createEngineTotals();
  const loadsByPeer = createReceivedLoads(totals.peers, PEER_LOADS_VALID_MS);
  const loadsByDomain = createReceivedLoads(
    totals.domains,
    DOMAIN_LOADS_VALID_MS,
  );
  const callbacks: (() => void)[] = [];
  const freedCallbacks: (() => void)[] = [];
  let localTokens = 0;

  function addLoad(
    stages: readonly AddressedStage[],
    perLayer: { readonly held: number; readonly unread: number },
  ): void {
    for (const { engineId, range } of stages) {
      const layers = layersIn(range);
      const load = localLoads.get(engineId) ?? NO_LOAD;
      const held = load.held + perLayer.held * layers;
      const unread = load.unread + perLayer.unread * layers;
      if (held === 0 && unread === 0) localLoads.delete(engineId);
      else localLoads.set(engineId, { held, unread });
      totals.setLocal(engineId, held, unread);
    }
    for (const callback of callbacks) callback();
  }

  function notifyFreed(): void {
    for (const callback of freedCallbacks) callback();
  }

  return {
    reserve({ stages, tokens, unreadTokens, unreadStages }) {
      let isReserved = true;
      let isPromptUnread = true;
      localTokens += tokens;
      addLoad(stages, { held: tokens, unread: 0 });
      addLoad(unreadStages, { held: 0, unread: unreadTokens });

      function markPromptRead(): void {
        if (!isPromptUnread) return;
        isPromptUnread = false;
        addLoad(unreadStages, { held: 0, unread: -unreadTokens });
      }

      return {
        markPromptRead,
        release() {
          if (!isReserved) return;
          isReserved = false;
          markPromptRead();
          localTokens -= tokens;
          addLoad(stages, { held: -tokens, unread: 0 });
          notifyFreed();
        },
        restore() {
          if (isReserved) return;
          isReserved = true;
          localTokens += tokens;
          addLoad(stages, { held: tokens, unread: 0 });
        },
      };
    },
    localLoads: () => localLoads,
    localTokens: () => localTokens,
    recordPeerLoads(instance, loads) {
      if (loadsByPeer.record(instance, loads)) notifyFreed();
    },
    peerLoadOf(engineId) {
      loadsByPeer.dropExpired();
      const { held, unread } = totals.get(engineId).peers;
      return { held, unread };
    },
    peerLoads: loadsByPeer.get,
    domainLoads(instanceCount) {
      const reports = [localLoads, ...loadsByPeer.all()];
      const scale = Math.max(1, instanceCount / reports.length);
      return sumAll(reports, scale);
    },
    recordDomainLoads(failureDomain, loads) {
      if (loadsByDomain.record(failureDomain, loads)) notifyFreed();
    },
    hasDomainLoads: (failureDomain) =>
      loadsByDomain.get(failureDomain) !== null,
    domainLoadOf(engineId) {
      loadsByDomain.dropExpired();
      const { held, unread } = totals.get(engineId).domains;
      return { held, unread };
    },
    totalsOf: totals.watch,
    forget: totals.forget,
    dropExpired() {
      loadsByPeer.dropExpired();
      loadsByDomain.dropExpired();
    },
    revision: totals.revision,
    onChanged(callback) {
      callbacks.push(callback);
    },
    onFreed(callback) {
      freedCallbacks.push(callback);
    },
  };
}

/** Sums the loads by engine and multiplies them by `scale`. */
function sumAll(reports: readonly LoadByEngine[], scale: number): LoadByEngine {
  const sums = new Map<string, EngineLoad>();
  for (const loads of reports) {
    for (const [id, load] of loads) {
      const sum = sums.get(id) ?? NO_LOAD;
      const held = sum.held + load.held * scale;
      const unread = sum.unread + load.unread * scale;
      sums.set(id, { held, unread });
    }
  }
  return sums;
}
