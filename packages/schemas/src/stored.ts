/** Objects that rosemarypin keeps in the platform's object API. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { nameSchema } from "./names.ts";
import { instanceReferenceSchema } from "./note_exchange.ts";

/** Keys of stored objects, below the deployment's name. */
export const storedKeys = {
  head: (deployment: string) => `${deployment}/notes/head`,
  history: (deployment: string, number: number) =>
    `${deployment}/notes/history/${String(number).padStart(9, "0")}`,
  withdrawn: (deployment: string, name: string) =>
    `${deployment}/notes/withdrawn/${name}`,
  lease: (deployment: string, domain: string) =>
    `${deployment}/leases/${domain}`,
  instances: (deployment: string, domain: string) =>
    `${deployment}/instances/${domain}`,
  claimBucket: (deployment: string, service: string, bucket: string) =>
    `${deployment}/claims/${service}/${bucket}/`,
  claim: (deployment: string, service: string, claim: string) =>
    `${deployment}/claims/${service}/${claim}`,
} as const;

/** The head object: the whole current note, so that one read is enough. */
export const headObjectSchema = noteRecordSchema;

/** The right to order the engines of one failure domain. */
export const leaseObjectSchema = z.object({
  holder: nameSchema,
  /** Start of the holder's process, to tell a restart from the old one. */
  incarnation: z.number(),
  /** Grows with each change of holder; goes out with each order. */
  fencingNumber: z.number().int().positive(),
  /** How long the lease lasts after the renewal was sent, in milliseconds. */
  durationMs: z.number().int().positive(),
  /** Grows with each renewal, so that others can see it move. */
  renewal: z.number().int().nonnegative(),
  /** Set by a holder that has stopped: nobody needs to wait. */
  released: z.boolean().default(false),
});
export type LeaseObject = z.infer<typeof leaseObjectSchema>;

/**
 * The instances of one failure domain that may have read the head object: each
 * enters itself before the first read that counts.
 */
export const registryObjectSchema = z.object({
  instances: z.array(
    instanceReferenceSchema.extend({
      /** How long the instance may serve without contact. */
      allowanceMs: z.number().positive(),
    }),
  ),
});
export type RegistryObject = z.infer<typeof registryObjectSchema>;
export type RegistryEntry = RegistryObject["instances"][number];
/** What is known of a non-repeatable call. */
export const claimStateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("claimed") }),
  /** Proved not to have run: the key may be used again. */
  z.object({ kind: z.literal("released") }),
  z.object({
    kind: z.literal("answered"),
    status: z.number().int(),
    contentType: z.string(),
    body: z.string(),
  }),
  z.object({ kind: z.literal("unknown"), reason: z.string() }),
]);
export type ClaimState = z.infer<typeof claimStateSchema>;

/** A non-repeatable call, recorded before its first byte is sent. */
export const claimObjectSchema = z.object({
  requestId: z.string(),
  owner: nameSchema,
  incarnation: z.number(),
  /** Digest of method, path and body, to tell another call by the same key. */
  fingerprint: z.string(),
  claimedAt: z.number(),
  state: claimStateSchema,
});
export type ClaimObject = z.infer<typeof claimObjectSchema>;

/** The platform's list of instances: a hint that lags. */
export const instanceListSchema = z.object({
  instances: z.array(
    z.object({
      id: nameSchema,
      kind: z.enum(["entry", "engine", "service"]),
      name: nameSchema,
      failureDomain: nameSchema,
      host: z.string(),
      port: z.number().int(),
      state: z.enum(["live", "leaving"]),
    }),
  ),
});
export type InstanceList = z.infer<typeof instanceListSchema>;
