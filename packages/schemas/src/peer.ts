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

/** Query to the owner of a claim about the state of its call. */
export const claimQuestionSchema = z.object({
  /** Start of the owner's process that made the claim. */
  incarnation: z.number(),
  requestId: z.string(),
  /** How long to wait for the end of a running call, in milliseconds. */
  waitMs: z.number().nonnegative(),
});
export type ClaimQuestion = z.infer<typeof claimQuestionSchema>;

/** State of a call, as reported by the owner of its claim. */
export const claimStatusSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("running") }),
  /** The call was not sent and will not be sent under this claim. */
  z.object({ kind: z.literal("never_sent") }),
  z.object({ kind: z.literal("settled"), state: claimStateSchema }),
  /** Another process made the claim, or its entry has been evicted. */
  z.object({ kind: z.literal("forgotten") }),
]);
export type ClaimStatus = z.infer<typeof claimStatusSchema>;

/**
 * Result of a call, handed over for another instance to record, because the
 * owner of the claim stops while the store cannot be written.
 */
export const claimResultRecordSchema = z.object({
  /** Key of the claim in the object API. */
  key: z.string(),
  object: claimObjectSchema,
  /** Version of the claim that the result replaces. */
  version: z.number(),
  state: claimStateSchema,
});
export type ClaimResultRecord = z.infer<typeof claimResultRecordSchema>;
