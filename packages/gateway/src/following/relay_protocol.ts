/** Request and response of the call by which a follower polls a relay. */
import { z } from "zod";
import { positionSchema, storedObjectsSchema } from "./change_log.ts";

export const FOLLOW_METHOD = "objects.follow";
/** Longest time that a relay delays its response while nothing changes. */
export const LONG_POLL_TIMEOUT_MS = 600;

export const followRequestSchema = z.object({
  holdMs: z.number().min(0).max(LONG_POLL_TIMEOUT_MS),
  positions: z.array(
    z.object({ prefix: z.string(), position: positionSchema.nullable() }),
  ),
});

export const followResponseSchema = z.object({
  /** Milliseconds since the store last answered the relay. */
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

export type FollowRequest = z.infer<typeof followRequestSchema>;

export type FollowResponse = z.infer<typeof followResponseSchema>;
