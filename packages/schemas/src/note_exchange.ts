/** Messages between instances about release notes. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { addressSchema, nameSchema, noteNumberSchema } from "./names.ts";

/** One process of an instance, and the address at which peers reach it. */
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
  /** The sender; the receiver remembers that this instance exists. */
  from: instanceReferenceSchema,
  /** The reply has the record only if its number is higher than this. */
  above: noteNumberSchema,
});
export type NoteRequest = z.infer<typeof noteRequestSchema>;

/** Reply to `note.current`. */
export const noteReplySchema = z.object({
  number: noteNumberSchema,
  record: noteRecordSchema.nullable(),
  /**
   * Age of the read of the head object which showed that `number` was the
   * newest note, in milliseconds; `null` if there was no such read yet.
   */
  contactAgeMs: z.number().nonnegative().nullable(),
});
export type NoteReply = z.infer<typeof noteReplySchema>;

/** Parameters of `note.confirm`. */
export const confirmRequestSchema = z.object({
  /** Digest of the instances that the sender has in its list. */
  knownDigest: z.string(),
});
export type ConfirmRequest = z.infer<typeof confirmRequestSchema>;

/** Confirmation of an engine, by the instance that sends it orders. */
export const engineConfirmationSchema = z.object({
  engine: nameSchema,
  /** Number of the note that the engine was last seen to match exactly. */
  confirmed: noteNumberSchema,
  /** Whether nothing listens at the engine's address, so it holds nothing. */
  stopped: z.boolean(),
});
export type EngineConfirmation = z.infer<typeof engineConfirmationSchema>;

/** Reply to `note.confirm`: the note that an instance applies. */
export const noteConfirmationSchema = z.object({
  instance: nameSchema,
  failureDomain: nameSchema,
  incarnation: z.number(),
  /** Number of the note in use; answers that it withdraws have ended. */
  applied: noteNumberSchema,
  /** Instances in this one's list; left out when the digests agree. */
  knows: z.array(instanceReferenceSchema).optional(),
  engines: z.array(engineConfirmationSchema),
});
export type NoteConfirmation = z.infer<typeof noteConfirmationSchema>;
