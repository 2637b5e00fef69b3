/** The administration API, which the command line speaks. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { nameSchema, noteNumberSchema } from "./names.ts";

/** How far a note has come. */
export const notePhaseSchema = z.enum(["recorded", "accepted", "in_force"]);
export type NotePhase = z.infer<typeof notePhaseSchema>;

/** Status of one note, with what is still missing, by name. */
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

/** Answer to a publish. */
export const publishAnswerSchema = z.object({
  number: noteNumberSchema,
  phase: notePhaseSchema,
  /** Whether an earlier try with the same publish id had recorded it. */
  repeated: z.boolean(),
});
export type PublishAnswer = z.infer<typeof publishAnswerSchema>;

/** The list of notes, newest first. */
export const historySchema = z.object({ notes: z.array(noteRecordSchema) });

/** A line of a note, whatever it tells of. */
const shownLineSchema = z.record(z.string(), z.unknown());

/**
 * A note as it is shown, from either source: one that operators published
 * here, or a configuration of the platform told as a note.
 */
export const shownNoteSchema = z.looseObject({
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
export type ShownNote = z.infer<typeof shownNoteSchema>;

/** Notes as they are shown, newest first. */
export const shownHistorySchema = z.object({
  notes: z.array(shownNoteSchema),
});

/** One instance, as the answering instance sees it. */
export const instanceViewSchema = z.object({
  id: nameSchema,
  failureDomain: nameSchema,
  state: z.enum(["alive", "suspect", "left"]),
  note: noteNumberSchema,
  draining: z.boolean(),
  load: z.number(),
  /** Milliseconds since the instance was last heard. */
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
});
export type Status = z.infer<typeof statusSchema>;

/** Where a decision stands: a line of a recorded note. */
export const noteLineReferenceSchema = z.object({
  /** Number of the note. */
  number: noteNumberSchema,
  /** Place in the note, such as `withdrawn[0]`. */
  line: z.string(),
  reason: z.string(),
});
export type NoteLineReference = z.infer<typeof noteLineReferenceSchema>;

/** Why a model or service is answered or not, as one instance sees it. */
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
  /** The line that decides; absent for what no note names. */
  decidedBy: noteLineReferenceSchema.optional(),
  message: z.string(),
});
export type Explain = z.infer<typeof explainSchema>;

/** One thing that two notes treat differently. */
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

/** What changes between the state of one note and that of another. */
export const noteDiffSchema = z.object({
  from: noteNumberSchema,
  to: noteNumberSchema,
  changes: z.array(noteChangeSchema),
});
export type NoteDiff = z.infer<typeof noteDiffSchema>;

/** Whether a note could be published now; nothing is recorded. */
export const noteCheckSchema = z.object({
  valid: z.boolean(),
  /** The note in use that the check was made against. */
  against: noteNumberSchema,
  problems: z.array(z.object({ line: z.string(), message: z.string() })),
  /** What the note would change; empty if it is not valid. */
  changes: z.array(noteChangeSchema),
});
export type NoteCheck = z.infer<typeof noteCheckSchema>;
