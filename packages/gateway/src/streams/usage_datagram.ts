/** Format of the datagrams in which instances report usage and demand. */
import type { Demand } from "@rosemarypin/admission";
import { z } from "zod";
import { decodeDemand, encodeDemand } from "./demand_records.ts";
import type { LoadByEngine } from "./engine_usage.ts";
import { decodeLoads, encodeLoads, type HashIndex } from "./usage_records.ts";

const METHOD = "engines.use";
/** Engines in one datagram; the least used ones are left out. */
const MAX_ENGINES_SENT = 90;
/**
 * Bound on sequence numbers and times, the latter in the year 2109. A report
 * with a greater number would make all later ones of its sender look outdated.
 */
const MAX_COUNT = 2 ** 42;

const countSchema = z.int().nonnegative().max(MAX_COUNT);

const MAX_NAME_LENGTH = 256;
const nameSchema = z.string().max(MAX_NAME_LENGTH);

const datagramSchema = z.object({
  method: z.literal(METHOD),
  params: z.object({
    from: nameSchema,
    /** Increases with each datagram after the sender's start. */
    sequence: countSchema,
    /** Start of the sender, in Unix milliseconds. */
    startedAt: countSchema,
    /**
     * Failure domain over whose instances the loads are summed; absent if they
     * are those of the sender alone.
     */
    domain: nameSchema.optional(),
    /** Loads of engines, in the form of `usage_records`. */
    use: z.string(),
    /**
     * Demand by class, in the form of `demand_records`, over the same instances
     * as the loads. Senders of the previous version leave it out.
     */
    demand: z.string().optional(),
  }),
});

/** A report of engine usage and demand. */
export interface UsageReport {
  /** Name of the sending instance. */
  readonly from: string;
  /** Increases with each report after the sender's start. */
  readonly sequence: number;
  /** Start of the sender, in Unix milliseconds. */
  readonly startedAt: number;
  /**
   * Failure domain over whose instances the loads are summed; `undefined` if
   * they are those of the sender alone.
   */
  readonly domain?: string | undefined;
  readonly loads: LoadByEngine;
  /** `undefined` if it isn't known. */
  readonly demand?: Demand | undefined;
}

/** Indexes of what reports name by hashes. */
export interface ReportIndexes {
  readonly engines: HashIndex;
  readonly services: HashIndex;
}

/** Encodes a report as a JSON-RPC notification. */
export function encodeUsageReport(
  { loads, demand, ...header }: UsageReport,
  { engines, services }: ReportIndexes,
): Buffer {
  const params = {
    ...header,
    use: encodeLoads(selectMostUsed(loads), engines),
    ...(demand ? { demand: encodeDemand(demand, services) } : {}),
  };
  return Buffer.from(
    JSON.stringify({ jsonrpc: "2.0", method: METHOD, params }),
  );
}

/** Decodes a datagram; returns `null` if it isn't a valid report. */
export function decodeUsageReport(
  datagram: Uint8Array,
  { engines, services }: ReportIndexes,
): UsageReport | null {
  try {
    const value: unknown = JSON.parse(Buffer.from(datagram).toString());
    const parsed = datagramSchema.safeParse(value);
    if (!parsed.success) return null;
    const { use, demand: demandText, ...header } = parsed.data.params;
    const loads = decodeLoads(use, engines);
    const demand =
      demandText === undefined ? undefined : decodeDemand(demandText, services);
    if (loads === null || demand === null) return null;
    return { ...header, loads, demand };
  } catch {
    return null;
  }
}

function selectMostUsed(loads: LoadByEngine) {
  return [...loads]
    .sort(([, a], [, b]) => b.held - a.held)
    .slice(0, MAX_ENGINES_SENT);
}
