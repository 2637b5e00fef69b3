/** Client of plain services behind rosemarypin. */
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { Agent, request } from "undici";
import {
  classifyTransportError,
  type TransportFailure,
} from "./transport_failure.ts";

const CONNECT_TIMEOUT_MS = 1_000;
/** A refusal with this header says that the server did not start the call. */
const NOT_STARTED_HEADER = "x-not-started";

/** A call as it goes to the service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query below the service's root. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A whole answer of a service. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
}

export type ServiceResult =
  | { readonly kind: "answer"; readonly answer: ServiceAnswer }
  /** The server itself said that it did not start the call. */
  | { readonly kind: "not_started"; readonly detail: string }
  | TransportFailure;

/** Sends one call to one server, once. */
export interface ServiceClient {
  send(
    address: Address,
    call: ServiceRequest,
    options: { readonly timeoutMs: number; readonly signal?: AbortSignal },
  ): Promise<ServiceResult>;
}

/** Creates a client that never repeats a call by itself. */
export function createServiceClient(): ServiceClient {
  const agent = new Agent({
    connect: { timeout: CONNECT_TIMEOUT_MS },
    pipelining: 1,
  });

  return {
    async send(address, call, { timeoutMs, signal }) {
      const timeout = AbortSignal.timeout(timeoutMs);
      try {
        const response = await request(
          `http://${formatAddress(address)}${call.path}`,
          {
            dispatcher: agent,
            method: call.method,
            headers: call.headers,
            body: call.body.length > 0 ? call.body : null,
            signal: signal ? AbortSignal.any([signal, timeout]) : timeout,
          },
        );
        const body = Buffer.from(await response.body.arrayBuffer());
        if (response.headers[NOT_STARTED_HEADER] !== undefined) {
          return { kind: "not_started", detail: body.toString() };
        }
        const contentType = String(
          response.headers["content-type"] ?? "application/octet-stream",
        );
        const status = response.statusCode;
        return { kind: "answer", answer: { status, contentType, body } };
      } catch (error) {
        return classifyTransportError(error);
      }
    },
  };
}
