/** The administration API, which the command line uses. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { nameSchema, noteNumberSchema } from "./names.ts";

/** How far the rollout of a note has progressed. */
export const notePhaseSchema = z.enum(["recorded", "accepted", "in_force"]);
export type NotePhase = z.infer<typeof notePhaseSchema>;

/** Rollout status of one note, for each instance and engine. */
export const noteStatusSchema = z.object({
  number: noteNumberSchema,
  phase: notePhaseSchema,
  instances: z.array(
    z.object({
      id: nameSchema,
      failureDomain: nameSchema,
      state: z.enum(["confirmed", "behind", "unheard", "stopped"]),
      applied: noteNumberSchema,
      detail: z.string(),
    }),
  ),
  engines: z.array(
    z.object({
      id: nameSchema,
      failureDomain: nameSchema,
      state: z.enum(["confirmed", "behind", "unheard"]),
      detail: z.string(),
    }),
  ),
});
export type NoteStatus = z.infer<typeof noteStatusSchema>;

/** Response to a publish request. */
export const publishAnswerSchema = z.object({
  number: noteNumberSchema,
  phase: notePhaseSchema,
  /** Whether an earlier request with the same publish id recorded the note. */
  repeated: z.boolean(),
});
export type PublishAnswer = z.infer<typeof publishAnswerSchema>;

/** Recorded notes, newest first. */
export const historySchema = z.object({ notes: z.array(noteRecordSchema) });

/** An entry of a note's list, of any kind. */
const shownLineSchema = z.record(z.string(), z.unknown());

/**
 * A note as it is displayed, from either source: published by operators here,
 * or converted from a configuration of the platform.
 */
export const displayedNoteSchema = z.looseObject({
  number: noteNumberSchema,
  recordedAt: z.number(),
  recordedBy: nameSchema,
  note: z.looseObject({
    supersedes: noteNumberSchema,
    reason: z.string(),
    publishId: z.string().optional(),
    added: z.array(shownLineSchema),
    changed: z.array(shownLineSchema),
    withdrawn: z.array(shownLineSchema),
  }),
});
export type DisplayedNote = z.infer<typeof displayedNoteSchema>;

/** Notes as they are displayed, newest first. */
export const displayedHistorySchema = z.object({
  notes: z.array(displayedNoteSchema),
});

/** One instance, as the answering instance sees it. */
export const instanceViewSchema = z.object({
  id: nameSchema,
  failureDomain: nameSchema,
  state: z.enum(["alive", "suspect", "left"]),
  note: noteNumberSchema,
  draining: z.boolean(),
  load: z.number(),
  /** Time since the last message from the instance, in milliseconds. */
  heardAgoMs: z.number(),
});
export type InstanceView = z.infer<typeof instanceViewSchema>;

/** One backend server, as the answering instance sees it. */
export const backendViewSchema = z.object({
  id: nameSchema,
  kind: z.enum(["engine", "service"]),
  name: nameSchema,
  failureDomain: nameSchema,
  state: z.enum(["ready", "leaving", "unreachable"]),
  holds: z.array(z.string()),
  inFlight: z.number(),
  load: z.number(),
});
export type BackendView = z.infer<typeof backendViewSchema>;

/** Limit of one class of a model's requests. */
export const classLevelViewSchema = z.object({
  service: nameSchema,
  /** 0 is the most urgent. */
  priority: z.number(),
  /** Share of each engine's memory up to which requests are admitted. */
  loadLimit: z.number(),
  /** Share of the capacity that is reserved for more urgent classes. */
  reserve: z.number(),
});
export type ClassLevelView = z.infer<typeof classLevelViewSchema>;

/** Demand of one class in a failure domain, in tokens. */
export const classDemandViewSchema = z.object({
  service: nameSchema,
  failureDomain: nameSchema,
  priority: z.number(),
  arrivingPerSecond: z.number(),
  waiting: z.number(),
  held: z.number(),
});
export type ClassDemandView = z.infer<typeof classDemandViewSchema>;

/** A part of prompts that ends engines, and whose requests are refused. */
export const quarantinedPartSchema = z.object({
  service: nameSchema,
  part: z.string(),
  /** Engines that have ended under it. */
  engines: z.array(z.string()),
  /** In milliseconds since the epoch. */
  since: z.number(),
  /** Requests that were sent since, to find out whether it still holds. */
  trials: z.number(),
  /**
   * When the next one may be sent, in milliseconds since the epoch; `null` if
   * an operator has to release the part.
   */
  nextTrialAt: z.number().nullable(),
});
export type QuarantinedPart = z.infer<typeof quarantinedPartSchema>;

/** Body of the call that releases a part. */
export const releasePartSchema = z.object({
  service: nameSchema,
  part: z.string().min(1),
});

/** Status of a deployment as one instance sees it. */
export const statusSchema = z.object({
  deployment: nameSchema,
  instance: nameSchema,
  /** Start of the process, in milliseconds since the epoch. */
  startedAt: z.number(),
  note: noteNumberSchema,
  phase: notePhaseSchema.or(z.literal("none")),
  instances: z.array(instanceViewSchema),
  backends: z.array(backendViewSchema),
  /** Absent if no model has requests of at least two classes. */
  classLevels: z.array(classLevelViewSchema).optional(),
  /** Failure domains of which the demand isn't known are left out. */
  demand: z.array(classDemandViewSchema).optional(),
  /** Absent if no part of prompts is in quarantine. */
  quarantine: z.array(quarantinedPartSchema).optional(),
});
export type Status = z.infer<typeof statusSchema>;

/** The entry of a recorded note that decides something. */
export const noteLineReferenceSchema = z.object({
  /** Number of the note. */
  number: noteNumberSchema,
  /** Path of the entry in the note, such as `withdrawn[0]`. */
  line: z.string(),
  reason: z.string(),
});
export type NoteLineReference = z.infer<typeof noteLineReferenceSchema>;

/** Why one instance does or does not serve a model or service. */
export const explainSchema = z.object({
  /** The note that the answering instance applies; 0 for none. */
  number: noteNumberSchema,
  subject: z.object({
    kind: z.enum(["model", "service"]),
    name: nameSchema,
    adapter: nameSchema.optional(),
  }),
  verdict: z.enum(["answered", "withdrawn", "unknown", "no_note"]),
  /** The version that answers new requests. */
  version: nameSchema.optional(),
  /** The deciding entry; absent if no note names the model or service. */
  decidedBy: noteLineReferenceSchema.optional(),
  message: z.string(),
});
export type Explain = z.infer<typeof explainSchema>;

/** One difference between the catalogues of two notes. */
export const noteChangeSchema = z.object({
  kind: z.enum(["version", "adapter", "service", "serve"]),
  model: nameSchema.optional(),
  name: z.string(),
  change: z.enum(["added", "removed", "changed"]),
  /** State before and after, for `changed`. */
  before: z.string().optional(),
  after: z.string().optional(),
});
export type NoteChange = z.infer<typeof noteChangeSchema>;

/** Differences between the catalogues of two notes. */
export const noteDiffSchema = z.object({
  from: noteNumberSchema,
  to: noteNumberSchema,
  changes: z.array(noteChangeSchema),
});
export type NoteDiff = z.infer<typeof noteDiffSchema>;

/** Result of a dry run of publishing a note; nothing is recorded. */
export const noteCheckSchema = z.object({
  valid: z.boolean(),
  /** Number of the note in use that the check compared with. */
  against: noteNumberSchema,
  problems: z.array(z.object({ line: z.string(), message: z.string() })),
  /** What the note would change; empty if it is not valid. */
  changes: z.array(noteChangeSchema),
});
export type NoteCheck = z.infer<typeof noteCheckSchema>;
