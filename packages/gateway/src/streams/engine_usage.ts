/** Tracks how much of each engine the answers of all instances use. */
import { layersIn } from "@rosemarypin/pipelines";
import type { AddressedStage } from "../protocol.ts";

/**
 * Validity of the loads that a peer reported, several of the intervals at which
 * instances report. The usage of a peer without valid loads is estimated.
 */
export const PEER_LOADS_VALID_MS = 5_000;

/** Load that answers put on one engine, in tokens times layers. */
export interface EngineLoad {
  /** Memory that the answers hold once they are complete. */
  readonly held: number;
  /** Prompts that the engine has not read yet. */
  readonly unread: number;
}

export type LoadByEngine = ReadonlyMap<string, EngineLoad>;

/** The load of one answer, counted at its stages until it is released. */
export interface EngineReservation {
  /** Removes the answer's prompt from the unread ones; idempotent. */
  markPromptRead(): void;
  /** Removes the whole load; idempotent. */
  release(): void;
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
  /** Registers a callback for changes of this instance's loads. */
  onChanged(callback: () => void): void;
}

interface PeerLoads {
  readonly loads: LoadByEngine;
  readonly receivedAt: number;
}

export const NO_LOAD: EngineLoad = { held: 0, unread: 0 };

/** Creates a record without answers and without reports of peers. */
export function createEngineUsage(): EngineUsage {
  const localLoads = new Map<string, EngineLoad>();
  const loadsByPeer = new Map<string, PeerLoads>();
  const callbacks: (() => void)[] = [];
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
    }
    for (const callback of callbacks) callback();
  }

  function isFresh({ receivedAt }: PeerLoads): boolean {
    return performance.now() - receivedAt < PEER_LOADS_VALID_MS;
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
        },
      };
    },
    localLoads: () => localLoads,
    localTokens: () => localTokens,
    recordPeerLoads(instance, loads) {
      loadsByPeer.set(instance, { loads, receivedAt: performance.now() });
    },
    peerLoadOf(engineId) {
      let held = 0;
      let unread = 0;
      for (const [instance, peer] of loadsByPeer) {
        if (!isFresh(peer)) {
          loadsByPeer.delete(instance);
          continue;
        }
        const load = peer.loads.get(engineId) ?? NO_LOAD;
        held += load.held;
        unread += load.unread;
      }
      return { held, unread };
    },
    peerLoads(instance) {
      const peer = loadsByPeer.get(instance);
      return peer && isFresh(peer) ? peer.loads : null;
    },
    onChanged(callback) {
      callbacks.push(callback);
    },
  };
}
