/** What a follower asks of a relay, and what it is told. */
import { z } from "zod";
import { positionSchema, storedObjectsSchema } from "./change_log.ts";

export const FOLLOW_METHOD = "objects.follow";
/** How long a relay holds a call without news. */
export const HOLD_MS = 600;

export const askSchema = z.object({
  holdMs: z.number().min(0).max(HOLD_MS),
  positions: z.array(
    z.object({ prefix: z.string(), position: positionSchema.nullable() }),
  ),
});

export const newsSchema = z.object({
  /** Since the store last answered the relay. */
  ageMs: z.number().nonnegative(),
  changes: z.array(
    z.object({
      prefix: z.string(),
      position: positionSchema,
      isWhole: z.boolean(),
      objects: storedObjectsSchema,
      removed: z.array(z.string()),
    }),
  ),
});

export type RelayAsk = z.infer<typeof askSchema>;

export type RelayNews = z.infer<typeof newsSchema>;
