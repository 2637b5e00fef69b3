/** Client of plain services behind rosemarypin. */
import { type Address, formatAddress } from "@rosemarypin/schemas";
import { Agent, buildConnector, Client, type Dispatcher } from "undici";
import {
  classifyTransportError,
  type TransportFailure,
} from "./transport_failure.ts";

const CONNECT_TIMEOUT_MS = 1_000;
const LARGEST_ANSWER_BYTES = 8 * 1024 * 1024;
/** A refusal with this header says that the server did not start the call. */
const NOT_STARTED_HEADER = "x-not-started";
/** An answer or refusal with this header comes from a leaving server. */
const LEAVING_HEADER = "x-leaving";
const LOWEST_REFUSAL_STATUS = 400;

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
  | {
      readonly kind: "answer";
      readonly answer: ServiceAnswer;
      readonly leaving: boolean;
    }
  /** The server itself said that it did not start the call. */
  | {
      readonly kind: "not_started";
      readonly detail: string;
      readonly leaving: boolean;
    }
  | TransportFailure;

export interface SendOptions {
  readonly timeoutMs: number;
  /** For calls that must not be repeated; see `sendFresh`. */
  readonly freshConnection?: boolean;
}

/** Sends one call to one server, once. */
export interface ServiceClient {
  send(
    address: Address,
    call: ServiceRequest,
    options: SendOptions,
  ): Promise<ServiceResult>;
}

/** Creates a client that never repeats a call by itself. */
export function createServiceClient(): ServiceClient {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  const agent = new Agent({
    connect,
    pipelining: 1,
    maxResponseSize: LARGEST_ANSWER_BYTES,
  });

  async function sendReused(
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
   * Sends a call over a connection of its own.
   *
   * A kept connection that its server closes in the same moment resets the
   * call before any answer: the server, which only restarted or timed an idle
   * connection out, ran nothing, yet the call must count as one that may have
   * run. On a connection of its own, all that fails before the connection
   * stands is certain not to have run, whatever the error is called.
   */
  async function sendFresh(
    address: Address,
    call: ServiceRequest,
    { timeoutMs }: SendOptions,
  ): Promise<ServiceResult> {
    let connected = false;
    const client = new Client(originOf(address), {
      pipelining: 0,
      maxResponseSize: LARGEST_ANSWER_BYTES,
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
      const send = options.freshConnection ? sendFresh : sendReused;
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
  const refused = headers[NOT_STARTED_HEADER] !== undefined;
  // A success that also claims not to have started contradicts itself, and
  // sending it elsewhere could run it twice: it counts as an answer.
  if (refused && status >= LOWEST_REFUSAL_STATUS) {
    return { kind: "not_started", detail: body.toString(), leaving };
  }
  const contentType = String(
    headers["content-type"] ?? "application/octet-stream",
  );
  return { kind: "answer", answer: { status, contentType, body }, leaving };
}

function originOf(address: Address): string {
  return `http://${formatAddress(address)}`;
}
