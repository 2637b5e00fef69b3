/** Tracks the state of the engines that this instance may use. */
import type { EngineSettings, EngineState } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { EngineClient } from "./engine_client.ts";
import type { EngineSubset } from "./engine_subset.ts";
import { MIN_READ_INTERVAL_MS, readIntervalMs } from "./read_interval.ts";

/**
 * Age of the last state after which a watched engine gets no new work. It is
 * extended by the excess of the read interval over the minimum.
 */
const STALE_AFTER_MS = 2_000;
/** Read budget for watched engines: a third of a node's limit for control. */
const WATCH_BYTES_PER_SECOND = 1_000;
/**
 * Maximum interval between reads of a watched engine, regardless of budget.
 * With few instances, each watches many engines, and an engine that is leaving
 * would get new work until its next read.
 */
const MAX_WATCH_INTERVAL_MS = 4_000;
/** Read budget for other used engines; their reads only cover lost notices. */
const FALLBACK_BYTES_PER_SECOND = 250;
/** Maximum interval between reads of a lost engine. */
const MAX_RETRY_INTERVAL_MS = 8_000;
/** Spreads the reads of all instances that receive the same notice. */
const NOTICE_JITTER_MS = 500;

const log = createLogger("backends");

/** An engine with its last known state. */
export interface EngineSnapshot {
  readonly settings: EngineSettings;
  /** `null` until the first successful read. */
  readonly state: EngineState | null;
  /** Whether new work may go to the engine. */
  readonly usable: boolean;
  /** Number of attempts of this instance that run on the engine. */
  readonly inFlight: number;
}

/** The engines that this instance uses, with their state. */
export interface EngineFleet {
  engines(): readonly EngineSnapshot[];
  /** Applies a state that was returned by another call. */
  observe(state: EngineState): void;
  /** Marks an engine unusable until its next successful read. */
  reportLost(engine: string): void;
  /** Counts an attempt on each engine; returns a function that ends it. */
  occupy(engines: readonly string[]): () => void;
  stop(): void;
}

/** Receives notices of changes that other instances detected. */
export interface EngineNoticeReceiver {
  /**
   * Schedules a read of these engines. A notice carries no state, since notices
   * may be reordered, and may come from an instance cut off from the engine.
   */
  recheck(engines: readonly string[]): void;
}

export interface EngineFleetOptions {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
  /** Engines to use and to watch; by default, all engines are watched. */
  readonly subset?: () => EngineSubset;
  /**
   * Called when a watched engine is lost or recovers, or when the part of its
   * state that matters for routing has changed.
   */
  readonly onChanged?: (engine: string) => void;
}

interface Entry {
  readonly settings: EngineSettings;
  state: EngineState | null;
  lastStateAt: number;
  inFlight: number;
  isReading: boolean;
  /** Consecutive failed reads; at least 1 after a reported loss. */
  failures: number;
  nextReadAt: number;
}

/** Starts to poll the state of each used engine. */
export function createEngineFleet(
  options: EngineFleetOptions,
): EngineFleet & EngineNoticeReceiver {
  const entries = new Map<string, Entry>(
    options.engines.map((settings) => [settings.id, createEntry(settings)]),
  );
  const allIds = new Set(entries.keys());
  const wholeSubset = { used: allIds, watched: allIds, isWhole: true };
  let subset: EngineSubset = wholeSubset;
  let watchIntervalMs = MIN_READ_INTERVAL_MS;
  let fallbackIntervalMs = MIN_READ_INTERVAL_MS;
  const timer = setInterval(readDue, MIN_READ_INTERVAL_MS);
  readDue();

  function readDue(): void {
    updateSubset();
    // Timers fire slightly early or late. The tolerance of half a tick keeps an
    // engine that is due now from waiting for the next tick.
    const due = performance.now() + MIN_READ_INTERVAL_MS / 2;
    for (const id of subset.used) {
      const entry = entries.get(id);
      if (!entry || entry.isReading || entry.nextReadAt > due) continue;
      void refresh(entry);
    }
  }

  function updateSubset(): void {
    const next = options.subset?.() ?? wholeSubset;
    if (next === subset) return;
    for (const id of next.watched) {
      if (!isWatched(id)) startWatching(id);
    }
    subset = next;
    if (next.isWhole) return;
    const others = next.used.size - next.watched.size;
    const watchBudget = { bytesPerSecond: WATCH_BYTES_PER_SECOND };
    watchIntervalMs = Math.min(
      MAX_WATCH_INTERVAL_MS,
      readIntervalMs(next.watched.size, watchBudget),
    );
    fallbackIntervalMs = readIntervalMs(others, {
      bytesPerSecond: FALLBACK_BYTES_PER_SECOND,
    });
  }

  /**
   * Schedules an immediate read. An engine without failures stays usable until
   * then, although its last state may be older than watching allows.
   */
  function startWatching(id: string): void {
    const entry = entries.get(id);
    if (!entry) return;
    entry.nextReadAt = 0;
    if (entry.failures === 0 && entry.state)
      entry.lastStateAt = performance.now();
  }

  async function refresh(entry: Entry): Promise<void> {
    entry.isReading = true;
    // Set before the call, so that a slow response does not delay later reads.
    entry.nextReadAt = performance.now() + intervalOf(entry);
    const state = await options.client.readState(entry.settings.address);
    entry.isReading = false;
    if (state) applyState(entry, state);
    else recordFailure(entry);
  }

  function intervalOf(entry: Entry): number {
    const { failures, settings } = entry;
    const intervalMs = isWatched(settings.id)
      ? watchIntervalMs
      : fallbackIntervalMs;
    if (failures === 0) return intervalMs;
    const retryMs = MIN_READ_INTERVAL_MS * 2 ** Math.min(failures, 8);
    return Math.min(intervalMs, MAX_RETRY_INTERVAL_MS, retryMs);
  }

  function isWatched(engine: string): boolean {
    return subset.watched.has(engine);
  }

  function applyState(entry: Entry, state: EngineState): void {
    if (!isUsable(entry)) {
      log.info("engine_heard", { engine: entry.settings.id });
    }
    const mustNotify = entry.failures > 0 || hasChanged(entry.state, state);
    entry.state = state;
    entry.lastStateAt = performance.now();
    entry.failures = 0;
    if (mustNotify) notifyChange(entry);
  }

  function recordFailure(entry: Entry): void {
    entry.failures += 1;
    if (entry.failures === 1) notifyChange(entry);
  }

  function notifyChange({ settings }: Entry): void {
    if (!subset.isWhole && isWatched(settings.id)) {
      options.onChanged?.(settings.id);
    }
  }

  /**
   * Whether new work may go to an engine. A watched engine is read often and
   * becomes unusable when its state is stale. Other engines are read too rarely
   * for that: failed calls, or failed reads after a watcher's notice, show that
   * such an engine is lost.
   */
  function isUsable(entry: Entry): boolean {
    if (entry.state === null || entry.state.leaving) return false;
    const sinceStateMs = performance.now() - entry.lastStateAt;
    if (sinceStateMs === Infinity) return false;
    if (!isWatched(entry.settings.id)) return entry.failures === 0;
    return (
      sinceStateMs < STALE_AFTER_MS + watchIntervalMs - MIN_READ_INTERVAL_MS
    );
  }

  return {
    engines: () =>
      [...subset.used]
        .flatMap((id) => entries.get(id) ?? [])
        .map((entry) => ({
          settings: entry.settings,
          state: entry.state,
          usable: isUsable(entry),
          inFlight: entry.inFlight,
        })),
    observe(state) {
      const entry = entries.get(state.engine);
      if (entry) applyState(entry, state);
    },
    reportLost(engine) {
      const entry = entries.get(engine);
      if (!entry) return;
      entry.lastStateAt = -Infinity;
      entry.failures = Math.max(1, entry.failures);
      entry.nextReadAt = 0;
      log.warn("engine_lost", { engine });
    },
    recheck(engines) {
      for (const id of engines) {
        const entry = entries.get(id);
        if (!entry) continue;
        const recheckAt = performance.now() + Math.random() * NOTICE_JITTER_MS;
        entry.nextReadAt = Math.min(entry.nextReadAt, recheckAt);
      }
    },
    occupy(engines) {
      const occupied = engines.flatMap((id) => entries.get(id) ?? []);
      for (const entry of occupied) entry.inFlight += 1;
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        for (const entry of occupied) entry.inFlight -= 1;
      };
    },
    stop: () => clearInterval(timer),
  };
}

function createEntry(settings: EngineSettings): Entry {
  return {
    settings,
    state: null,
    lastStateAt: -Infinity,
    inFlight: 0,
    isReading: false,
    failures: 0,
    nextReadAt: 0,
  };
}

/** Whether others need a notice; load and running work are not compared. */
function hasChanged(before: EngineState | null, after: EngineState): boolean {
  return before !== null && routingState(before) !== routingState(after);
}

function routingState(state: EngineState): string {
  const { incarnation, leaving, held, adapters } = state;
  return JSON.stringify([incarnation, leaving, held, adapters]);
}
