/** Service levels: what each instance counts, and what a report says. */
import { z } from "zod";
import { nameSchema } from "./names.ts";

/** What can meet its objective or miss it. */
export const objectiveSchema = z.enum([
  /** The first token of an answer came in time. */
  "firstToken",
  /** A token came in time after the one before. */
  "betweenTokens",
  /** A booking ended with a known outcome. */
  "booking",
  /** The instance applied a new note in time. */
  "note",
]);
export type Objective = z.infer<typeof objectiveSchema>;

/** Events of one window, and those of them that missed the objective. */
export const eventCountSchema = z.object({
  total: z.number().int().nonnegative(),
  missed: z.number().int().nonnegative(),
});
export type EventCount = z.infer<typeof eventCountSchema>;

/** Name of the series that takes in what has none of its own. */
export const REST = "(rest)";

/** Organisation and name of what belongs to the whole instance. */
export const ALL = "(all)";

/** Counts of one organisation and one model or service. */
export const levelSeriesSchema = z.object({
  objective: objectiveSchema,
  /** `(rest)` for all that have no series of their own; `(all)` for notes. */
  organisation: z.string(),
  /** Model or service; `(rest)` or `(all)` likewise. */
  name: z.string(),
  /** The last five minutes. */
  fast: eventCountSchema,
  /** The last hour. */
  slow: eventCountSchema,
});
export type LevelSeries = z.infer<typeof levelSeriesSchema>;

/** One instance's counts, as `GET /v1/service-levels` gives them. */
export const serviceLevelsSchema = z.object({
  instance: nameSchema,
  failureDomain: nameSchema,
  /** How long the instance has counted, at most the slow window. */
  countedSeconds: z.number().nonnegative(),
  /** Target share of each objective. */
  targets: z.record(objectiveSchema, z.number()),
  series: z.array(levelSeriesSchema),
  /** Events of the slow window by minute, the oldest first. */
  minutes: z.record(objectiveSchema, z.array(eventCountSchema)),
});
export type ServiceLevels = z.infer<typeof serviceLevelsSchema>;
