/** Sends requests to backend servers, without retries. */
import { Agent, Client, type Dispatcher, errors } from "undici";
import type { BackendServer } from "../backend_server.ts";
import type { AnswerHeaders } from "../protocol.ts";
import { isMalformedAnswer } from "./answer_bounds.ts";
import type { SuspicionReason } from "./failure_detector.ts";
import { createTimedConnector } from "./timed_connector.ts";

/**
 * Connecting takes under a millisecond on a healthy link. A server that is cut
 * off never responds, and 300 ms leave time to try another one within a latency
 * objective of 500 ms.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Idle connections are closed after this, or sooner if the server asks. */
const IDLE_CONNECTION_TIMEOUT_MS = 8_000;

/** A request to a backend server. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** An answer whose headers have arrived and whose body is not read yet. */
export interface OpenAnswer {
  readonly kind: "answer";
  readonly status: number;
  readonly headers: AnswerHeaders;
  readonly body: AsyncIterable<Buffer>;
  /** Closes the connection. */
  abandon(): void;
}

export type ExchangeResult =
  | OpenAnswer
  /** No byte of the request was sent, so it did not run. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** The request may have been sent and run; no answer arrived. */
  | {
      readonly kind: "broken";
      readonly detail: string;
      /** Whether the server sent bytes that are no answer. */
      readonly isMalformed: boolean;
    };

export interface ExchangeOptions {
  readonly signal: AbortSignal;
  /**
   * Opens a new connection, so that a failure to connect proves that the
   * request did not run.
   */
  readonly freshConnection: boolean;
}

/** The part of a server by which it is connected to. */
export type ServerAddress = Pick<BackendServer, "address">;

export interface BackendExchange {
  send(
    server: ServerAddress,
    request: OutgoingRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResult>;
}

/** Creates an exchange with a connection pool for each server. */
export function createBackendExchange(): BackendExchange {
  const connect = createTimedConnector(CONNECT_TIMEOUT_MS);
  const agent = new Agent({
    connect,
    pipelining: 1,
    keepAliveTimeout: IDLE_CONNECTION_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async function sendPooled(
    server: ServerAddress,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    try {
      return await sendRequest(agent, { server, request, signal });
    } catch (error) {
      return classifyError(error, { connected: undefined });
    }
  }

  /**
   * If a server closes a pooled connection while a request is being sent, the
   * request fails without an answer and counts as one that may have run. On a
   * new connection, any failure before it is established proves that the
   * request did not run.
   */
  async function sendOnNewConnection(
    server: ServerAddress,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    let connected = false;
    const client = new Client(`http://${server.address}`, {
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      connect(options, callback) {
        connect(options, (...result) => {
          connected ||= result[0] === null;
          callback(...result);
        });
      },
    });
    try {
      const answer = await sendRequest(client, { server, request, signal });
      return { ...answer, body: closeClientAfter(answer.body, client) };
    } catch (error) {
      void client.destroy();
      return classifyError(error, { connected });
    }
  }

  return {
    send(server, request, { signal, freshConnection }) {
      return freshConnection
        ? sendOnNewConnection(server, request, signal)
        : sendPooled(server, request, signal);
    },
  };
}

async function sendRequest(
  dispatcher: Dispatcher,
  options: {
    readonly server: ServerAddress;
    readonly request: OutgoingRequest;
    readonly signal: AbortSignal;
  },
): Promise<OpenAnswer> {
  const { server, request, signal } = options;
  const response = await dispatcher.request({
    origin: `http://${server.address}`,
    path: request.path,
    method: request.method as Dispatcher.HttpMethod,
    headers: request.headers,
    body: request.body,
    signal,
  });
  // Destroying a body that isn't read emits an error. Without a listener, that
  // error would end the process and all other answers in progress.
  response.body.on("error", () => {});
  return {
    kind: "answer",
    status: response.statusCode,
    headers: response.headers,
    body: response.body,
    abandon() {
      response.body.destroy();
    },
  };
}

async function* closeClientAfter(
  body: AsyncIterable<Buffer>,
  client: Client,
): AsyncIterable<Buffer> {
  try {
    yield* body;
  } finally {
    void client.destroy();
  }
}

function classifyError(
  error: unknown,
  { connected }: { readonly connected: boolean | undefined },
): ExchangeResult {
  const detail = error instanceof Error ? error.message : String(error);
  const code = errorCodeOf(error);
  const isConnectFailure =
    error instanceof errors.ConnectTimeoutError || CONNECT_FAILURES.has(code);
  if (connected === false || (connected === undefined && isConnectFailure)) {
    return { kind: "not_sent", detail: code || detail };
  }
  const isMalformed = isMalformedAnswer(error);
  return { kind: "broken", detail: code || detail, isMalformed };
}

function errorCodeOf(error: unknown): string {
  const { name, code } = error as { name?: string; code?: unknown };
  const isAbort = name === "AbortError" || name === "TimeoutError";
  if (isAbort) return "given_up";
  return typeof code === "string" ? code : "";
}

/** Returns why a server is suspected after a failure to connect. */
export function suspicionReasonOf(detail: string): SuspicionReason {
  return detail === "ECONNREFUSED" ? "ended" : "silent";
}

/** Error codes that occur only while a connection is being established. */
const CONNECT_FAILURES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);
