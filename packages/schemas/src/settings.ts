/** Settings of the daemon. */
import { z } from "zod";
import { prioritySchema } from "./completion.ts";
import { addressSchema, layerRangeSchema, nameSchema } from "./names.ts";
import { placementSettingsSchema } from "./placement_settings.ts";
import { checkSettings } from "./settings_checks.ts";

const addressesSchema = z.strictObject({
  callers: addressSchema,
  /** Where the instance listens for peers; also its source address to them. */
  peers: addressSchema,
  /**
   * Where peers reach the instance, if that differs from where it listens:
   * behind address translation, the bound address is unreachable from outside.
   */
  advertisedPeers: addressSchema.optional(),
  admin: addressSchema,
});

/** Limits of one organisation over all instances, averaged over 20 s. */
const organisationLimitsSchema = z
  .strictObject({
    /** Answers and service calls together. */
    requestsPerSecond: z.number().positive().optional(),
    /** Tokens that answers ask for at most (`max_tokens`). */
    tokensPerSecond: z.number().positive().optional(),
  })
  .refine(
    ({ requestsPerSecond, tokensPerSecond }) =>
      requestsPerSecond !== undefined || tokensPerSecond !== undefined,
    "expected requestsPerSecond, tokensPerSecond or both",
  );
export type OrganisationLimits = z.infer<typeof organisationLimitsSchema>;

const organisationSchema = z.strictObject({
  name: nameSchema,
  /** SHA-256 of the organisation's key, in hexadecimal. */
  keySha256: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/,
      "expected a SHA-256 hash of 64 lowercase hex digits",
    ),
  /** Share of the capacity relative to other organisations. */
  weight: z.number().positive().default(1),
  priority: prioritySchema.default("standard"),
  /** Unlimited when left out. */
  limits: organisationLimitsSchema.optional(),
});
export type Organisation = z.infer<typeof organisationSchema>;

/**
 * A kind of work with its own priority, such as drafts that are urgent in one
 * season. A caller names it with the `x-work` header.
 */
const workSchema = z.strictObject({
  name: nameSchema,
  priority: prioritySchema,
  /** Organisations that may use the name; all when left out. */
  organisations: z.array(nameSchema).min(1).optional(),
});
export type WorkKind = z.infer<typeof workSchema>;

const engineSchema = z.strictObject({
  id: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
  accelerator: nameSchema,
  /** Whether the engine refuses orders that carry an old fencing number. */
  checksFencing: z.boolean(),
  /** Time that a message to another engine takes, in milliseconds. */
  linkMs: z.number().nonnegative().optional(),
  /** Fixed layer ranges; when empty, placement decides the layers. */
  roles: z
    .array(z.strictObject({ model: nameSchema, layers: layerRangeSchema }))
    .default([]),
});
export type EngineSettings = z.infer<typeof engineSchema>;

const callRuleSchema = z.strictObject({
  method: z.enum(["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
  /** Path below the service; `*` stands for one segment. */
  path: z.string().startsWith("/"),
  /** Whether a call may be repeated without changing its effect. */
  idempotent: z.boolean(),
});
export type CallRule = z.infer<typeof callRuleSchema>;

const serviceSchema = z.strictObject({
  name: nameSchema,
  servers: z
    .array(
      z.strictObject({
        id: nameSchema,
        failureDomain: nameSchema,
        address: addressSchema,
        /** Set by operators: the server gets no new calls. */
        leaving: z.boolean().optional(),
      }),
    )
    .min(1),
  /** Health check of a server; status 200 means that it takes new calls. */
  health: z.strictObject({ path: z.string().startsWith("/") }).optional(),
  /** Where a call that ran is looked up; `{key}` is replaced by its key. */
  lookup: z
    .strictObject({ path: z.string().startsWith("/").includes("{key}") })
    .optional(),
  calls: z.array(callRuleSchema).min(1),
  /** Timeout of one call on a server, in milliseconds. */
  timeoutMs: z.number().int().positive().default(5_000),
});
export type ServiceSettings = z.infer<typeof serviceSchema>;
export type ServiceServer = ServiceSettings["servers"][number];

const peerSchema = z.strictObject({
  id: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
});
export type PeerSettings = z.infer<typeof peerSchema>;

export const limitsSchema = z.strictObject({
  /** Maximum size of a request body, in bytes. */
  bodyBytes: z.number().int().positive().default(262_144),
  /** Maximum size of a header block, in bytes. */
  headerBytes: z.number().int().positive().default(16_384),
  /** How long a caller may take to send its headers, in milliseconds. */
  headersTimeoutMs: z.number().int().positive().default(5_000),
  /** How long a caller may take to send a request, in milliseconds. */
  requestTimeoutMs: z.number().int().positive().default(10_000),
  /** How long a caller may stop reading its answer, in milliseconds. */
  readerStallMs: z.number().int().positive().default(15_000),
  /**
   * Maximum number of open caller connections; beyond it, the one that has
   * progressed least is closed for a new one.
   */
  connections: z.number().int().positive().default(2_000),
  /** Maximum number of requests in progress on one connection. */
  requestsPerConnection: z.number().int().positive().default(8),
  /** Maximum size of all request bodies until they are answered, in bytes. */
  bodiesBytes: z.number().int().positive().default(134_217_728),
  /** Maximum number of requests that wait for a pipeline. */
  queueLength: z.number().int().positive().default(1_000),
  /** Maximum number of concurrent answers of this instance on one engine. */
  answersPerEngine: z.number().int().positive().default(256),
});
export type Limits = z.infer<typeof limitsSchema>;

const objectivesSchema = z.strictObject({
  firstTokenMs: z.number().positive().default(830),
  betweenTokensMs: z.number().positive().default(79),
  noteInForceMs: z.number().positive().default(5_000),
  /** Share of bookings that must end with a known outcome, from 0 to 1. */
  bookingsTarget: z.number().gt(0).lt(1).default(0.999),
  /** Share of all other events that must meet their objective, from 0 to 1. */
  target: z.number().gt(0).lt(1).default(0.95),
});

const settingsShape = z.strictObject({
  deployment: nameSchema,
  region: nameSchema,
  /** All failure domains; when given, a domain outside the list is refused. */
  failureDomains: z.array(nameSchema).min(1).optional(),
  instance: z.strictObject({
    id: nameSchema,
    failureDomain: nameSchema,
    addresses: addressesSchema,
  }),
  /** SHA-256 of the administrators' key, in hexadecimal. */
  adminKeySha256: z
    .string()
    .regex(
      /^[0-9a-f]{64}$/,
      "expected a SHA-256 hash of 64 lowercase hex digits",
    ),
  platform: z.strictObject({
    objectApi: z.url(),
    instanceList: z.url().optional(),
    weightStore: z.url().optional(),
    /** Rate limit of this instance's calls to the object API, per second. */
    callsPerSecond: z.number().positive().default(50),
  }),
  /** Seed instances to contact at start; further ones are discovered. */
  peers: z.array(peerSchema).default([]),
  organisations: z.array(organisationSchema).min(1),
  /** Kinds of work whose priority overrides that of the organisation. */
  work: z.array(workSchema).default([]),
  engines: z.array(engineSchema).default([]),
  services: z.array(serviceSchema).default([]),
  placement: placementSettingsSchema.prefault({}),
  release: z
    .strictObject({
      /** How long to serve without contact to store or peers, in seconds. */
      serveWithoutContactSeconds: z.number().positive().default(3_600),
      /**
       * Whether a refused connection proves that an instance has ended. Set to
       * false where something other than the host may refuse connections, such
       * as a firewall, or where two hosts may have the same address.
       */
      refusedConnectionShowsEnd: z.boolean().default(true),
    })
    .prefault({}),
  /** Deadline of requests that state none, in milliseconds. */
  defaultDeadlineMs: z.number().int().positive().default(60_000),
  /**
   * How long a stopping instance still accepts requests, in milliseconds, since
   * load balancers notice the drain late.
   */
  balancerLagMs: z.number().int().nonnegative().default(1_000),
  /** How long SIGTERM waits for requests in progress, in milliseconds. */
  shutdownGraceMs: z.number().int().positive().default(30_000),
  limits: limitsSchema.prefault({}),
  objectives: objectivesSchema.prefault({}),
});
export type Settings = z.infer<typeof settingsShape>;

/** The settings file of one daemon, with the checks between its parts. */
export const settingsSchema = settingsShape.superRefine((settings, context) => {
  for (const { path, message } of checkSettings(settings)) {
    context.addIssue({ code: "custom", path: [...path], message });
  }
});
