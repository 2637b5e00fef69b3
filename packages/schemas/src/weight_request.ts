/** The interface of the platform's weight store. */
import { z } from "zod";
import { layerRangeSchema, nameSchema } from "./names.ts";

/** Asks the store to send weights to an engine; answered once they are sent. */
export const weightRequestSchema = z.object({
  engine: nameSchema,
  model: nameSchema,
  version: nameSchema,
  layers: layerRangeSchema,
  /** Size of the weights that the engine does not hold yet. */
  megabytes: z.number().nonnegative(),
});
export type WeightRequest = z.infer<typeof weightRequestSchema>;
