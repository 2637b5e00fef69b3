/** Backend servers as the platform lists them. */
import type { LayerRange } from "@rosemarypin/pipelines";

/** One life of a backend server; a restart makes another. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  /** HOST:PORT. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it works on at once. */
  readonly slots: number;
  /** Whether it takes no new requests since it is about to stop. */
  readonly leaving: boolean;
  /** Start of this life in Unix milliseconds; 0 where it is not told. */
  readonly startedAt: number;
  /** Grows with each writing of the entry in one life. */
  readonly renewal: number;
  /** Orders that this life has begun; `null` until a report told. */
  readonly orderCount: number | null;
  /** Name of its kind of accelerator; `null` for plain services. */
  readonly kind: string | null;
  readonly model: string | null;
  readonly held: LayerRange | null;
}

/** What an engine says of itself when asked. */
export interface EngineReport {
  /** `null` where the report does not tell it. */
  readonly startedAt: number | null;
  readonly orderCount: number;
  /** Whether an order is in progress. */
  readonly busy: boolean;
  readonly held: LayerRange | null;
  /** Memory that answers take, in tokens times layers. */
  readonly usedTokenLayers: number;
  readonly totalTokenLayers: number;
  /** Answers that wait for a later stage which does not answer. */
  readonly stalled: readonly StalledAnswer[];
}

/** An answer held up by a stage. */
export interface StalledAnswer {
  readonly requestId: string;
  /** HOST:PORT of the stage. */
  readonly address: string;
}
