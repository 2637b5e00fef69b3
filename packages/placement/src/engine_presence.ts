/**
 * Decides which engines a plan may use. Moving weights takes longer than most
 * outages of an engine, so an engine that stops answering briefly keeps its
 * layers, and one that recovers gets layers only after it has been stable.
 */

/** Time without an answer after which an engine's layers are reassigned. */
export const LOST_AFTER_MS = 10_000;
/** Time that a recovered engine must keep answering before it gets layers. */
export const STABLE_AFTER_MS = 30_000;
/** Maximum of the stable time required of an engine that is lost repeatedly. */
const MAX_STABLE_AFTER_MS = 600_000;
/** Time in use after which an engine's earlier losses are ignored. */
const LOSSES_EXPIRE_AFTER_MS = 1_800_000;

/** Availability of engines for planning. */
export interface EnginePresence {
  /** Records that the engine answered, and whether it is leaving. */
  heard(engine: string, options: { readonly leaving: boolean }): void;
  /** Records that the engine did not answer. */
  silent(engine: string): void;
  /** Whether the engine answered the last call. */
  answers(engine: string): boolean;
  /** Ids of the engines that may be given layers, sorted. */
  live(): readonly string[];
  /** Whether each engine has answered or was found lost at least once. */
  isDecided(): boolean;
}

interface Presence {
  /** Whether the engine may be used; `null` until the first decision. */
  isLive: boolean | null;
  leaving: boolean;
  answers: boolean;
  /** When `answers` or `leaving` last changed. */
  changedAt: number;
  /** When `isLive` was last set. */
  decidedAt: number;
  losses: number;
}

/** Creates the presence of engines that have not answered yet. */
export function createEnginePresence(
  engines: readonly string[],
): EnginePresence {
  const presences = new Map(
    engines.map((engine) => [engine, newPresence()] as const),
  );

  /** Updates whether the engine is live as of now. */
  function updateDecision(presence: Presence): Presence {
    const now = performance.now();
    const unchangedMs = now - presence.changedAt;
    const { isLive, answers, leaving } = presence;
    if (isLive === null) {
      if (answers) setDecision(presence, !leaving);
      else if (unchangedMs >= LOST_AFTER_MS) setDecision(presence, false);
    } else if (isLive) {
      const isLost = !answers && unchangedMs >= LOST_AFTER_MS;
      if (isLost) presence.losses = recentLosses(presence) + 1;
      if (isLost || leaving) setDecision(presence, false);
    } else if (
      answers &&
      !leaving &&
      unchangedMs >= requiredStableMs(presence)
    ) {
      setDecision(presence, true);
    }
    return presence;
  }

  return {
    heard(engine, { leaving }) {
      const presence = presences.get(engine);
      if (!presence) return;
      updateDecision(presence);
      if (!presence.answers || presence.leaving !== leaving) {
        presence.changedAt = performance.now();
      }
      presence.answers = true;
      presence.leaving = leaving;
      updateDecision(presence);
    },
    silent(engine) {
      const presence = presences.get(engine);
      if (!presence) return;
      updateDecision(presence);
      if (presence.answers) presence.changedAt = performance.now();
      presence.answers = false;
    },
    answers: (engine) => presences.get(engine)?.answers ?? false,
    live: () =>
      [...presences]
        .filter(([, presence]) => updateDecision(presence).isLive)
        .map(([engine]) => engine)
        .sort(),
    isDecided: () =>
      [...presences.values()].every(
        (presence) => updateDecision(presence).isLive !== null,
      ),
  };
}

function newPresence(): Presence {
  const now = performance.now();
  return {
    isLive: null,
    leaving: false,
    answers: false,
    changedAt: now,
    decidedAt: now,
    losses: 0,
  };
}

function setDecision(presence: Presence, isLive: boolean): void {
  presence.isLive = isLive;
  presence.decidedAt = performance.now();
}

function recentLosses({ losses, decidedAt }: Presence): number {
  return performance.now() - decidedAt >= LOSSES_EXPIRE_AFTER_MS ? 0 : losses;
}

/**
 * Time that the engine must keep answering before it gets layers. It doubles
 * with each loss after the first, so that an unstable engine is not used.
 */
function requiredStableMs({ losses }: Presence): number {
  const doublings = Math.max(0, losses - 1);
  return Math.min(MAX_STABLE_AFTER_MS, STABLE_AFTER_MS * 2 ** doublings);
}
