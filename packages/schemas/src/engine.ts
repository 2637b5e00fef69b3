/** The interface of model engines, as the platform offers it. */
import { z } from "zod";
import { prioritySchema } from "./completion.ts";
import {
  addressSchema,
  layerRangeSchema,
  nameSchema,
  noteNumberSchema,
} from "./names.ts";

/** Where a stage finds the KV cache that it has to import. */
export const cacheSourceSchema = z.object({
  engine: nameSchema,
  address: addressSchema,
  /** Incarnation of that engine when the cache was there. */
  incarnation: z.number().int().optional(),
  /**
   * Longest time of the transfer in milliseconds. A link that is slower than
   * it was measured to be then costs the answer no more than this.
   */
  withinMs: z.number().int().positive(),
});
export type CacheSource = z.infer<typeof cacheSourceSchema>;

/** One engine's place in a pipeline. */
export const stageSchema = z.object({
  engine: nameSchema,
  address: addressSchema,
  layers: layerRangeSchema,
  /**
   * The engine's incarnation when the attempt was planned. One that was
   * restarted since does not know which attempts are over, so it refuses.
   */
  incarnation: z.number().int().optional(),
  /**
   * Positions whose KV cache the engine still has from an earlier attempt
   * of the same request; left out when it has none.
   */
  keptPositions: z.number().int().nonnegative().optional(),
  /**
   * Set when the kept positions lie on another engine. One whose transfer
   * fails says `no_cache`.
   */
  importFrom: cacheSourceSchema.optional(),
});
export type Stage = z.infer<typeof stageSchema>;

/**
 * Starts an attempt at an answer: sent to the engine of the first stage,
 * which streams `engineEventSchema` lines back.
 */
export const attemptRequestSchema = z.object({
  requestId: z.string(),
  /** Who may resume the answer. */
  organisation: z.string(),
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

/** Body of an engine's refusal: nothing of the attempt ran there. */
export const attemptRefusalSchema = z.object({
  error: z.string(),
  /** Whether a later attempt, of any instance, has the answer. */
  takenOver: z.boolean().default(false),
});
export type AttemptRefusal = z.infer<typeof attemptRefusalSchema>;

/** Why a stage cannot go on. */
export const lostCauseSchema = z.enum([
  /** The engine does not answer or does not hold the layers. */
  "unreachable",
  /** The engine answers, but has no KV cache of the request. */
  "no_cache",
]);
export type LostCause = z.infer<typeof lostCauseSchema>;

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
    /** On the last token: why the answer ends with it. */
    ends: z.enum(["stop", "length"]).optional(),
  }),
  z.object({
    type: z.literal("done"),
    attempt: z.number().int(),
    reason: z.enum(["stop", "length"]),
  }),
  /** A stage has imported its KV cache. */
  z.object({
    type: z.literal("imported"),
    attempt: z.number().int(),
    stage: z.number().int(),
    bytes: z.number().nonnegative(),
    /** From the request to the last byte, in milliseconds. */
    durationMs: z.number().nonnegative(),
  }),
  /** A stage cannot go on with the attempt. */
  z.object({
    type: z.literal("stage_lost"),
    attempt: z.number().int(),
    stage: z.number().int(),
    cause: lostCauseSchema,
    reason: z.string(),
  }),
  z.object({
    type: z.literal("cancelled"),
    attempt: z.number().int(),
    /** Whether a later attempt, of any instance, took the answer over. */
    takenOver: z.boolean(),
    reason: z.string(),
  }),
]);
export type EngineEvent = z.infer<typeof engineEventSchema>;

/**
 * An answer whose reader went away: the engine of the first stage keeps it
 * for a short time, so that any instance can take it over.
 */
export const parkedAnswerSchema = z.object({
  request: attemptRequestSchema,
  /** All tokens that the engine knows of, from index 0. */
  tokens: z.array(z.string()),
  /** Digest after the last of them. */
  digest: z.string(),
  /** How the answer ended, if all of it was computed. */
  ended: z.enum(["stop", "length"]).nullable(),
});
export type ParkedAnswer = z.infer<typeof parkedAnswerSchema>;

/** Asks the engine that has a KV cache for it. */
export const cacheRequestSchema = z.object({
  requestId: z.string(),
  /** The attempt that wants the cache; it ends earlier ones at the exporter. */
  attempt: z.number().int().positive(),
  model: nameSchema,
  version: nameSchema,
  adapter: nameSchema.optional(),
  layers: layerRangeSchema,
  /** Positions that are wanted, from the first one on. */
  positions: z.number().int().positive(),
  /** Incarnation of the exporter that has the cache. */
  incarnation: z.number().int().optional(),
});
export type CacheRequest = z.infer<typeof cacheRequestSchema>;

/** A KV cache on its way between two engines. */
export const exportedCacheSchema = z.object({
  /** One running value for each layer, for each position. */
  cache: z.array(z.array(z.number())),
  /** Digest after each token; only the last stage has them. */
  digests: z.array(z.string()),
  /** Digest after the last emitted token; only the first stage has it. */
  lastDigest: z.string(),
  /** What the transfer took on the link. */
  bytes: z.number().nonnegative(),
});
export type ExportedCache = z.infer<typeof exportedCacheSchema>;

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
  /** Differs after each restart, which empties the engine's memory. */
  incarnation: z.number().int().optional(),
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
  /** KV cache of one layer for one position, in bytes. */
  cacheBytes: z.number().positive().optional(),
  /**
   * Time of one layer for one prompt position in microseconds, as the
   * engine's latest batches had it; left out until it ran a prompt.
   */
  promptMicros: z.number().nonnegative().optional(),
  /**
   * Time of a message to another engine in milliseconds: the least of the
   * latest ones, so that a busy receiver does not make a link look slow.
   */
  sendMs: z.number().nonnegative().optional(),
});
export type EngineState = z.infer<typeof engineStateSchema>;
