/** The interface of the platform's weight store. */
import { z } from "zod";
import { layerRangeSchema, nameSchema } from "./names.ts";

/** Asks the store to serve weights to an engine; it answers when it has. */
export const weightRequestSchema = z.object({
  engine: nameSchema,
  model: nameSchema,
  version: nameSchema,
  layers: layerRangeSchema,
  /** Weights that the engine does not hold yet. */
  megabytes: z.number().nonnegative(),
});
export type WeightRequest = z.infer<typeof weightRequestSchema>;
