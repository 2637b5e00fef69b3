/** Tells a stage that died, froze or forgot from one that is only busy. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { EngineEvent, EngineState, Stage } from "@rosemarypin/schemas";

/** When silence on a stream is looked into. */
export interface LivenessLimits {
  /** An engine that does not begin to answer in this time is frozen. */
  readonly startMs: number;
  /** Silence before the first token after which stages are probed. */
  readonly firstTokenMs: number;
  /** Bounds of the silence between tokens after which stages are probed. */
  readonly shortestSilenceMs: number;
  readonly longestSilenceMs: number;
  /** How long a stage may take to answer a probe. */
  readonly probeMs: number;
  /** Silence after which a message counts as lost though all stages live. */
  readonly lostMessageMs: number;
}

export const defaultLiveness: LivenessLimits = {
  startMs: 1_000,
  firstTokenMs: 500,
  shortestSilenceMs: 100,
  longestSilenceMs: 1_000,
  probeMs: 300,
  lostMessageMs: 3_000,
};

/** Times the usual gap between tokens, one gap is suspicious. */
const SUSPICIOUS_GAPS = 5;
const PACE_WEIGHT = 0.2;
/** What a busy engine may need longer than another to answer a probe. */
const SHORTEST_GRACE_MS = 80;
const GRACE_FACTOR = 10;

/** The pace of one answer's tokens, over all its attempts. */
export interface TokenPace {
  observe(gapMs: number): void;
  /** The usual gap between tokens; `null` before the first token. */
  gapMs(): number | null;
  /** Silence after which the stages are probed. */
  silenceMs(): number;
}

/** Creates a pace that knows nothing yet. */
export function createTokenPace(limits: LivenessLimits): TokenPace {
  let usualMs: number | null = null;
  return {
    observe(gapMs) {
      usualMs =
        usualMs === null ? gapMs : usualMs + PACE_WEIGHT * (gapMs - usualMs);
    },
    gapMs: () => usualMs,
    silenceMs() {
      if (usualMs === null) return limits.firstTokenMs;
      const silence = usualMs * SUSPICIOUS_GAPS;
      return Math.min(
        limits.longestSilenceMs,
        Math.max(limits.shortestSilenceMs, silence),
      );
    },
  };
}

/** What came next on a stream. */
export type NextEvent =
  | { readonly kind: "event"; readonly event: EngineEvent }
  | { readonly kind: "ended" }
  | { readonly kind: "silent" };

/** Reads a stream with a limit on silence; no event is lost by it. */
export interface EventReader {
  next(silenceMs: number): Promise<NextEvent>;
  /** Whether an event came that was not taken yet. */
  hasEvent(): boolean;
}

/** Creates the reader of one attempt's stream. */
export function createEventReader(
  events: AsyncIterable<EngineEvent>,
): EventReader {
  const iterator = events[Symbol.asyncIterator]();
  let pending: Promise<NextEvent> | null = null;
  let arrived = false;

  function read(): Promise<NextEvent> {
    arrived = false;
    return iterator.next().then(
      (result): NextEvent => {
        arrived = true;
        return result.done
          ? { kind: "ended" }
          : { kind: "event", event: result.value };
      },
      (): NextEvent => {
        arrived = true;
        return { kind: "ended" };
      },
    );
  }

  return {
    hasEvent: () => arrived && pending !== null,
    next(silenceMs) {
      pending ??= read();
      const reading = pending;
      return new Promise((resolve) => {
        let isWaiting = true;
        const timer = setTimeout(() => {
          isWaiting = false;
          resolve({ kind: "silent" });
        }, silenceMs);
        void reading.then((next) => {
          // After a silence the event stays for the next call: taken here,
          // a token that came while stages were probed would be lost.
          if (!isWaiting) return;
          clearTimeout(timer);
          pending = null;
          resolve(next);
        });
      });
    },
  };
}

/**
 * Stages that do not answer, or that were restarted since the attempt began:
 * a restarted engine answers at the same address, but its memory is empty,
 * so the answer would wait for it in vain.
 */
export async function findLostStages(
  stages: readonly Stage[],
  options: {
    readonly engines: EngineClient;
    readonly fleet: EngineFleet;
    readonly incarnations: ReadonlyMap<string, number>;
    readonly probeMs: number;
  },
): Promise<readonly Stage[]> {
  const { fleet, incarnations } = options;
  const states = await probeStages(stages, options);
  return stages.filter(({ engine }, index) => {
    const state = states[index];
    if (!state) return true;
    fleet.observe(state);
    const before = incarnations.get(engine);
    return before !== undefined && state.incarnation !== before;
  });
}

/**
 * Asks all stages for their state. Once one has answered, the others get as
 * long as its answer shows that a busy engine may need: waiting out the whole
 * limit for one that is frozen would hold the answer up for nothing. When
 * none answers, our own process or network may be slow, and the whole limit
 * is waited for.
 */
async function probeStages(
  stages: readonly Stage[],
  options: { readonly engines: EngineClient; readonly probeMs: number },
): Promise<readonly (EngineState | null)[]> {
  const { engines, probeMs: timeoutMs } = options;
  const states: (EngineState | null)[] = stages.map(() => null);
  const began = performance.now();
  const waits = new AbortController();
  const probes = stages.map(async ({ address }, index) => {
    const state = await engines.readState(address, { timeoutMs });
    states[index] = state;
    if (state === null) return;
    const answeredMs = performance.now() - began;
    const graceMs = Math.max(SHORTEST_GRACE_MS, answeredMs * GRACE_FACTOR);
    setTimeout(() => waits.abort(), Math.min(graceMs, timeoutMs));
  });
  const graceEnded = new Promise<void>((resolve) => {
    waits.signal.addEventListener("abort", () => resolve(), { once: true });
  });
  await Promise.race([Promise.all(probes), graceEnded]);
  return [...states];
}

/** Incarnations of engines as the fleet last heard them. */
export function readIncarnations(
  fleet: EngineFleet,
): ReadonlyMap<string, number> {
  const known = fleet.engines().flatMap(({ settings, state }) => {
    const incarnation = state?.incarnation;
    return incarnation === undefined
      ? []
      : [[settings.id, incarnation] as const];
  });
  return new Map(known);
}
