/** The platform's interface of model engines. */
import { z } from "zod";
import { prioritySchema } from "./completion.ts";
import {
  addressSchema,
  layerRangeSchema,
  nameSchema,
  noteNumberSchema,
} from "./names.ts";

/** The source of a KV cache that a stage has to import. */
export const cacheSourceSchema = z.object({
  engine: nameSchema,
  address: addressSchema,
  /** Incarnation of that engine when it had the cache. */
  incarnation: z.number().int().optional(),
  /**
   * Timeout of the transfer in milliseconds. It bounds the delay of the answer
   * when the link is slower than its measured speed.
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
   * The engine's incarnation when the attempt was planned. An engine that has
   * restarted since then refuses the attempt, because it no longer has the
   * record of attempts that were superseded.
   */
  incarnation: z.number().int().optional(),
  /**
   * Number of positions whose KV cache the engine still has from an earlier
   * attempt of the same request; left out when there are none.
   */
  keptPositions: z.number().int().nonnegative().optional(),
  /**
   * Set when another engine has the KV cache of the kept positions. If the
   * transfer fails, the stage is lost with the cause `no_cache`.
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
  /** The organisation that may resume the answer. */
  organisation: z.string(),
  /** Attempt number; increases by one each time the answer is resumed. */
  attempt: z.number().int().positive(),
  model: nameSchema,
  version: nameSchema,
  adapter: nameSchema.optional(),
  /** Release note under which the version was chosen. */
  noteNumber: noteNumberSchema,
  stages: z.array(stageSchema).min(1),
  promptTokens: z.array(z.string()),
  /** Tokens that earlier attempts already delivered. */
  deliveredTokens: z.array(z.string()),
  maxTokens: z.number().int().positive(),
  priority: prioritySchema,
});
export type AttemptRequest = z.infer<typeof attemptRequestSchema>;

/** Body of an engine's refusal; no part of the attempt ran on the engine. */
export const attemptRefusalSchema = z.object({
  error: z.string(),
  /** Whether a later attempt by any instance took over the answer. */
  takenOver: z.boolean().default(false),
});
export type AttemptRefusal = z.infer<typeof attemptRefusalSchema>;

/** Why a stage cannot continue. */
export const lostCauseSchema = z.enum([
  /** The engine does not respond or does not hold the layers. */
  "unreachable",
  /** The engine responds, but has no KV cache of the request. */
  "no_cache",
]);
export type LostCause = z.infer<typeof lostCauseSchema>;

/** One line of an attempt's event stream. */
export const engineEventSchema = z.discriminatedUnion("type", [
  /** The engine accepted the attempt; from now on, parts of it may run. */
  z.object({ type: z.literal("started"), attempt: z.number().int() }),
  z.object({
    type: z.literal("token"),
    attempt: z.number().int(),
    /** Index in the answer, from 0. */
    index: z.number().int().nonnegative(),
    text: z.string(),
    /** Digest over all layers of this token and of all previous ones. */
    digest: z.string(),
    /** Only on the last token: why the answer ends. */
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
    /** Time from the import request to its last byte, in milliseconds. */
    durationMs: z.number().nonnegative(),
  }),
  /** A stage cannot continue the attempt. */
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
    /** Whether a later attempt by any instance took over the answer. */
    takenOver: z.boolean(),
    reason: z.string(),
  }),
]);
export type EngineEvent = z.infer<typeof engineEventSchema>;

/**
 * An answer whose reader disconnected. The engine of the first stage keeps it
 * for a short time, so that any instance can resume it.
 */
export const parkedAnswerSchema = z.object({
  request: attemptRequestSchema,
  /** All tokens of the answer that the engine has, from index 0. */
  tokens: z.array(z.string()),
  /** Digest after the last token. */
  digest: z.string(),
  /** Why the answer ended; `null` if it was not fully computed. */
  ended: z.enum(["stop", "length"]).nullable(),
});
export type ParkedAnswer = z.infer<typeof parkedAnswerSchema>;

/** Requests a KV cache from the engine that has it, the exporter. */
export const cacheRequestSchema = z.object({
  requestId: z.string(),
  /** The requesting attempt; earlier ones end at the exporter. */
  attempt: z.number().int().positive(),
  model: nameSchema,
  version: nameSchema,
  adapter: nameSchema.optional(),
  layers: layerRangeSchema,
  /** Number of requested positions, counted from the first. */
  positions: z.number().int().positive(),
  /** Incarnation of the exporter that has the cache. */
  incarnation: z.number().int().optional(),
});
export type CacheRequest = z.infer<typeof cacheRequestSchema>;

/** A KV cache in transfer between two engines. */
export const exportedCacheSchema = z.object({
  /** For each position, one accumulated value per layer. */
  cache: z.array(z.array(z.number())),
  /** Digest after each token; only the last stage has them. */
  digests: z.array(z.string()),
  /** Digest after the last emitted token; only the first stage has it. */
  lastDigest: z.string(),
  /** Size of the transfer on the link. */
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
 * An order lists everything that the engine has to hold rather than a
 * difference, so that it can be repeated and compared with the engine's state.
 */
export const engineOrderSchema = z.object({
  /** Engines that check fencing refuse numbers below the highest seen. */
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
  /** Versions in use by running answers, with the number of answers. */
  running: z.array(
    z.object({ model: nameSchema, version: nameSchema, count: z.number() }),
  ),
  leaving: z.boolean(),
  /** Number of sequences in the batch or waiting for it. */
  load: z.number().int().nonnegative(),
  /** Size of the KV cache of one layer for one position, in bytes. */
  cacheBytes: z.number().positive().optional(),
  /**
   * Time of one layer for one prompt position in microseconds, over the
   * engine's latest batches; left out until the engine has run a prompt.
   */
  promptMicros: z.number().nonnegative().optional(),
  /**
   * Time of a message to another engine in milliseconds: the minimum of the
   * latest messages, so that a busy receiver does not make a link look slow.
   */
  sendMs: z.number().nonnegative().optional(),
});
export type EngineState = z.infer<typeof engineStateSchema>;
