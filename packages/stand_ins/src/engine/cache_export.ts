/** Gives the KV cache of an answer to the engine that goes on with it. */
import type { CacheRequest, ExportedCache } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import type { EngineSpeed } from "../stand_in_settings.ts";
import type { OrderState } from "./order_state.ts";
import { hasSameLayers, type Sequence } from "./sequence.ts";
import type { SequenceTable } from "./sequence_table.ts";
import { createBatchClock } from "./speed.ts";

const DEFAULT_CACHE_BYTES = 4_096;
const DEFAULT_BYTES_PER_SECOND = 1_000_000_000;
const MILLIS = 1_000;

/** KV cache of one layer for one position, in bytes. */
export function cacheBytesOf(speed: EngineSpeed): number {
  return speed.cacheBytes ?? DEFAULT_CACHE_BYTES;
}

/** Fails transfers; tests set it. May wait, and throws to fail one. */
export type ExportFault = () => Promise<void>;

export interface CacheExportOptions {
  readonly incarnation: number;
  readonly table: SequenceTable;
  readonly order: OrderState;
  readonly speed: EngineSpeed;
  readonly linkMs: () => number;
  readonly fault: ExportFault | undefined;
  /** Ends a sequence that still runs here for an earlier attempt. */
  stop(sequence: Sequence): void;
}

/** The cache, or why there is none. */
export type CacheExportEnd =
  | { readonly kind: "exported"; readonly exported: ExportedCache }
  | { readonly kind: "refused"; readonly reason: string };

/** Exports of one engine, which share its link. */
export interface CacheExports {
  /** Resolves when the last byte has left. */
  give(request: CacheRequest): Promise<CacheExportEnd>;
  setSpeed(bytesPerSecond: number): void;
}

/** Creates the exporting half of an engine. */
export function createCacheExports(options: CacheExportOptions): CacheExports {
  const { incarnation, table, order, speed } = options;
  const link = createBatchClock();
  let bytesPerSecond = speed.exportBytesPerSecond ?? DEFAULT_BYTES_PER_SECOND;

  /** The sequence that has what is asked for. */
  function find(request: CacheRequest): Sequence | string {
    const { requestId, attempt } = request;
    const planned = request.incarnation ?? incarnation;
    if (planned !== incarnation) return "restarted";
    // Nothing of a withdrawn version may be reused.
    if (!order.holds(request)) return "not held";
    // A late request of an older attempt would end the one that goes on.
    if (table.latestAttempt(requestId) > attempt) return "a later attempt ran";
    const running = table.running(requestId);
    const sequence = running ?? table.parked(requestId)?.sequence;
    if (!sequence) return "no cache";
    if (!hasSameLayers(sequence, request)) return "another cache";
    if (sequence.cache.length < request.positions) return "too few positions";
    return sequence;
  }

  return {
    async give(request) {
      const sequence = find(request);
      if (typeof sequence === "string") return refuse(sequence);
      const { requestId, attempt, positions } = request;
      // Two attempts at work on one answer would run its layers twice.
      if (table.running(requestId) === sequence) options.stop(sequence);
      table.noteAttempt(requestId, attempt);
      const layers = request.layers.to - request.layers.from;
      const bytes = positions * layers * cacheBytesOf(speed);
      const durationMs = (bytes / bytesPerSecond) * MILLIS;
      await link.run(durationMs, performance.now());
      await pause(options.linkMs());
      await options.fault?.();
      // It may have been recalled while its cache was on the link.
      if (!order.holds(request)) return refuse("not held");
      return { kind: "exported", exported: { ...cut(sequence), bytes } };

      function cut({ request: old, cache, digests, lastDigest }: Sequence) {
        const tokens = Math.max(0, positions - old.promptTokens.length + 1);
        return {
          cache: cache.slice(0, positions),
          digests: digests.slice(0, tokens),
          lastDigest,
        };
      }
    },
    setSpeed(next) {
      bytesPerSecond = next;
    },
  };
}

function refuse(reason: string): CacheExportEnd {
  return { kind: "refused", reason };
}
