/** Messages between instances, carried as JSON-RPC 2.0. */
import { z } from "zod";
import { addressSchema, nameSchema, noteNumberSchema } from "./names.ts";

/** The small state that each instance shares with its peers. */
export const sharedStateSchema = z.object({
  /** Number of the note that the instance applies; 0 for none. */
  note: noteNumberSchema,
  draining: z.boolean(),
  /** Answers and calls in progress. */
  load: z.number().int().nonnegative(),
});
export type SharedState = z.infer<typeof sharedStateSchema>;

/** One instance as its peers know it. */
export const memberRecordSchema = z.object({
  id: nameSchema,
  failureDomain: nameSchema,
  peer: addressSchema,
  /** Start of the process in milliseconds since the epoch. */
  incarnation: z.number(),
  /** Grows each time the instance changes its shared state. */
  revision: z.number().int().nonnegative(),
  /** Set when the instance has said goodbye. */
  left: z.boolean(),
  shared: sharedStateSchema,
});
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Heartbeat, sent as a datagram: the sender first, then what it heard. */
export const heartbeatSchema = z.object({
  members: z.array(memberRecordSchema).min(1),
});
export type Heartbeat = z.infer<typeof heartbeatSchema>;
