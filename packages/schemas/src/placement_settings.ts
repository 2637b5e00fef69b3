/** Settings of automatic placement: models and the hardware they need. */
import { z } from "zod";
import { nameSchema } from "./names.ts";

const acceleratorSchema = z.strictObject({
  name: nameSchema,
  /** Memory for weights, adapters and KV caches, in megabytes. */
  memoryMegabytes: z.number().positive(),
  /** Fixed time of a full batch, without its layers, in milliseconds. */
  batchMs: z.number().nonnegative(),
  /** Time that one layer of cost 1 adds to a full batch, in milliseconds. */
  layerMs: z.number().positive(),
});
export type AcceleratorSettings = z.infer<typeof acceleratorSchema>;

const placedModelSchema = z.strictObject({
  model: nameSchema,
  /** Weights of one layer of one version, in megabytes. */
  layerMegabytes: z.number().positive(),
  /** Memory reserved for KV caches with each layer, in megabytes. */
  kvMegabytes: z.number().nonnegative(),
  /** Memory of one adapter on each engine of the model, in megabytes. */
  adapterMegabytes: z.number().nonnegative().default(0),
  /** Time of a layer relative to a layer of cost 1. */
  layerCost: z.number().positive().default(1),
  /** Number of versions whose weights must fit in memory together. */
  versionsAtOnce: z.number().int().min(1).max(4).default(2),
  /** Share of the tokens relative to other models. */
  weight: z.number().positive().default(1),
});
export type PlacedModelSettings = z.infer<typeof placedModelSchema>;

/** Models that are placed automatically, on engines without roles. */
export const placementSettingsSchema = z.strictObject({
  accelerators: z.array(acceleratorSchema).default([]),
  models: z.array(placedModelSchema).default([]),
  /**
   * Share of the weight store's rate that one failure domain may take, in
   * megabytes a second.
   */
  loadMegabytesPerSecond: z.number().positive().default(1_000),
});
export type PlacementSettings = z.infer<typeof placementSettingsSchema>;
