/** Counts events that met or missed their objective in sliding windows. */
import {
  type EventCount,
  type LevelSeries,
  type Objective,
  OTHER_SERIES_NAME,
  objectiveSchema,
  type ServiceLevels,
} from "@rosemarypin/schemas";

const MINUTE_MS = 60_000;
/** Length of the slow window, the current minute included. */
const SLOW_MINUTES = 60;
const FAST_MINUTES = 5;
/** Maximum number of series of an instance; 1,024 series take 1.6 MB. */
const MAX_SERIES_COUNT = 1_024;
/** Number of the largest series that a merge at the maximum keeps. */
const SERIES_COUNT_AFTER_MERGE = 768;

/** Identifies the series that an event is counted in. */
export interface LevelKey {
  readonly objective: Objective;
  readonly organisation: string;
  readonly name: string;
}

/** Counts events and discards them after the slow window. */
export interface ServiceLevelCounter {
  count(key: LevelKey, met: boolean): void;
  read(): ServiceLevels;
}

export interface ServiceLevelOptions {
  readonly instance: string;
  readonly failureDomain: string;
  readonly targets: Readonly<Record<Objective, number>>;
}

interface Series extends LevelKey {
  readonly window: MinuteWindow;
}

/** Creates an empty counter. */
export function createServiceLevels(
  options: ServiceLevelOptions,
): ServiceLevelCounter {
  const startedAt = performance.now();
  const series = new Map<string, Series>();
  const totals = createTotals();

  function getOrAddSeries(key: LevelKey): Series {
    const id = seriesIdOf(key);
    const existing = series.get(id);
    if (existing) return existing;
    if (series.size >= MAX_SERIES_COUNT) mergeSmallestSeries();
    return addSeries(key);
  }

  function addSeries(key: LevelKey): Series {
    const added = { ...key, window: createMinuteWindow() };
    series.set(seriesIdOf(key), added);
    return added;
  }

  /**
   * Merges the smallest series into a common one per objective, as 6,400
   * organisations and 16 models could create a hundred thousand series. The
   * largest series and new ones have separate counts, and no event is lost.
   */
  function mergeSmallestSeries(): void {
    const bySize = [...series.values()]
      .filter(({ organisation }) => organisation !== OTHER_SERIES_NAME)
      .map((entry) => ({ entry, size: entry.window.sum(SLOW_MINUTES).total }))
      .sort((a, b) => b.size - a.size);
    for (const { entry } of bySize.slice(SERIES_COUNT_AFTER_MERGE)) {
      series.delete(seriesIdOf(entry));
      const key = {
        ...entry,
        organisation: OTHER_SERIES_NAME,
        name: OTHER_SERIES_NAME,
      };
      const mergedSeries = series.get(seriesIdOf(key)) ?? addSeries(key);
      mergedSeries.window.addAll(entry.window);
    }
  }

  function readSeries(): LevelSeries[] {
    return [...series.values()]
      .map(({ objective, organisation, name, window }) => ({
        objective,
        organisation,
        name,
        fast: window.sum(FAST_MINUTES),
        slow: window.sum(SLOW_MINUTES),
      }))
      .filter(({ slow }) => slow.total > 0);
  }

  return {
    count(key, met) {
      getOrAddSeries(key).window.add(met);
      totals[key.objective].add(met);
    },
    read() {
      const elapsedSeconds = (performance.now() - startedAt) / 1_000;
      return {
        instance: options.instance,
        failureDomain: options.failureDomain,
        countedSeconds: Math.min(elapsedSeconds, SLOW_MINUTES * 60),
        targets: { ...options.targets },
        series: readSeries(),
        minutes: {
          firstToken: totals.firstToken.minutes(),
          betweenTokens: totals.betweenTokens.minutes(),
          booking: totals.booking.minutes(),
          note: totals.note.minutes(),
        },
      };
    },
  };
}

/** Counts per minute of the slow window, in a ring buffer. */
interface MinuteWindow {
  add(met: boolean): void;
  /** Adds the counts of another window minute by minute. */
  addAll(other: MinuteWindow): void;
  /** Sum of the last `minutes` minutes, the current one included. */
  sum(minutes: number): EventCount;
  /** Counts per minute of the slow window, oldest first. */
  minutes(): EventCount[];
}

function createMinuteWindow(): MinuteWindow {
  const total = new Uint32Array(SLOW_MINUTES);
  const missed = new Uint32Array(SLOW_MINUTES);
  let latestMinute = currentMinute();

  /** Clears the slots of the minutes that began since the last call. */
  function advance(): void {
    const now = currentMinute();
    const passedMinutes = Math.min(now - latestMinute, SLOW_MINUTES);
    for (let step = 1; step <= passedMinutes; step++) {
      const slot = (now - passedMinutes + step) % SLOW_MINUTES;
      total[slot] = 0;
      missed[slot] = 0;
    }
    latestMinute = Math.max(latestMinute, now);
  }

  function countsAt(minutesAgo: number): EventCount {
    const slot = (latestMinute - minutesAgo) % SLOW_MINUTES;
    return { total: total[slot] ?? 0, missed: missed[slot] ?? 0 };
  }

  function addCounts(minutesAgo: number, counts: EventCount): void {
    const slot = (latestMinute - minutesAgo) % SLOW_MINUTES;
    total[slot] = (total[slot] ?? 0) + counts.total;
    missed[slot] = (missed[slot] ?? 0) + counts.missed;
  }

  function readLatestMinutes(minutes: number): EventCount[] {
    advance();
    return Array.from({ length: minutes }, (_, minutesAgo) =>
      countsAt(minutesAgo),
    );
  }

  return {
    add(met) {
      advance();
      addCounts(0, { total: 1, missed: met ? 0 : 1 });
    },
    addAll(other) {
      advance();
      const newestFirst = other.minutes().reverse();
      for (const [minutesAgo, counts] of newestFirst.entries()) {
        addCounts(minutesAgo, counts);
      }
    },
    sum: (minutes) =>
      readLatestMinutes(minutes).reduce((sum, counts) => ({
        total: sum.total + counts.total,
        missed: sum.missed + counts.missed,
      })),
    minutes: () => readLatestMinutes(SLOW_MINUTES).reverse(),
  };
}

/**
 * Current minute of a monotonic clock. The offset keeps `latest - minutesAgo`
 * positive.
 */
function currentMinute(): number {
  return SLOW_MINUTES + Math.floor(performance.now() / MINUTE_MS);
}

function createTotals(): Record<Objective, MinuteWindow> {
  const entries = objectiveSchema.options.map(
    (objective) => [objective, createMinuteWindow()] as const,
  );
  return Object.fromEntries(entries) as Record<Objective, MinuteWindow>;
}

function seriesIdOf({ objective, organisation, name }: LevelKey): string {
  return `${objective} ${organisation} ${name}`;
}
