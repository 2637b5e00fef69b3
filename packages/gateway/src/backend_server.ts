/** Backend servers as registered with the platform, and engine reports. */
import type { LayerRange, ModelShape } from "@rosemarypin/pipelines";

/**
 * One process of a backend server. `startedAt` and `renewal` order entries with
 * the same ID.
 */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  /** `host:port`. */
  readonly address: string;
  readonly failureDomain: string;
  /** Number of requests that it processes concurrently. */
  readonly slots: number;
  /** Whether it is about to stop and accepts no new requests. */
  readonly leaving: boolean;
  /** Start of the process in Unix milliseconds; 0 if unknown. */
  readonly startedAt: number;
  /** Increases each time the process rewrites its entry. */
  readonly renewal: number;
  /** Orders that the process has started; `null` before its first report. */
  readonly orderCount: number | null;
  /** Name of its accelerator kind; `null` for plain services. */
  readonly kind: string | null;
  readonly model: string | null;
  /** Layers that it holds; `null` if none. */
  readonly held: LayerRange | null;
}

/** Layers of the model that a server holds; `null` for those of another model. */
export function heldOf(
  { held }: Pick<BackendServer, "held">,
  { layerCount }: Pick<ModelShape, "layerCount">,
): LayerRange | null {
  return held && held.to <= layerCount ? held : null;
}

/** Response of an engine to a report call. */
export interface EngineReport {
  /** Start of the process in Unix milliseconds; `null` if not reported. */
  readonly startedAt: number | null;
  /** Orders that the process has started. */
  readonly orderCount: number;
  /** Whether an order is in progress. */
  readonly busy: boolean;
  /** Layers that it holds; `null` if none. */
  readonly held: LayerRange | null;
  /** KV cache memory used by answers, in tokens times layers. */
  readonly usedTokenLayers: number;
  /** Size of the KV cache memory, in tokens times layers. */
  readonly totalTokenLayers: number;
  /** Number of requests that wait for memory. */
  readonly waiting: number;
  /** Factor by which it is slower than its kind at present; 1 if it isn't. */
  readonly slowdown: number;
  /** Answers that are blocked by a later stage that does not respond. */
  readonly stalled: readonly StalledAnswer[];
}

/** An answer that is blocked by a stage. */
export interface StalledAnswer {
  readonly requestId: string;
  /** `host:port` of the stage that does not respond. */
  readonly address: string;
}
