/** Gets the KV cache of an answer from the engine that had it before. */
import {
  type CacheRequest,
  type CacheSource,
  exportedCacheSchema,
  formatAddress,
} from "@rosemarypin/schemas";
import { Agent, request } from "undici";
import type { OrderState } from "./order_state.ts";
import { type Sequence, startPosition } from "./sequence.ts";
import type { SequenceTable } from "./sequence_table.ts";

const CONNECT_TIMEOUT_MS = 1_000;

/** How an import went. */
export type CacheImportEnd =
  | {
      readonly kind: "imported";
      readonly bytes: number;
      readonly durationMs: number;
    }
  | { readonly kind: "failed"; readonly reason: string }
  /** The attempt ended meanwhile; nothing is to be said of it. */
  | { readonly kind: "stopped" };

/** Fills a sequence that was opened without its KV cache. */
export type CacheImport = (
  sequence: Sequence,
  source: CacheSource,
) => Promise<CacheImportEnd>;

/** Creates the importing half of an engine. */
export function createCacheImport(options: {
  readonly table: SequenceTable;
  readonly order: OrderState;
}): CacheImport {
  const { table, order } = options;
  const agent = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS } });

  async function pull(wanted: CacheRequest, source: CacheSource) {
    const url = `http://${formatAddress(source.address)}/cache/export`;
    const { statusCode, body } = await request(url, {
      dispatcher: agent,
      method: "POST",
      body: JSON.stringify(wanted),
      signal: AbortSignal.timeout(source.withinMs),
    });
    if (statusCode !== 200) throw new Error(await body.text());
    const exported = exportedCacheSchema.parse(await body.json());
    if (exported.cache.length === wanted.positions) return exported;
    throw new Error("too few positions came");
  }

  return async (sequence, source) => {
    const began = performance.now();
    try {
      const wanted = describe(sequence, source);
      const exported = await pull(wanted, source);
      // A later attempt, or the end of this one, came first: filled now, the
      // sequence would run layers for an answer that goes on elsewhere.
      if (table.running(wanted.requestId) !== sequence) {
        return { kind: "stopped" };
      }
      // It may have been recalled while its cache was on the link.
      if (!order.holds(wanted)) return { kind: "failed", reason: "not held" };
      sequence.cache.push(...exported.cache);
      sequence.digests.push(...exported.digests);
      sequence.lastDigest = exported.lastDigest;
      const { engine, incarnation } = source;
      const { positions } = wanted;
      sequence.imported = { engine, incarnation, positions };
      const durationMs = performance.now() - began;
      return { kind: "imported", bytes: exported.bytes, durationMs };
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return { kind: "failed", reason: `no import: ${reason}` };
    }
  };
}

function describe(
  { request: attempt, stage }: Sequence,
  source: CacheSource,
): CacheRequest {
  const { requestId, model, version, adapter } = attempt;
  return {
    requestId,
    attempt: attempt.attempt,
    model,
    version,
    adapter,
    layers: attempt.stages[stage]?.layers ?? { from: 0, to: 1 },
    positions: startPosition(attempt, stage),
    incarnation: source.incarnation,
  };
}
