/** Size, rates and times of a deployment whose processes end all at once. */
import { z } from "zod";

const serverSchema = z.object({
  id: z.string(),
  domain: z.string(),
  /** Kind of accelerator; `null` for a server of the plain service. */
  kind: z.string().nullable(),
});

/** What the process of the backend servers is told. */
export const serversPlanSchema = z.object({
  storeAddress: z.string(),
  servers: z.array(serverSchema),
  kinds: z.record(z.string(), z.object({ memoryMb: z.number() })),
  layers: z.number(),
  layerMb: z.number(),
  /** Time to load the whole model while few engines load. */
  loadMs: z.number(),
  /** Loads beyond this number slow each other down. */
  loadsAtOnce: z.number(),
  eventMs: z.number(),
  heartbeatMs: z.number(),
});
export type ServersPlan = z.infer<typeof serversPlanSchema>;
export type PlannedServer = z.infer<typeof serverSchema>;

/** What the process of the store is told. */
export const storePlanSchema = z.object({
  port: z.number(),
  writesPerSecond: z.number(),
  readsPerSecond: z.number(),
  delayMs: z.number(),
  /** Time after which the entry of a server that ended is removed. */
  entryLifeMs: z.number(),
});
export type StorePlan = z.infer<typeof storePlanSchema>;

export interface PlannedInstance {
  readonly name: string;
  readonly domain: string;
  /** Relative processor share; whole cores times 100. */
  readonly ability: number;
}

export interface Site {
  readonly instances: readonly PlannedInstance[];
  readonly servers: readonly PlannedServer[];
  readonly requestsPerSecond: number;
  /** Most events of an answer. */
  readonly events: number;
  /**
   * Processes of servers and of callers: each gets processor time of its own, as
   * on machines of their own.
   */
  readonly serverProcesses: number;
  readonly callerProcesses: number;
}

const DOMAINS = ["a", "b", "c"] as const;
const ABILITIES = { able: 135, small: 23 };
/** Instances of each domain that have more than a quarter of a core. */
const ABLE_PER_DOMAIN = 2;
const PLAIN_SERVERS = 3;
/** Of so many engines, the first few are of the first kind, and so on. */
const KIND_SHARES = [
  { kind: "large", share: 0.1 },
  { kind: "fast", share: 0.5 },
  { kind: "slow", share: 0.4 },
] as const;

export const KINDS = {
  large: { memoryMb: 72_000, pace: 2.4, readFactor: 3.2 },
  fast: { memoryMb: 14_400, pace: 5.3, readFactor: 7.9 },
  slow: { memoryMb: 21_600, pace: 16, readFactor: 8.2 },
} as const;

export const MODEL = { layers: 80, layerMb: 1_750, loadMs: 14_000 } as const;

/** Divides instances, engines and callers evenly among three domains. */
export function planSite(options: {
  readonly instances: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly events: number;
  readonly serverProcesses: number;
  readonly callerProcesses: number;
}): Site {
  const domainOf = (index: number) => DOMAINS[index % DOMAINS.length] ?? "a";
  const instances = Array.from({ length: options.instances }, (_, index) => {
    const isAble = index < ABLE_PER_DOMAIN * DOMAINS.length;
    const ability = isAble ? ABILITIES.able : ABILITIES.small;
    return { name: `i-${index}`, domain: domainOf(index), ability };
  });
  const engines = Array.from({ length: options.engines }, (_, index) => ({
    id: `e-${index}`,
    domain: domainOf(index),
    kind: kindOf(index / options.engines),
  }));
  const plain = Array.from({ length: PLAIN_SERVERS }, (_, index) => ({
    id: `p-${index}`,
    domain: domainOf(index),
    kind: null,
  }));
  return { ...options, instances, servers: [...engines, ...plain] };
}

function kindOf(position: number): string {
  let end = 0;
  for (const { kind, share } of KIND_SHARES) {
    end += share;
    if (position < end) return kind;
  }
  return "slow";
}
