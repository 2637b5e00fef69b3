/** Release notes: the only means by which operators change what is served. */
import { z } from "zod";
import { nameSchema, noteNumberSchema } from "./names.ts";

/** A named group of weights for a range of layers of a model version. */
export const layerSetSchema = z.strictObject({
  name: nameSchema,
  from: z.number().int().nonnegative(),
  to: z.number().int().positive(),
});
export type LayerSet = z.infer<typeof layerSetSchema>;

const addedVersionSchema = z.strictObject({
  kind: z.literal("version"),
  model: nameSchema,
  version: nameSchema,
  /** Number of layers of the version. */
  layers: z.number().int().min(1).max(1024),
  /** Layer sets that together cover each layer exactly once. */
  layerSets: z.array(layerSetSchema).min(1),
  /** Whether the version is preferred to all others for new requests. */
  serve: z.boolean().default(true),
});

const addedAdapterSchema = z.strictObject({
  kind: z.literal("adapter"),
  model: nameSchema,
  adapter: nameSchema,
});

const addedServiceSchema = z.strictObject({
  kind: z.literal("service"),
  service: nameSchema,
});

/** An entry of a note's `added` list. */
export const addedLineSchema = z.discriminatedUnion("kind", [
  addedVersionSchema,
  addedAdapterSchema,
  addedServiceSchema,
]);
export type AddedLine = z.infer<typeof addedLineSchema>;

/** An entry of a note's `changed` list: a model's versions by preference. */
export const changedLineSchema = z.strictObject({
  kind: z.literal("model"),
  model: nameSchema,
  /** Versions that may answer, in order of preference. */
  serve: z.array(nameSchema).min(1),
});
export type ChangedLine = z.infer<typeof changedLineSchema>;

/** An entry of a note's `withdrawn` list. */
export const withdrawnLineSchema = z.discriminatedUnion("kind", [
  z.strictObject({
    kind: z.literal("version"),
    model: nameSchema,
    version: nameSchema,
  }),
  z.strictObject({
    kind: z.literal("adapter"),
    model: nameSchema,
    adapter: nameSchema,
  }),
  z.strictObject({
    kind: z.literal("layerSet"),
    model: nameSchema,
    layerSet: nameSchema,
  }),
  z.strictObject({ kind: z.literal("service"), service: nameSchema }),
]);
export type WithdrawnLine = z.infer<typeof withdrawnLineSchema>;

/** A release note as operators write it. */
export const releaseNoteSchema = z.strictObject({
  /** The number of the note that this one replaces; 0 for the first note. */
  supersedes: noteNumberSchema,
  /** Identifies one publish, so that a retry after a lost reply is detected. */
  publishId: z.string().min(8).max(64),
  reason: z.string().min(1).max(2000),
  added: z.array(addedLineSchema).default([]),
  changed: z.array(changedLineSchema).default([]),
  withdrawn: z.array(withdrawnLineSchema).default([]),
});
export type ReleaseNote = z.infer<typeof releaseNoteSchema>;
