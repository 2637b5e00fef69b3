/** The catalogue: the state that results from all release notes in order. */
import { z } from "zod";
import { nameSchema, noteNumberSchema } from "./names.ts";
import {
  layerSetSchema,
  releaseNoteSchema,
  withdrawnLineSchema,
} from "./release_note.ts";

export const modelVersionSchema = z.object({
  version: nameSchema,
  layers: z.number().int().positive(),
  layerSets: z.array(layerSetSchema),
  /** Number of the note that added the version. */
  addedBy: noteNumberSchema,
});
export type ModelVersion = z.infer<typeof modelVersionSchema>;

export const modelSchema = z.object({
  /** Versions that may answer, by name. */
  versions: z.record(nameSchema, modelVersionSchema),
  /** Versions in order of preference; the first answers new requests. */
  serve: z.array(nameSchema),
  adapters: z.array(nameSchema),
});
export type Model = z.infer<typeof modelSchema>;

/**
 * A withdrawal. Withdrawals are never deleted, so that nothing withdrawn can be
 * added later: the catalogue has the newest ones, and the store keeps each
 * older one as an object.
 */
export const withdrawalSchema = z.object({
  line: withdrawnLineSchema,
  number: noteNumberSchema,
  reason: z.string(),
});
export type Withdrawal = z.infer<typeof withdrawalSchema>;

export const catalogueSchema = z.object({
  models: z.record(nameSchema, modelSchema),
  services: z.array(nameSchema),
  /**
   * The newest withdrawals, oldest first. A record in the history has only the
   * withdrawals of its own note.
   */
  withdrawn: z.array(withdrawalSchema),
});
export type Catalogue = z.infer<typeof catalogueSchema>;

/** A note with its number and the catalogue that results from it. */
export const noteRecordSchema = z.object({
  number: noteNumberSchema,
  note: releaseNoteSchema,
  catalogue: catalogueSchema,
  /** When the publisher built the record, in milliseconds since the epoch. */
  recordedAt: z.number(),
  /** The instance that recorded the note. */
  recordedBy: nameSchema,
});
export type NoteRecord = z.infer<typeof noteRecordSchema>;

/** The catalogue before the first note: nothing is served. */
export const emptyCatalogue: Catalogue = {
  models: {},
  services: [],
  withdrawn: [],
};
