/** Windowed counts of events that met or missed their objective. */
import {
  type EventCount,
  type LevelSeries,
  type Objective,
  objectiveSchema,
  REST,
  type ServiceLevels,
} from "@rosemarypin/schemas";

const MINUTE_MS = 60_000;
/** Minutes of the slow window; one more slot is being filled. */
const SLOW_MINUTES = 60;
const FAST_MINUTES = 5;
/** Series that one instance keeps; 1.6 MB by measurement. */
const LARGEST_SERIES_COUNT = 1_024;
/** Series that stay when room has to be made. */
const KEPT_SERIES_COUNT = 768;

/** What an event belongs to. */
export interface LevelKey {
  readonly objective: Objective;
  readonly organisation: string;
  readonly name: string;
}

/** Counts events; forgets them after the slow window. */
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

/** Creates a counter with nothing in it. */
export function createServiceLevels(
  options: ServiceLevelOptions,
): ServiceLevelCounter {
  const startedAt = performance.now();
  const series = new Map<string, Series>();
  const totals = createTotals();

  function seriesOf(key: LevelKey): Series {
    const id = idOf(key);
    const known = series.get(id);
    if (known) return known;
    if (series.size >= LARGEST_SERIES_COUNT) makeRoom();
    return add(key);
  }

  function add(key: LevelKey): Series {
    const added = { ...key, window: createMinuteWindow() };
    series.set(idOf(key), added);
    return added;
  }

  /**
   * 6,400 organisations and 16 models could make a hundred thousand series.
   * The smallest go into the rest, so that the largest, and any that begins
   * now, have counts of their own and nothing is lost from the sums.
   */
  function makeRoom(): void {
    const bySize = [...series.values()]
      .filter(({ organisation }) => organisation !== REST)
      .map((entry) => ({ entry, size: entry.window.sum(SLOW_MINUTES).total }))
      .sort((a, b) => b.size - a.size);
    for (const { entry } of bySize.slice(KEPT_SERIES_COUNT)) {
      series.delete(idOf(entry));
      const key = { ...entry, organisation: REST, name: REST };
      const rest = series.get(idOf(key)) ?? add(key);
      rest.window.addAll(entry.window);
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
      seriesOf(key).window.add(met);
      totals[key.objective].add(met);
    },
    read() {
      const elapsed = (performance.now() - startedAt) / 1_000;
      return {
        instance: options.instance,
        failureDomain: options.failureDomain,
        countedSeconds: Math.min(elapsed, SLOW_MINUTES * 60),
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

/** Counts of the last minutes, in a ring. */
interface MinuteWindow {
  add(met: boolean): void;
  addAll(other: MinuteWindow): void;
  /** Counts of the last minutes, the one in progress included. */
  sum(minutes: number): EventCount;
  /** Counts by minute, the oldest first. */
  minutes(): EventCount[];
}

function createMinuteWindow(): MinuteWindow {
  const total = new Uint32Array(SLOW_MINUTES);
  const missed = new Uint32Array(SLOW_MINUTES);
  let latest = currentMinute();

  /** Empties the slots of minutes that passed with no event. */
  function advance(): void {
    const now = currentMinute();
    const passed = Math.min(now - latest, SLOW_MINUTES);
    for (let step = 1; step <= passed; step++) {
      const slot = (now - passed + step) % SLOW_MINUTES;
      total[slot] = 0;
      missed[slot] = 0;
    }
    latest = Math.max(latest, now);
  }

  function at(minutesAgo: number): EventCount {
    const slot = (latest - minutesAgo) % SLOW_MINUTES;
    return { total: total[slot] ?? 0, missed: missed[slot] ?? 0 };
  }

  function addCounts(minutesAgo: number, counts: EventCount): void {
    const slot = (latest - minutesAgo) % SLOW_MINUTES;
    total[slot] = (total[slot] ?? 0) + counts.total;
    missed[slot] = (missed[slot] ?? 0) + counts.missed;
  }

  function list(minutes: number): EventCount[] {
    advance();
    return Array.from({ length: minutes }, (_, ago) => at(ago));
  }

  return {
    add(met) {
      advance();
      addCounts(0, { total: 1, missed: met ? 0 : 1 });
    },
    addAll(other) {
      advance();
      const newestFirst = other.minutes().reverse();
      for (const [ago, counts] of newestFirst.entries()) {
        addCounts(ago, counts);
      }
    },
    sum: (minutes) =>
      list(minutes).reduce((sum, counts) => ({
        total: sum.total + counts.total,
        missed: sum.missed + counts.missed,
      })),
    minutes: () => list(SLOW_MINUTES).reverse(),
  };
}

/** Minutes of a clock that never goes back, from a start that is large. */
function currentMinute(): number {
  return SLOW_MINUTES + Math.floor(performance.now() / MINUTE_MS);
}

function createTotals(): Record<Objective, MinuteWindow> {
  const entries = objectiveSchema.options.map(
    (objective) => [objective, createMinuteWindow()] as const,
  );
  return Object.fromEntries(entries) as Record<Objective, MinuteWindow>;
}

function idOf({ objective, organisation, name }: LevelKey): string {
  return `${objective} ${organisation} ${name}`;
}
