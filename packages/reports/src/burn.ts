/** Sums what instances counted into error budgets and burn rates. */
import {
  type EventCount,
  eventCountSchema,
  type LevelSeries,
  type Objective,
  OTHER_SERIES_NAME,
  objectiveSchema,
  type ServiceLevels,
} from "@rosemarypin/schemas";
import { z } from "zod";

/** At this rate a budget of 30 days is gone in two. */
const FAST_BURN_RATE = 14.4;
const NO_EVENTS: EventCount = { total: 0, missed: 0 };

const burnWindowSchema = eventCountSchema.extend({
  /** 1 uses up the budget exactly; `null` without events. */
  burnRate: z.number().nullable(),
});
export type BurnWindow = z.infer<typeof burnWindowSchema>;

const burnLineSchema = z.object({
  objective: objectiveSchema,
  organisation: z.string(),
  name: z.string(),
  target: z.number(),
  fast: burnWindowSchema,
  slow: burnWindowSchema,
  /** Share of the slow window's budget that is left; negative if overspent. */
  budgetLeft: z.number().nullable(),
  state: z.enum(["no_events", "met", "burning", "burning_fast"]),
});
export type BurnLine = z.infer<typeof burnLineSchema>;

/** The whole report, as `--json` prints it. */
export const burnReportSchema = z.object({
  instances: z.array(
    z.object({
      id: z.string(),
      failureDomain: z.string(),
      countedSeconds: z.number(),
    }),
  ),
  /** Instances whose counts are not in the sums, and why. */
  missing: z.array(z.object({ instance: z.string(), reason: z.string() })),
  /** One line for each objective, over all instances. */
  objectives: z.array(burnLineSchema),
  /** The largest spenders of each objective, then all others as one. */
  series: z.array(burnLineSchema),
  /** Share of missed events by minute, the oldest first. */
  minutes: z.record(objectiveSchema, z.array(eventCountSchema)),
});
export type BurnReport = z.infer<typeof burnReportSchema>;

export interface BurnOptions {
  readonly missing: BurnReport["missing"];
  /** Series of each objective to show by name. */
  readonly top: number;
}

/** Sums the counts of all instances that answered. */
export function computeBurn(
  parts: readonly ServiceLevels[],
  options: BurnOptions,
): BurnReport {
  const series = mergeSeries(parts.flatMap((part) => part.series));
  const objectives = objectiveSchema.options;
  return {
    instances: parts.map(({ instance, failureDomain, countedSeconds }) => ({
      id: instance,
      failureDomain,
      countedSeconds: Math.round(countedSeconds),
    })),
    missing: [...options.missing],
    objectives: objectives.map((objective) => {
      const own = series.filter((entry) => entry.objective === objective);
      const sum = sumSeries(own, { objective, organisation: "", name: "" });
      return describe(sum, targetOf(parts, objective));
    }),
    series: objectives.flatMap((objective) => {
      const own = series.filter((entry) => entry.objective === objective);
      const target = targetOf(parts, objective);
      return takeTop(own, options.top).map((entry) => describe(entry, target));
    }),
    minutes: {
      firstToken: mergeMinutes(parts, "firstToken"),
      betweenTokens: mergeMinutes(parts, "betweenTokens"),
      booking: mergeMinutes(parts, "booking"),
      note: mergeMinutes(parts, "note"),
    },
  };
}

type SeriesKey = Pick<LevelSeries, "objective" | "organisation" | "name">;

function mergeSeries(all: readonly LevelSeries[]): LevelSeries[] {
  const groups = new Map<string, LevelSeries[]>();
  for (const entry of all) {
    const id = `${entry.objective} ${entry.organisation} ${entry.name}`;
    groups.set(id, [...(groups.get(id) ?? []), entry]);
  }
  return [...groups.values()].flatMap((group) => {
    const [first] = group;
    return first ? [sumSeries(group, first)] : [];
  });
}

function sumSeries(all: readonly LevelSeries[], key: SeriesKey): LevelSeries {
  const { objective, organisation, name } = key;
  return {
    objective,
    organisation,
    name,
    fast: all.map(({ fast }) => fast).reduce(addCounts, NO_EVENTS),
    slow: all.map(({ slow }) => slow).reduce(addCounts, NO_EVENTS),
  };
}

/** The series that missed most, by name; the others in one. */
function takeTop(all: readonly LevelSeries[], top: number): LevelSeries[] {
  const [first] = all;
  if (!first) return [];
  const named = all
    .filter(({ organisation }) => organisation !== OTHER_SERIES_NAME)
    .sort(
      (a, b) => b.slow.missed - a.slow.missed || b.slow.total - a.slow.total,
    );
  const shown = named.slice(0, top);
  const others = all.filter((entry) => !shown.includes(entry));
  if (others.length === 0) return shown;
  const { objective } = first;
  const key = {
    objective,
    organisation: OTHER_SERIES_NAME,
    name: OTHER_SERIES_NAME,
  };
  return [...shown, sumSeries(others, key)];
}

function describe(series: LevelSeries, target: number): BurnLine {
  const fast = burnOf(series.fast, target);
  const slow = burnOf(series.slow, target);
  return {
    ...series,
    target,
    fast,
    slow,
    budgetLeft: slow.burnRate === null ? null : 1 - slow.burnRate,
    state: stateOf(fast.burnRate, slow.burnRate),
  };
}

function burnOf(counts: EventCount, target: number): BurnWindow {
  if (counts.total === 0) return { ...counts, burnRate: null };
  const missedShare = counts.missed / counts.total;
  return { ...counts, burnRate: missedShare / (1 - target) };
}

function stateOf(fast: number | null, slow: number | null): BurnLine["state"] {
  if (slow === null) return "no_events";
  const isFast = slow >= FAST_BURN_RATE && (fast ?? 0) >= FAST_BURN_RATE;
  if (isFast) return "burning_fast";
  return slow > 1 ? "burning" : "met";
}

/** Instances with different settings would differ; the strictest counts. */
function targetOf(
  parts: readonly ServiceLevels[],
  objective: Objective,
): number {
  return Math.max(0, ...parts.map(({ targets }) => targets[objective]));
}

function mergeMinutes(
  parts: readonly ServiceLevels[],
  objective: Objective,
): EventCount[] {
  const lists = parts.map(({ minutes }) => minutes[objective]);
  const length = Math.max(0, ...lists.map((list) => list.length));
  return Array.from({ length }, (_, index) =>
    lists.map((list) => list[index] ?? NO_EVENTS).reduce(addCounts, NO_EVENTS),
  );
}

function addCounts(a: EventCount, b: EventCount): EventCount {
  return { total: a.total + b.total, missed: a.missed + b.missed };
}
