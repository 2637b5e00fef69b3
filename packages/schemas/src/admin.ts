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
