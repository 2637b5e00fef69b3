/** Request and response of the call by which a follower polls a relay. */
import { z } from "zod";
import { positionSchema, storedObjectsSchema } from "./change_log.ts";

export const FOLLOW_METHOD = "objects.follow";
/** Longest time that a relay delays its response while nothing changes. */
export const LONG_POLL_TIMEOUT_MS = 600;
/**
 * A relay whose copy is older than this is abandoned, and the store is read or
 * another relay followed at once.
 */
export const MAX_STALENESS_MS = 1_000;
/** A list of presence that is older isn't passed on. */
export const MAX_PRESENCE_AGE_MS = 3_000;
const MAX_NAME_LENGTH = 256;
const MAX_AGO_MS = 86_400_000;

const agoSchema = z.number().min(0).max(MAX_AGO_MS);

export const followRequestSchema = z.object({
  /** How long the relay may delay its response while nothing changes. */
  holdMs: z.number().min(0).max(LONG_POLL_TIMEOUT_MS),
  /** Last position for each prefix; `null` to get all objects. */
  positions: z.array(
    z.object({ prefix: z.string(), position: positionSchema.nullable() }),
  ),
  /** Name of the follower; absent from the version before. */
  from: z.string().max(MAX_NAME_LENGTH).optional().catch(undefined),
  /**
   * Version of the list of presence that the follower has; `null` if it has
   * none, absent if it doesn't ask for one.
   */
  presence: z.number().nullable().optional().catch(undefined),
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
      /** Store revision of the relay's copy; absent from the version before. */
      revision: z.number().optional().catch(undefined),
      /** Keys of `objects` that the relay removes after a grace period. */
      expiring: z.array(z.string()).optional().catch(undefined),
    }),
  ),
  /** Decoded on its own, so that a malformed list doesn't cost the changes. */
  presence: z.unknown().optional(),
});

/** A relay's list of presence, sent if it differs from the follower's. */
export const relayedPresenceSchema = z.object({
  version: z.number(),
  /** Milliseconds since the relay read the list. */
  ageMs: z.number().min(0).max(MAX_PRESENCE_AGE_MS),
  /** Ages are those when the list was read. */
  objects: z.array(
    z.object({
      key: z.string(),
      value: z.unknown(),
      version: z.number(),
      /** Absent if the relay has found the object so at its own start. */
      changedAgoMs: agoSchema.optional(),
    }),
  ),
  /** Time since the relay was last called by its followers, by their names. */
  heardAgoMs: z.record(z.string(), agoSchema).default({}),
});

export type FollowRequest = z.infer<typeof followRequestSchema>;

export type FollowResponse = z.infer<typeof followResponseSchema>;

export type RelayedPresence = z.infer<typeof relayedPresenceSchema>;
