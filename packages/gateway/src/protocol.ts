/**
 * Interfaces to the protocols of callers, backend servers and engines. An
 * adapter translates headers and bodies and leaves decisions to the gateway.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { LayerRange, Stage } from "@rosemarypin/pipelines";
import type { BackendServer, EngineReport } from "./backend_server.ts";

/** Values decoded from the headers of a request; `null` if absent. */
export interface RequestMetadata {
  readonly requestId: string | null;
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number | null;
  /** Key that identifies the organisation. */
  readonly key: string | null;
  readonly promptTokens: number | null;
  readonly maxAnswerTokens: number | null;
  /** Caller's estimate: unbiased on average, but inaccurate for some requests. */
  readonly expectedAnswerTokens: number | null;
  /** ID of the event after which the stream should resume. */
  readonly lastEventId: string | null;
  /**
   * IDs of the parts of the prompt that other requests may have as well, from
   * the most general one to the most specific one.
   */
  readonly sharedPromptParts: readonly string[];
}

/** A stage with the address of its engine. */
export interface AddressedStage extends Stage {
  /** `host:port`. */
  readonly address: string;
}

/** Values that an instance adds to a request before it forwards it. */
export interface AttemptMetadata {
  readonly backendId: string;
  readonly organisation: string | null;
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly priority: number | null;
  /** Stages that process the request; `null` for plain services. */
  readonly pipeline: readonly AddressedStage[] | null;
  readonly lastEventId: string | null;
}

/** Values decoded from the headers of a backend server's answer. */
export interface AnswerMetadata {
  readonly requestId: string | null;
  /**
   * Whether it carries a backend server's signature header, which answers made
   * by intermediaries lack.
   */
  readonly isSigned: boolean;
  /** Whether the server states that it has not run the request and never will. */
  readonly notRun: boolean;
  /** `host:port` of the stage that failed, if the answer names one. */
  readonly faultyStage: string | null;
  /** Whether the body has no content coding. */
  readonly hasPlainBody: boolean;
  /** Whether a content length or chunked encoding marks the body's end. */
  readonly isFramed: boolean;
  /** Time for which the server wants no further requests; `null` if not sent. */
  readonly retryAfterSeconds: number | null;
  /**
   * Requests a second that the server takes from all instances together; `null`
   * if it names no limit.
   */
  readonly requestLimitPerSecond: number | null;
  /** Whether the server is about to stop. */
  readonly isLeaving: boolean;
}

export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Translates the headers of requests and answers. */
export interface RequestCodec {
  decodeRequest(headers: IncomingHttpHeaders): RequestMetadata;
  /** Returns raw headers for a backend server from those of the caller. */
  encodeAttempt(
    rawHeaders: readonly string[],
    attempt: AttemptMetadata,
  ): string[];
  decodeAnswer(status: number, headers: AnswerHeaders): AnswerMetadata;
  /** Returns the headers for the caller as a flat list of names and values. */
  encodeAnswer(headers: AnswerHeaders): string[];
  /** Returns the headers of an error response that the gateway itself sends. */
  encodeRefusal(options: {
    readonly requestId: string | null;
    readonly retryAfterSeconds: number | null;
  }): Record<string, string>;
}

/** Outcome of an order to an engine. */
export type OrderOutcome =
  | { readonly kind: "accepted" }
  /** The engine already is in the ordered state. */
  | { readonly kind: "done" }
  /** The engine's state has changed since the order was decided. */
  | { readonly kind: "conflict"; readonly detail: string }
  /** Another engine has the address, or the engine has restarted. */
  | { readonly kind: "replaced" }
  /** The engine has accepted an order with a higher fencing number. */
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly detail: string }
  /** No response; the engine may still execute the order. */
  | { readonly kind: "unknown"; readonly detail: string };

/** An order to hold a range of layers. */
export interface PlaceOrder {
  readonly range: LayerRange;
  /** The engine rejects the order unless it has this order count. */
  readonly expectedOrderCount: number;
  /** Fencing number of the lease; `null` to send the order without one. */
  readonly fencingNumber: number | null;
}

/** Outcome of a change of an answer's pipeline. */
export type PipelineChangeOutcome =
  | { readonly kind: "moved" }
  | { readonly kind: "unknown_request" }
  /** The engine at the address lacks memory; `null` if none is named. */
  | { readonly kind: "no_room"; readonly address: string | null }
  | { readonly kind: "failed"; readonly detail: string };

/** Control calls to engines. */
export interface EngineCalls {
  /** Resolves to `null` if no valid report arrives in time. */
  report(address: string, timeoutMs: number): Promise<EngineReport | null>;
  /** Orders an engine to hold a range of layers. */
  place(
    server: BackendServer,
    order: PlaceOrder,
    timeoutMs: number,
  ): Promise<OrderOutcome>;
  /**
   * Replaces later stages in the pipeline of an answer in progress; `address` is
   * that of its first engine.
   */
  changePipeline(
    address: string,
    change: {
      readonly requestId: string;
      readonly pipeline: readonly AddressedStage[];
    },
    timeoutMs: number,
  ): Promise<PipelineChangeOutcome>;
}
