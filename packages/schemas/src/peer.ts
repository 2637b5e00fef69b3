/** Messages between instances, sent as JSON-RPC 2.0. */
import { z } from "zod";
import { addressSchema, nameSchema, noteNumberSchema } from "./names.ts";
import { claimObjectSchema, claimStateSchema } from "./stored.ts";

/** The state of an instance that it shares with its peers. */
export const sharedStateSchema = z.object({
  /** Number of the note that the instance applies; 0 for none. */
  note: noteNumberSchema,
  draining: z.boolean(),
  /** Number of answers and calls in progress. */
  load: z.number().int().nonnegative(),
});
export type SharedState = z.infer<typeof sharedStateSchema>;

/** The membership record of one instance. */
export const memberRecordSchema = z.object({
  id: nameSchema,
  failureDomain: nameSchema,
  peer: addressSchema,
  /** Start of the process in milliseconds since the epoch. */
  incarnation: z.number(),
  /** Grows each time the instance changes its shared state. */
  revision: z.number().int().nonnegative(),
  /** Whether the instance announced that it leaves. */
  left: z.boolean(),
  shared: sharedStateSchema,
});
export type MemberRecord = z.infer<typeof memberRecordSchema>;

/** Asks the owner of a claim for the outcome of the call. */
export const claimQuestionSchema = z.object({
  /** Start of the owner's process that made the claim. */
  incarnation: z.number(),
  requestId: z.string(),
  /** How long to wait for the end of a running call, in milliseconds. */
  waitMs: z.number().nonnegative(),
});
export type ClaimQuestion = z.infer<typeof claimQuestionSchema>;

/** The state of a call, as the owner of its claim reports it. */
export const claimWordSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("running") }),
  /** The call was not sent and will not be sent under this claim. */
  z.object({ kind: z.literal("never_sent") }),
  z.object({ kind: z.literal("settled"), state: claimStateSchema }),
  /** No entry: another process made the claim, or the entry was dropped. */
  z.object({ kind: z.literal("forgotten") }),
]);
export type ClaimWord = z.infer<typeof claimWordSchema>;

/**
 * The outcome of a call that a stopping owner of a claim hands over to another
 * instance, because the store has not accepted the write of it.
 */
export const claimEndSchema = z.object({
  /** Key of the claim in the object API. */
  key: z.string(),
  object: claimObjectSchema,
  /** Version of the stored claim that the outcome replaces. */
  version: z.number(),
  state: claimStateSchema,
});
export type ClaimEnd = z.infer<typeof claimEndSchema>;
