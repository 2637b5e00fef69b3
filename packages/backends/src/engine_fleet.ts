/** What this instance knows of the engines it may use. */
import type { EngineSettings, EngineState } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import type { EngineClient } from "./engine_client.ts";
import type { EngineSubset } from "./engine_subset.ts";
import { readIntervalMs, SHORTEST_INTERVAL_MS } from "./read_interval.ts";

/** After this long without an answer, nothing new goes to an engine. */
const STALE_AFTER_MS = 2_000;
/** A third of what control may use on a node goes to watched engines. */
const WATCH_BYTES_PER_SECOND = 1_000;
/**
 * Watched engines are read no later than this, whatever the budget says: with
 * few instances, each watches many engines, and one that leaves would get new
 * work until its turn came.
 */
const LONGEST_WATCH_MS = 4_000;
/** Reads of other used engines only make up for a lost notice. */
const FALLBACK_BYTES_PER_SECOND = 250;
/** Longest time between reads of an engine that is lost. */
const LONGEST_RETRY_MS = 8_000;
/** A notice reaches all instances at once; their reads are spread. */
const SPREAD_MS = 500;

const log = createLogger("backends");

/** One engine, as last heard. */
export interface KnownEngine {
  readonly settings: EngineSettings;
  /** `null` until the engine has answered once. */
  readonly state: EngineState | null;
  /** Whether new work may go to the engine. */
  readonly usable: boolean;
  /** Attempts of this instance that run on the engine. */
  readonly inFlight: number;
}

/** The engines that this instance uses, with facts about each. */
export interface EngineFleet {
  engines(): readonly KnownEngine[];
  /** Takes in a state that another call brought. */
  observe(state: EngineState): void;
  /** Marks an engine as not to be used until it answers again. */
  reportLost(engine: string): void;
  /** Counts an attempt on each engine; returns how to end the count. */
  occupy(engines: readonly string[]): () => void;
  stop(): void;
}

/** Takes notices of changes that other instances found. */
export interface EngineNoticeTaker {
  /**
   * Reads these engines again soon. A notice carries no state: two of them
   * may come in the wrong order, and one may come from a cut-off instance.
   */
  recheck(engines: readonly string[]): void;
}

export interface EngineFleetOptions {
  readonly engines: readonly EngineSettings[];
  readonly client: EngineClient;
  /** What to use and to watch; without it, all engines are watched. */
  readonly subset?: () => EngineSubset;
  /** Called when a watched engine has changed what may be asked of it. */
  readonly onChanged?: (engine: string) => void;
}

interface Entry {
  readonly settings: EngineSettings;
  state: EngineState | null;
  heardAt: number;
  inFlight: number;
  isReading: boolean;
  /** Unanswered reads in a row, or lost calls. */
  failures: number;
  nextReadAt: number;
}

/** Starts to read the state of each engine that is used. */
export function createEngineFleet(
  options: EngineFleetOptions,
): EngineFleet & EngineNoticeTaker {
  const entries = new Map<string, Entry>(
    options.engines.map((settings) => [settings.id, newEntry(settings)]),
  );
  const all = new Set(entries.keys());
  const everything = { used: all, watched: all, isWhole: true };
  let subset: EngineSubset = everything;
  let watchMs = SHORTEST_INTERVAL_MS;
  let fallbackMs = SHORTEST_INTERVAL_MS;
  const timer = setInterval(readDue, SHORTEST_INTERVAL_MS);
  readDue();

  function readDue(): void {
    followSubset();
    // Timers fire a little early or late; half a tick keeps an engine that is
    // due now from waiting for the next one.
    const due = performance.now() + SHORTEST_INTERVAL_MS / 2;
    for (const id of subset.used) {
      const entry = entries.get(id);
      if (!entry || entry.isReading || entry.nextReadAt > due) continue;
      void refresh(entry);
    }
  }

  function followSubset(): void {
    const next = options.subset?.() ?? everything;
    if (next === subset) return;
    for (const id of next.watched) {
      if (!isWatched(id)) beginToWatch(id);
    }
    subset = next;
    if (next.isWhole) return;
    const others = next.used.size - next.watched.size;
    const watchBudget = { bytesPerSecond: WATCH_BYTES_PER_SECOND };
    watchMs = Math.min(
      LONGEST_WATCH_MS,
      readIntervalMs(next.watched.size, watchBudget),
    );
    fallbackMs = readIntervalMs(others, {
      bytesPerSecond: FALLBACK_BYTES_PER_SECOND,
    });
  }

  /** Its last word may be old, but nothing has spoken against it since. */
  function beginToWatch(id: string): void {
    const entry = entries.get(id);
    if (!entry) return;
    entry.nextReadAt = 0;
    if (entry.failures === 0 && entry.state) entry.heardAt = performance.now();
  }

  async function refresh(entry: Entry): Promise<void> {
    entry.isReading = true;
    // Set before the call, so that a slow answer delays no later read.
    entry.nextReadAt = performance.now() + intervalOf(entry);
    const state = await options.client.readState(entry.settings.address);
    entry.isReading = false;
    if (state) take(entry, state);
    else failed(entry);
  }

  function intervalOf(entry: Entry): number {
    const { failures, settings } = entry;
    const usualMs = isWatched(settings.id) ? watchMs : fallbackMs;
    if (failures === 0) return usualMs;
    const retryMs = SHORTEST_INTERVAL_MS * 2 ** Math.min(failures, 8);
    return Math.min(usualMs, LONGEST_RETRY_MS, retryMs);
  }

  function isWatched(engine: string): boolean {
    return subset.watched.has(engine);
  }

  function take(entry: Entry, state: EngineState): void {
    if (!isUsable(entry)) {
      log.info("engine_heard", { engine: entry.settings.id });
    }
    const isNews = entry.failures > 0 || hasChanged(entry.state, state);
    entry.state = state;
    entry.heardAt = performance.now();
    entry.failures = 0;
    if (isNews) tell(entry);
  }

  function failed(entry: Entry): void {
    entry.failures += 1;
    if (entry.failures === 1) tell(entry);
  }

  function tell({ settings }: Entry): void {
    if (!subset.isWhole && isWatched(settings.id)) {
      options.onChanged?.(settings.id);
    }
  }

  /**
   * Silence makes a watched engine unusable, since it is read often. Others
   * are read so seldom that silence says nothing: calls that fail, or the
   * read that a watcher's notice causes, show that one is lost.
   */
  function isUsable(entry: Entry): boolean {
    if (entry.state === null || entry.state.leaving) return false;
    const silentMs = performance.now() - entry.heardAt;
    if (silentMs === Infinity) return false;
    if (!isWatched(entry.settings.id)) return entry.failures === 0;
    return silentMs < STALE_AFTER_MS + watchMs - SHORTEST_INTERVAL_MS;
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
      if (entry) take(entry, state);
    },
    reportLost(engine) {
      const entry = entries.get(engine);
      if (!entry) return;
      entry.heardAt = -Infinity;
      entry.failures = Math.max(1, entry.failures);
      entry.nextReadAt = 0;
      log.warn("engine_lost", { engine });
    },
    recheck(engines) {
      for (const id of engines) {
        const entry = entries.get(id);
        if (!entry) continue;
        const soon = performance.now() + Math.random() * SPREAD_MS;
        entry.nextReadAt = Math.min(entry.nextReadAt, soon);
      }
    },
    occupy(engines) {
      const taken = engines.flatMap((id) => entries.get(id) ?? []);
      for (const entry of taken) entry.inFlight += 1;
      let ended = false;
      return () => {
        if (ended) return;
        ended = true;
        for (const entry of taken) entry.inFlight -= 1;
      };
    },
    stop: () => clearInterval(timer),
  };
}

function newEntry(settings: EngineSettings): Entry {
  return {
    settings,
    state: null,
    heardAt: -Infinity,
    inFlight: 0,
    isReading: false,
    failures: 0,
    nextReadAt: 0,
  };
}

/** Whether other instances have to know; load and what runs are not sent. */
function hasChanged(before: EngineState | null, after: EngineState): boolean {
  return before !== null && routable(before) !== routable(after);
}

function routable(state: EngineState): string {
  const { incarnation, leaving, held, adapters } = state;
  return JSON.stringify([incarnation, leaving, held, adapters]);
}
