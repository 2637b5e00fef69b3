/** Objects that rosemarypin keeps in the platform's object API. */
import { z } from "zod";
import { noteRecordSchema } from "./catalogue.ts";
import { nameSchema } from "./names.ts";
import { instanceReferenceSchema } from "./note_exchange.ts";

/** Keys of stored objects, prefixed with the name of the deployment. */
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

/** The head object: the full record of the current note, for a single read. */
export const headObjectSchema = noteRecordSchema;

/** The lease that allows its holder to order a failure domain's engines. */
export const leaseObjectSchema = z.object({
  holder: nameSchema,
  /** Start of the holder's process; distinguishes it from an earlier one. */
  incarnation: z.number(),
  /** Increases with each change of holder; sent with each order. */
  fencingNumber: z.number().int().positive(),
  /** Validity of the lease from when its renewal was sent, in milliseconds. */
  durationMs: z.number().int().positive(),
  /** Increases with each renewal, so that others detect that it is alive. */
  renewal: z.number().int().nonnegative(),
  /** Set by a holder that stopped: others need not wait for the expiry. */
  released: z.boolean().default(false),
});
export type LeaseObject = z.infer<typeof leaseObjectSchema>;

/**
 * The instances of one failure domain that may use the head object: each adds
 * itself before the first read that it relies on.
 */
export const registryObjectSchema = z.object({
  instances: z.array(
    instanceReferenceSchema.extend({
      /** How long the instance may serve without contact, in milliseconds. */
      allowanceMs: z.number().positive(),
    }),
  ),
});
export type RegistryObject = z.infer<typeof registryObjectSchema>;
export type RegistryEntry = RegistryObject["instances"][number];

/** State of a non-repeatable call. */
export const claimStateSchema = z.discriminatedUnion("kind", [
  z.object({ kind: z.literal("claimed") }),
  /** The call provably did not run; its key can be reused. */
  z.object({ kind: z.literal("released") }),
  z.object({
    kind: z.literal("answered"),
    status: z.number().int(),
    contentType: z.string(),
    body: z.string(),
    /**
     * Whether the answer marked its own end. Records of the version before
     * don't tell.
     */
    isDelimited: z.boolean().default(false),
  }),
  z.object({ kind: z.literal("unknown"), reason: z.string() }),
]);
export type ClaimState = z.infer<typeof claimStateSchema>;

/** A claim: a non-repeatable call, stored before its first byte is sent. */
export const claimObjectSchema = z.object({
  requestId: z.string(),
  owner: nameSchema,
  incarnation: z.number(),
  /** Digest of method, path and body; detects another call with this key. */
  fingerprint: z.string(),
  claimedAt: z.number(),
  state: claimStateSchema,
});
export type ClaimObject = z.infer<typeof claimObjectSchema>;

/** The platform's list of instances, which may be out of date. */
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
