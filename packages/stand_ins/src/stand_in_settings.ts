/** Settings of one stand-in process. */
import {
  addressSchema,
  instanceListSchema,
  layerRangeSchema,
  nameSchema,
} from "@rosemarypin/schemas";
import { z } from "zod";

/** How fast an accelerator and its links are. */
export const engineSpeedSchema = z.strictObject({
  /** Fixed time of one batch, in milliseconds. */
  batchMs: z.number().nonnegative().default(2),
  /** Time of one layer for one token, in microseconds. */
  layerMicros: z.number().nonnegative().default(20),
  /** Share of that time that a token of a prompt takes. */
  promptFactor: z.number().positive().default(0.05),
  /** Time that a message to another engine takes, in milliseconds. */
  linkMs: z.number().nonnegative().default(0.5),
  /** Sequences in one batch. */
  batchSize: z.number().int().positive().default(32),
  /** Bytes a second at which the engine exports KV cache. */
  exportBytesPerSecond: z.number().positive().optional(),
  /** KV cache of one layer for one position, in bytes. */
  cacheBytes: z.number().positive().optional(),
});
export type EngineSpeed = z.infer<typeof engineSpeedSchema>;

/** Faults of an engine that a test sets with `POST /faults`. */
export const engineFaultsSchema = z.strictObject({
  /** Time that a message to another engine takes, in milliseconds. */
  linkMs: z.number().nonnegative(),
  /** Bytes a second at which the engine exports KV cache. */
  exportBytesPerSecond: z.number().positive().optional(),
});

export type EngineFaults = z.infer<typeof engineFaultsSchema>;

export const engineStandInSchema = z.strictObject({
  kind: z.literal("engine"),
  id: nameSchema,
  failureDomain: nameSchema,
  accelerator: nameSchema,
  address: addressSchema,
  checksFencing: z.boolean(),
  roles: z.array(
    z.strictObject({ model: nameSchema, layers: layerRangeSchema }),
  ),
  speed: engineSpeedSchema.prefault({}),
  /** File to which the engine appends what ran; none when left out. */
  journal: z.string().optional(),
});
export type EngineStandInSettings = z.infer<typeof engineStandInSchema>;

/** Settings of any stand-in, a union discriminated by `kind`. */
export const standInSettingsSchema = z.discriminatedUnion("kind", [
  engineStandInSchema,
  z.strictObject({ kind: z.literal("object_api"), address: addressSchema }),
  z.strictObject({
    kind: z.literal("instance_list"),
    address: addressSchema,
    lagMs: z.number().nonnegative().default(3_000),
    initial: instanceListSchema,
  }),
  z.strictObject({
    kind: z.literal("weight_store"),
    address: addressSchema,
    megabytesPerSecond: z.number().positive().default(1_000),
  }),
  z.strictObject({
    kind: z.literal("balancer"),
    address: addressSchema,
    instances: z.array(
      z.strictObject({ callers: addressSchema, admin: addressSchema }),
    ),
    /** How often readiness is asked for: the balancer's lag. */
    checkEveryMs: z.number().positive().default(300),
  }),
  z.strictObject({
    kind: z.literal("service"),
    id: nameSchema,
    address: addressSchema,
    journalFile: z.string().optional(),
  }),
]);
export type StandInSettings = z.infer<typeof standInSettingsSchema>;
