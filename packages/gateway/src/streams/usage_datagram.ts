/** Format of the datagrams in which instances report engine usage. */
import { z } from "zod";
import type { LoadByEngine } from "./engine_usage.ts";
import { decodeLoads, type EngineIndex, encodeLoads } from "./usage_records.ts";

const METHOD = "engines.use";
/** Engines in one datagram; the least used ones are left out. */
const MAX_ENGINES_SENT = 90;

const datagramSchema = z.object({
  method: z.literal(METHOD),
  params: z.object({
    from: z.string(),
    /** Increases with each datagram after the sender's start. */
    sequence: z.number(),
    /** Start of the sender, in Unix milliseconds. */
    startedAt: z.number(),
    /**
     * Failure domain over whose instances the loads are summed; absent if they
     * are those of the sender alone.
     */
    domain: z.string().optional(),
    /** Loads of engines, in the form of `usage_records`. */
    use: z.string(),
  }),
});

/** A report of engine usage. */
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
}

/** Encodes a report as a JSON-RPC notification. */
export function encodeUsageReport(
  { loads, ...header }: UsageReport,
  index: EngineIndex,
): Buffer {
  const params = { ...header, use: encodeLoads(selectMostUsed(loads), index) };
  return Buffer.from(
    JSON.stringify({ jsonrpc: "2.0", method: METHOD, params }),
  );
}

/** Decodes a datagram; returns `null` if it isn't a valid report. */
export function decodeUsageReport(
  datagram: Uint8Array,
  index: EngineIndex,
): UsageReport | null {
  try {
    const value: unknown = JSON.parse(Buffer.from(datagram).toString());
    const parsed = datagramSchema.safeParse(value);
    if (!parsed.success) return null;
    const { use, ...header } = parsed.data.params;
    const loads = decodeLoads(use, index);
    return loads && { ...header, loads };
  } catch {
    return null;
  }
}

function selectMostUsed(loads: LoadByEngine) {
  return [...loads]
    .sort(([, a], [, b]) => b.held - a.held)
    .slice(0, MAX_ENGINES_SENT);
}
