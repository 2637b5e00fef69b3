/**
 * What the gateway needs of the protocols around it. An adapter translates
 * names and formats both ways; the gateway decides.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { LayerRange, Stage } from "@rosemarypin/pipelines";
import type { BackendServer, EngineReport } from "./backend_server.ts";

/** What a request's headers say. */
export interface RequestFacts {
  readonly requestId: string | null;
  /** How long the caller waits, in milliseconds; `null` if not told. */
  readonly deadlineMs: number | null;
  readonly key: string | null;
  readonly promptTokens: number | null;
  readonly mostAnswerTokens: number | null;
  /** What the caller expects; right on the average, far off for some. */
  readonly expectedAnswerTokens: number | null;
  /** The event after which a stream is to go on. */
  readonly lastEventId: string | null;
}

/** A stage with the address at which its engine is reached. */
export interface AddressedStage extends Stage {
  readonly address: string;
}

/** What an instance adds to a request that it passes on. */
export interface AttemptFacts {
  readonly backendId: string;
  readonly organisation: string | null;
  readonly deadlineMs: number;
  /** 0 is the most urgent. */
  readonly priority: number | null;
  /** Engines to pass through; `null` for plain services. */
  readonly pipeline: readonly AddressedStage[] | null;
  readonly lastEventId: string | null;
}

/** What the headers of a backend server's answer say. */
export interface AnswerFacts {
  readonly requestId: string | null;
  /** Whether it bears the mark of the server that made it. */
  readonly signed: boolean;
  /** The server states that it did not run the request and will not. */
  readonly notRun: boolean;
  /** HOST:PORT of the stage at fault, where one is named. */
  readonly faultyStage: string | null;
  /** Whether the body is as it was made, without a content coding. */
  readonly plainBody: boolean;
  /** Whether a length or chunks tell where the body ends. */
  readonly framed: boolean;
}

export type AnswerHeaders = Readonly<
  Record<string, string | string[] | undefined>
>;

/** Translates requests and answers. */
export interface RequestCodec {
  decodeRequest(headers: IncomingHttpHeaders): RequestFacts;
  /** Headers for a backend server, from the caller's raw ones. */
  encodeAttempt(rawHeaders: readonly string[], attempt: AttemptFacts): string[];
  decodeAnswer(status: number, headers: AnswerHeaders): AnswerFacts;
  /** Headers of the answer for the caller, as a flat list of pairs. */
  encodeAnswer(headers: AnswerHeaders): string[];
  /** Headers of an answer of our own. */
  encodeRefusal(options: {
    readonly requestId: string | null;
    readonly retryAfterSeconds: number | null;
  }): Record<string, string>;
}

/** What an engine said to an order. */
export type OrderAnswer =
  | { readonly kind: "accepted" }
  /** It already is as ordered. */
  | { readonly kind: "done" }
  /** The order does not fit the engine's state, which moved on. */
  | { readonly kind: "conflict"; readonly detail: string }
  /** The engine at the address is another one. */
  | { readonly kind: "replaced" }
  /** A later holder of the right to order has ordered it. */
  | { readonly kind: "fenced" }
  | { readonly kind: "refused"; readonly detail: string }
  /** No answer: it may be carried out later. */
  | { readonly kind: "unknown"; readonly detail: string };

/** How an engine gives up layers that answers are using. */
export interface PlaceOrder {
  readonly range: LayerRange;
  /** The order count that the engine must have. */
  readonly expectedOrderCount: number;
  readonly fencingNumber: number | null;
}

/** What an engine said to a change of an answer's pipeline. */
export type MoveAnswer =
  | { readonly kind: "moved" }
  | { readonly kind: "unknown_request" }
  | { readonly kind: "no_room"; readonly address: string | null }
  | { readonly kind: "failed"; readonly detail: string };

/** Calls to engines apart from callers' requests. */
export interface EngineCalls {
  /** Resolves to `null` when no usable report came in time. */
  report(address: string, timeoutMs: number): Promise<EngineReport | null>;
  place(
    server: BackendServer,
    order: PlaceOrder,
    timeoutMs: number,
  ): Promise<OrderAnswer>;
  /** Replaces later stages of an answer in progress. */
  changePipeline(
    address: string,
    change: {
      readonly requestId: string;
      readonly pipeline: readonly AddressedStage[];
    },
    timeoutMs: number,
  ): Promise<MoveAnswer>;
}
