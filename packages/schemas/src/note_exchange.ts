/** What instances ask each other about release notes. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { addressSchema, nameSchema, noteNumberSchema } from "./names.ts";

/** One process of an instance, and where to ask it. */
export const instanceReferenceSchema = z.object({
  id: nameSchema,
  failureDomain: nameSchema,
  /** Start of the process in milliseconds since the epoch. */
  incarnation: z.number(),
  peer: addressSchema,
});
export type InstanceReference = z.infer<typeof instanceReferenceSchema>;

/** Parameters of `note.current`. */
export const noteRequestSchema = z.object({
  /** The asker: whoever answers knows from now on that it exists. */
  from: instanceReferenceSchema,
  /** The record is sent only if its number is higher. */
  above: noteNumberSchema,
});
export type NoteRequest = z.infer<typeof noteRequestSchema>;

/** Answer to `note.current`. */
export const noteReplySchema = z.object({
  number: noteNumberSchema,
  record: noteRecordSchema.nullable(),
  /**
   * Age of the read of the head object that shows `number` to have been the
   * newest note; `null` when there was none yet.
   */
  contactAgeMs: z.number().nonnegative().nullable(),
});
export type NoteReply = z.infer<typeof noteReplySchema>;

/** Parameters of `note.confirm`. */
export const confirmRequestSchema = z.object({
  /** Digest of the instances that the asker knows. */
  knownDigest: z.string(),
});
export type ConfirmRequest = z.infer<typeof confirmRequestSchema>;

/** An engine that an instance orders. */
export const engineConfirmationSchema = z.object({
  engine: nameSchema,
  /** The note that the engine was last seen to hold, exactly. */
  confirmed: noteNumberSchema,
  /** Nothing listens at the engine's address: it holds nothing. */
  stopped: z.boolean(),
});
export type EngineConfirmation = z.infer<typeof engineConfirmationSchema>;

/** What one instance confirms about the note that it applies. */
export const noteConfirmationSchema = z.object({
  instance: nameSchema,
  failureDomain: nameSchema,
  incarnation: z.number(),
  /** Number of the note in use; no answer of what it withdraws goes on. */
  applied: noteNumberSchema,
  /** Instances this one knows; left out where the digests agree. */
  knows: z.array(instanceReferenceSchema).optional(),
  engines: z.array(engineConfirmationSchema),
});
export type NoteConfirmation = z.infer<typeof noteConfirmationSchema>;
