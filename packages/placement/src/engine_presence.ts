/**
 * Which engines a plan may count on. Moving weights takes longer than most
 * absences, so an engine that is silent for a moment keeps its place, and one
 * that came back gets a place only when it has stayed.
 */

/** Silence after which an engine's layers are given to others. */
export const LOST_AFTER_MS = 10_000;
/** How long an engine must answer before it gets layers again. */
export const STABLE_AFTER_MS = 30_000;
/** Longest such time for an engine that comes and goes. */
const STABLE_AT_MOST_MS = 600_000;
/** After so long in place, earlier losses do not count any more. */
const FORGIVEN_AFTER_MS = 1_800_000;

/** Engines as far as plans are concerned. */
export interface EnginePresence {
  heard(engine: string, options: { readonly leaving: boolean }): void;
  silent(engine: string): void;
  /** Whether the last word of the engine was an answer. */
  answers(engine: string): boolean;
  /** Engines that may have layers, in the order of their names. */
  live(): readonly string[];
  /** Whether each engine has answered or was silent for long enough. */
  isSettled(): boolean;
}

interface Presence {
  /** `null` until it is decided for the first time. */
  isLive: boolean | null;
  leaving: boolean;
  answers: boolean;
  /** Since when it answers, or is silent, without a break. */
  since: number;
  /** Since when it is live or not. */
  decidedAt: number;
  losses: number;
}

/** Creates the presence of engines none of which was heard yet. */
export function createEnginePresence(
  engines: readonly string[],
): EnginePresence {
  const presences = new Map(
    engines.map((engine) => [engine, newPresence()] as const),
  );

  /** Brings the decision up to now. */
  function decide(presence: Presence): Presence {
    const now = performance.now();
    const lastedMs = now - presence.since;
    const { isLive, answers, leaving } = presence;
    if (isLive === null) {
      if (answers) settle(presence, !leaving);
      else if (lastedMs >= LOST_AFTER_MS) settle(presence, false);
    } else if (isLive) {
      const isLost = !answers && lastedMs >= LOST_AFTER_MS;
      if (isLost) presence.losses = lossesOf(presence) + 1;
      if (isLost || leaving) settle(presence, false);
    } else if (answers && !leaving && lastedMs >= stableMs(presence)) {
      settle(presence, true);
    }
    return presence;
  }

  return {
    heard(engine, { leaving }) {
      const presence = presences.get(engine);
      if (!presence) return;
      decide(presence);
      if (!presence.answers || presence.leaving !== leaving) {
        presence.since = performance.now();
      }
      presence.answers = true;
      presence.leaving = leaving;
      decide(presence);
    },
    silent(engine) {
      const presence = presences.get(engine);
      if (!presence) return;
      decide(presence);
      if (presence.answers) presence.since = performance.now();
      presence.answers = false;
    },
    answers: (engine) => presences.get(engine)?.answers ?? false,
    live: () =>
      [...presences]
        .filter(([, presence]) => decide(presence).isLive)
        .map(([engine]) => engine)
        .sort(),
    isSettled: () =>
      [...presences.values()].every((one) => decide(one).isLive !== null),
  };
}

function newPresence(): Presence {
  const now = performance.now();
  return {
    isLive: null,
    leaving: false,
    answers: false,
    since: now,
    decidedAt: now,
    losses: 0,
  };
}

function settle(presence: Presence, isLive: boolean): void {
  presence.isLive = isLive;
  presence.decidedAt = performance.now();
}

function lossesOf({ losses, decidedAt }: Presence): number {
  return performance.now() - decidedAt >= FORGIVEN_AFTER_MS ? 0 : losses;
}

/** Doubles with each loss, so that one that comes and goes stays out. */
function stableMs({ losses }: Presence): number {
  const doublings = Math.max(0, losses - 1);
  return Math.min(STABLE_AT_MOST_MS, STABLE_AFTER_MS * 2 ** doublings);
}
