/** Distinguishes dead, frozen and restarted stages from busy ones. */
import type { EngineClient, EngineFleet } from "@rosemarypin/backends";
import type { EngineEvent, EngineState, Stage } from "@rosemarypin/schemas";

/** Timeouts by which a silent stream is checked for lost stages. */
export interface LivenessLimits {
  /** Time in which an engine must accept an attempt. */
  readonly startTimeoutMs: number;
  /** Silence before the first token after which stages are probed. */
  readonly firstTokenMs: number;
  /** Bounds of the silence between tokens after which stages are probed. */
  readonly minSilenceMs: number;
  readonly maxSilenceMs: number;
  /** Timeout of a probe. */
  readonly probeMs: number;
  /** Silence after which a message is assumed lost if all stages respond. */
  readonly lostMessageTimeoutMs: number;
}

export const defaultLiveness: LivenessLimits = {
  startTimeoutMs: 1_000,
  firstTokenMs: 500,
  minSilenceMs: 100,
  maxSilenceMs: 1_000,
  probeMs: 300,
  lostMessageTimeoutMs: 3_000,
};

/** Multiple of the average gap between tokens that counts as silence. */
const SILENCE_GAP_FACTOR = 5;
const GAP_SMOOTHING_FACTOR = 0.2;
/** Minimum time for busy engines to respond after another one's response. */
const MIN_PROBE_GRACE_MS = 80;
const PROBE_GRACE_FACTOR = 10;

/** Moving average of the gaps between an answer's tokens, over all attempts. */
export interface TokenPace {
  /** Adds the gap before a new token. */
  observe(gapMs: number): void;
  /** The average gap; `null` before the first token. */
  averageGapMs(): number | null;
  /** Silence after which the stages are probed. */
  silenceThresholdMs(): number;
}

/** Creates the pace of an answer without tokens. */
export function createTokenPace(limits: LivenessLimits): TokenPace {
  let averageMs: number | null = null;
  return {
    observe(gapMs) {
      averageMs =
        averageMs === null
          ? gapMs
          : averageMs + GAP_SMOOTHING_FACTOR * (gapMs - averageMs);
    },
    averageGapMs: () => averageMs,
    silenceThresholdMs() {
      if (averageMs === null) return limits.firstTokenMs;
      const silenceMs = averageMs * SILENCE_GAP_FACTOR;
      return Math.min(
        limits.maxSilenceMs,
        Math.max(limits.minSilenceMs, silenceMs),
      );
    },
  };
}

/** Result of a read from a stream. */
export type NextEvent =
  | { readonly kind: "event"; readonly event: EngineEvent }
  | { readonly kind: "ended" }
  | { readonly kind: "timeout" };

/** Reads a stream with a timeout. No event is lost by a timeout. */
export interface EventReader {
  /** Reads the next event; `timeout` if none arrives within `timeoutMs`. */
  next(timeoutMs: number): Promise<NextEvent>;
  /** Whether an event, or the end, has arrived and not been read yet. */
  hasPendingEvent(): boolean;
}

/** Creates the reader of one attempt's stream. */
export function createEventReader(
  events: AsyncIterable<EngineEvent>,
): EventReader {
  const iterator = events[Symbol.asyncIterator]();
  let pendingEvent: Promise<NextEvent> | null = null;
  let hasArrived = false;

  function read(): Promise<NextEvent> {
    hasArrived = false;
    return iterator.next().then(
      (result): NextEvent => {
        hasArrived = true;
        return result.done
          ? { kind: "ended" }
          : { kind: "event", event: result.value };
      },
      (): NextEvent => {
        hasArrived = true;
        return { kind: "ended" };
      },
    );
  }

  return {
    hasPendingEvent: () => hasArrived && pendingEvent !== null,
    next(timeoutMs) {
      pendingEvent ??= read();
      const pendingRead = pendingEvent;
      return new Promise((resolve) => {
        let isWaiting = true;
        const timer = setTimeout(() => {
          isWaiting = false;
          resolve({ kind: "timeout" });
        }, timeoutMs);
        void pendingRead.then((next) => {
          // After a timeout the event is kept for the next call. Otherwise a
          // token that arrives while stages are probed would be lost.
          if (!isWaiting) return;
          clearTimeout(timer);
          pendingEvent = null;
          resolve(next);
        });
      });
    },
  };
}

interface ProbeOptions {
  readonly engines: EngineClient;
  readonly fleet: EngineFleet;
  readonly incarnations: ReadonlyMap<string, number>;
  readonly probeMs: number;
}

/** Stages that an attempt may have lost. */
export interface LostStages {
  readonly restarted: readonly Stage[];
  /** Those that do not respond. */
  readonly silent: readonly Stage[];
}

/**
 * Probes the stages and returns those that do not respond or that restarted
 * since the attempt began. A restarted engine responds at the same address but
 * has lost the attempt, so that its next token would never arrive.
 */
export async function findLostStages(
  stages: readonly Stage[],
  options: ProbeOptions,
): Promise<LostStages> {
  const { fleet, incarnations } = options;
  const states = await probeStages(stages, options);
  const restarted: Stage[] = [];
  const silent: Stage[] = [];
  for (const [index, stage] of stages.entries()) {
    const state = states[index];
    if (!state) {
      silent.push(stage);
      continue;
    }
    fleet.observe(state);
    const incarnationAtStart = incarnations.get(stage.engine);
    const hasRestarted =
      incarnationAtStart !== undefined &&
      state.incarnation !== incarnationAtStart;
    if (hasRestarted) restarted.push(stage);
  }
  return { restarted, silent };
}

/**
 * Reads the state of all stages. After each response the others get a grace
 * period in proportion to its duration, so that a frozen engine doesn't delay
 * the answer by the full probe timeout. Without any response, the delay may be
 * in this process or its network, and the full timeout applies.
 */
async function probeStages(
  stages: readonly Stage[],
  options: { readonly engines: EngineClient; readonly probeMs: number },
): Promise<readonly (EngineState | null)[]> {
  const { engines, probeMs: timeoutMs } = options;
  const states: (EngineState | null)[] = stages.map(() => null);
  const startedAt = performance.now();
  const grace = new AbortController();
  const probes = stages.map(async ({ address }, index) => {
    const state = await engines.readState(address, { timeoutMs });
    states[index] = state;
    if (state === null) return;
    const responseMs = performance.now() - startedAt;
    const graceMs = Math.max(
      MIN_PROBE_GRACE_MS,
      responseMs * PROBE_GRACE_FACTOR,
    );
    setTimeout(() => grace.abort(), Math.min(graceMs, timeoutMs));
  });
  const graceEnded = new Promise<void>((resolve) => {
    grace.signal.addEventListener("abort", () => resolve(), { once: true });
  });
  await Promise.race([Promise.all(probes), graceEnded]);
  return [...states];
}

/** Incarnation of each engine in the fleet's last known state. */
export function readIncarnations(
  fleet: EngineFleet,
): ReadonlyMap<string, number> {
  const incarnations = fleet.engines().flatMap(({ settings, state }) => {
    const incarnation = state?.incarnation;
    return incarnation === undefined
      ? []
      : [[settings.id, incarnation] as const];
  });
  return new Map(incarnations);
}
