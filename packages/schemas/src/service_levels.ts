/** Service levels: the event counts of each instance by objective. */
import { z } from "zod";
import { nameSchema } from "./names.ts";

/** Kinds of events that meet or miss an objective. */
export const objectiveSchema = z.enum([
  /** The first token of an answer arrived in time. */
  "firstToken",
  /** A token arrived in time after the previous one. */
  "betweenTokens",
  /** A booking ended with a known outcome. */
  "booking",
  /** The instance applied a new note in time. */
  "note",
]);
export type Objective = z.infer<typeof objectiveSchema>;

/** Number of events in a window, and how many missed the objective. */
export const eventCountSchema = z.object({
  total: z.number().int().nonnegative(),
  missed: z.number().int().nonnegative(),
});
export type EventCount = z.infer<typeof eventCountSchema>;

/** Organisation and name of the series for events without their own series. */
export const OTHER_SERIES_NAME = "(rest)";

/** Organisation and name of the series of events of the whole instance. */
export const WHOLE_INSTANCE_NAME = "(all)";

/** Event counts of one organisation and one model or service. */
export const levelSeriesSchema = z.object({
  objective: objectiveSchema,
  /** `(rest)` for organisations without their own series; `(all)` for notes. */
  organisation: z.string(),
  /** Model or service; `(rest)` or `(all)` as in `organisation`. */
  name: z.string(),
  /** Counts of the last five minutes. */
  fast: eventCountSchema,
  /** Counts of the last hour. */
  slow: eventCountSchema,
});
export type LevelSeries = z.infer<typeof levelSeriesSchema>;

/** Event counts of one instance, as `GET /v1/service-levels` returns them. */
export const serviceLevelsSchema = z.object({
  instance: nameSchema,
  failureDomain: nameSchema,
  /** How long the instance has counted events, up to the slow window. */
  countedSeconds: z.number().nonnegative(),
  /** Target share of each objective. */
  targets: z.record(objectiveSchema, z.number()),
  series: z.array(levelSeriesSchema),
  /** Events of the slow window by minute, the oldest first. */
  minutes: z.record(objectiveSchema, z.array(eventCountSchema)),
});
export type ServiceLevels = z.infer<typeof serviceLevelsSchema>;
