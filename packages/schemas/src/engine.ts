/** The interface of model engines, as the platform offers it. */
import { z } from "zod";
import { prioritySchema } from "./completion.ts";
import {
  addressSchema,
  layerRangeSchema,
  nameSchema,
  noteNumberSchema,
} from "./names.ts";

/** One engine's place in a pipeline. */
export const stageSchema = z.object({
  engine: nameSchema,
  address: addressSchema,
  layers: layerRangeSchema,
});
export type Stage = z.infer<typeof stageSchema>;

/**
 * Starts an attempt at an answer: sent to the engine of the first stage,
 * which streams `engineEventSchema` lines back.
 */
export const attemptRequestSchema = z.object({
  requestId: z.string(),
  /** Grows by one each time the answer is taken up again. */
  attempt: z.number().int().positive(),
  model: nameSchema,
  version: nameSchema,
  adapter: nameSchema.optional(),
  /** Note under which the version was chosen. */
  noteNumber: noteNumberSchema,
  stages: z.array(stageSchema).min(1),
  promptTokens: z.array(z.string()),
  /** Tokens that earlier attempts already delivered. */
  deliveredTokens: z.array(z.string()),
  maxTokens: z.number().int().positive(),
  priority: prioritySchema,
});
export type AttemptRequest = z.infer<typeof attemptRequestSchema>;

/** One line of an attempt's event stream. */
export const engineEventSchema = z.discriminatedUnion("type", [
  /** The engine took the attempt; from here on, work may run. */
  z.object({ type: z.literal("started"), attempt: z.number().int() }),
  z.object({
    type: z.literal("token"),
    attempt: z.number().int(),
    /** Index in the answer, from 0. */
    index: z.number().int().nonnegative(),
    text: z.string(),
    /** Digest over all layers of this token and of what came before it. */
    digest: z.string(),
  }),
  z.object({
    type: z.literal("done"),
    attempt: z.number().int(),
    reason: z.enum(["stop", "length"]),
  }),
  /** A later stage cannot be reached or does not hold the layers. */
  z.object({
    type: z.literal("stage_lost"),
    attempt: z.number().int(),
    stage: z.number().int(),
    reason: z.string(),
  }),
  z.object({
    type: z.literal("cancelled"),
    attempt: z.number().int(),
    reason: z.string(),
  }),
]);
export type EngineEvent = z.infer<typeof engineEventSchema>;

/** A range of layers of one version that an engine holds. */
export const heldLayersSchema = z.object({
  model: nameSchema,
  version: nameSchema,
  layers: layerRangeSchema,
});
export type HeldLayers = z.infer<typeof heldLayersSchema>;

/**
 * An order states everything the engine is to hold, never a difference, so
 * that it can be repeated and read back.
 */
export const engineOrderSchema = z.object({
  /** Engines that check refuse a number lower than the highest they saw. */
  fencingNumber: z.number().int().nonnegative(),
  noteNumber: noteNumberSchema,
  hold: z.array(heldLayersSchema),
  adapters: z.array(z.object({ model: nameSchema, adapter: nameSchema })),
});
export type EngineOrder = z.infer<typeof engineOrderSchema>;

/** What an engine reports about itself. */
export const engineStateSchema = z.object({
  engine: nameSchema,
  accelerator: nameSchema,
  failureDomain: nameSchema,
  /** Layer range of the engine's role for each model it can serve. */
  roles: z.array(z.object({ model: nameSchema, layers: layerRangeSchema })),
  fencingNumber: z.number().int(),
  noteNumber: noteNumberSchema,
  held: z.array(heldLayersSchema),
  adapters: z.array(z.object({ model: nameSchema, adapter: nameSchema })),
  /** Versions that answers now running on the engine use. */
  running: z.array(
    z.object({ model: nameSchema, version: nameSchema, count: z.number() }),
  ),
  leaving: z.boolean(),
  /** Sequences in the batch or waiting for it. */
  load: z.number().int().nonnegative(),
});
export type EngineState = z.infer<typeof engineStateSchema>;
