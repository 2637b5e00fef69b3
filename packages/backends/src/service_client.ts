/** HTTP client for the servers of plain services. */
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { Agent, Client, type Dispatcher } from "undici";
import { marksItsEnd } from "./answer_end.ts";
import { createGuardedConnector } from "./reset_guard.ts";
import {
  classifyTransportError,
  type TransportFailure,
} from "./transport_failure.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;
/** Set on an error response when the server did not start the call. */
const NOT_STARTED_HEADER = "x-not-started";
/** Set on any response of a server that is leaving. */
const LEAVING_HEADER = "x-leaving";
const MIN_ERROR_STATUS = 400;

/** A call as it is sent to the service. */
export interface ServiceRequest {
  readonly method: string;
  /** Path and query below the service's root. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** A response of a service, read to its end. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Buffer;
  /**
   * Whether the response marked its own end. Otherwise its connection ended,
   * and nobody knows whether the body is whole.
   */
  readonly isDelimited: boolean;
}

export type ServiceResult =
  | {
      readonly kind: "answer";
      readonly answer: ServiceAnswer;
      readonly leaving: boolean;
    }
  /** The server reported that it did not start the call. */
  | {
      readonly kind: "not_started";
      readonly detail: string;
      readonly leaving: boolean;
    }
  | TransportFailure;

export interface SendOptions {
  readonly timeoutMs: number;
  /** For calls that must not be repeated; see `sendOnNewConnection`. */
  readonly freshConnection?: boolean;
}

/** Sends a call to one server, without retries. */
export interface ServiceClient {
  send(
    address: Address,
    call: ServiceRequest,
    options: SendOptions,
  ): Promise<ServiceResult>;
}

/** Creates a client that never retries a call. */
export function createServiceClient(): ServiceClient {
  const connect = createGuardedConnector({ timeout: CONNECT_TIMEOUT_MS });
  const agent = new Agent({
    connect,
    pipelining: 1,
    maxResponseSize: MAX_RESPONSE_BYTES,
  });

  async function sendPooled(
    address: Address,
    call: ServiceRequest,
    { timeoutMs }: SendOptions,
  ): Promise<ServiceResult> {
    try {
      return await exchange(agent, { address, call, timeoutMs });
    } catch (error) {
      return classifyTransportError(error);
    }
  }

  /**
   * Sends a call over a new connection.
   *
   * A keep-alive connection may be closed by its server just as the call is
   * sent. The server only restarted or timed out an idle connection, and ran
   * nothing, yet the reset call has to count as one that may have run. With a
   * new connection, a call that fails before the connection is established has
   * certainly not run, whatever the error code.
   */
  async function sendOnNewConnection(
    address: Address,
    call: ServiceRequest,
    { timeoutMs }: SendOptions,
  ): Promise<ServiceResult> {
    let connected = false;
    const client = new Client(originOf(address), {
      pipelining: 0,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect(options, callback) {
        connect(options, (...result) => {
          connected ||= result[0] === null;
          callback(...result);
        });
      },
    });
    try {
      return await exchange(client, { address, call, timeoutMs });
    } catch (error) {
      const failure = classifyTransportError(error);
      const { detail } = failure;
      if (connected) return { kind: "broken", detail };
      const refused = failure.kind === "not_sent" && failure.refused;
      return { kind: "not_sent", detail, refused };
    } finally {
      void client.destroy();
    }
  }

  return {
    send(address, call, options) {
      const send = options.freshConnection ? sendOnNewConnection : sendPooled;
      return send(address, call, options);
    },
  };
}

async function exchange(
  dispatcher: Dispatcher,
  options: {
    readonly address: Address;
    readonly call: ServiceRequest;
    readonly timeoutMs: number;
  },
): Promise<ServiceResult> {
  const { address, call, timeoutMs } = options;
  const response = await dispatcher.request({
    origin: originOf(address),
    path: call.path,
    method: call.method as Dispatcher.HttpMethod,
    headers: call.headers,
    body: call.body.length > 0 ? call.body : null,
    headersTimeout: 0,
    bodyTimeout: 0,
    signal: AbortSignal.timeout(timeoutMs),
  });
  const { headers, statusCode: status } = response;
  const body = Buffer.from(await response.body.arrayBuffer());
  const leaving = headers[LEAVING_HEADER] !== undefined;
  const isNotStarted = headers[NOT_STARTED_HEADER] !== undefined;
  // A success status contradicts the header. A retry on another server could
  // run the call twice, so the response counts as an answer.
  if (isNotStarted && status >= MIN_ERROR_STATUS) {
    return { kind: "not_started", detail: body.toString(), leaving };
  }
  const contentType = String(
    headers["content-type"] ?? "application/octet-stream",
  );
  const isDelimited = marksItsEnd(call.method, { status, headers });
  const answer = { status, contentType, body, isDelimited };
  return { kind: "answer", answer, leaving };
}

function originOf(address: Address): string {
  return `http://${formatAddress(address)}`;
}
