/** Sends one request to one backend server, once. */
import { Agent, Client, type Dispatcher, errors } from "undici";
import type { BackendServer } from "../backend_server.ts";
import type { AnswerHeaders } from "../protocol.ts";
import type { AwayReason } from "./failure_detector.ts";
import { createTimedConnector } from "./timed_connector.ts";

/**
 * Bound on the time until a connection stands, in milliseconds. Links take
 * under a millisecond; a server that is cut off answers nothing, and 300 ms
 * leave time for another one within an objective of 500 ms.
 */
const CONNECT_TIMEOUT_MS = 300;
/** Unused connections are closed after this, unless servers say sooner. */
const KEEP_IDLE_MS = 8_000;

/** A request as it goes out. */
export interface OutgoingRequest {
  readonly method: string;
  readonly path: string;
  /** Flat list of names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** An answer whose body is still to be read. */
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
  /** No byte of the request left. */
  | { readonly kind: "not_sent"; readonly detail: string }
  /** It was sent and may have run; no answer came. */
  | { readonly kind: "broken"; readonly detail: string };

export interface ExchangeOptions {
  readonly signal: AbortSignal;
  /** Uses a connection of its own; see `sendFresh`. */
  readonly freshConnection: boolean;
}

export interface BackendExchange {
  send(
    server: BackendServer,
    request: OutgoingRequest,
    options: ExchangeOptions,
  ): Promise<ExchangeResult>;
}

/** Creates the sender; connections are kept for each server. */
export function createBackendExchange(): BackendExchange {
  const connect = createTimedConnector(CONNECT_TIMEOUT_MS);
  const agent = new Agent({
    connect,
    pipelining: 1,
    keepAliveTimeout: KEEP_IDLE_MS,
    headersTimeout: 0,
    bodyTimeout: 0,
  });

  async function sendKept(
    server: BackendServer,
    request: OutgoingRequest,
    signal: AbortSignal,
  ): Promise<ExchangeResult> {
    try {
      return await open(agent, { server, request, signal });
    } catch (error) {
      return judge(error, { connected: undefined });
    }
  }

  /**
   * A kept connection that its server closes in the same moment resets the
   * request before any answer: nothing ran, yet it must count as one that may
   * have run. On a connection of its own, all that fails before it stands is
   * certain not to have run.
   */
  async function sendFresh(
    server: BackendServer,
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
      const answer = await open(client, { server, request, signal });
      return { ...answer, body: closeAfter(answer.body, client) };
    } catch (error) {
      void client.destroy();
      return judge(error, { connected });
    }
  }

  return {
    send(server, request, { signal, freshConnection }) {
      return freshConnection
        ? sendFresh(server, request, signal)
        : sendKept(server, request, signal);
    },
  };
}

async function open(
  dispatcher: Dispatcher,
  options: {
    readonly server: BackendServer;
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
  return {
    kind: "answer",
    status: response.statusCode,
    headers: response.headers,
    body: response.body,
    abandon() {
      // Its error says that we gave it up; without a listener it would end
      // the process, and with it every other answer in progress.
      response.body.once("error", () => {});
      response.body.destroy();
    },
  };
}

async function* closeAfter(
  body: AsyncIterable<Buffer>,
  client: Client,
): AsyncIterable<Buffer> {
  try {
    yield* body;
  } finally {
    void client.destroy();
  }
}

function judge(
  error: unknown,
  { connected }: { readonly connected: boolean | undefined },
): ExchangeResult {
  const detail = error instanceof Error ? error.message : String(error);
  const code = codeOf(error);
  const isConnectFailure =
    error instanceof errors.ConnectTimeoutError || CONNECT_FAILURES.has(code);
  if (connected === false || (connected === undefined && isConnectFailure)) {
    return { kind: "not_sent", detail: code || detail };
  }
  return { kind: "broken", detail: code || detail };
}

function codeOf(error: unknown): string {
  const { name, code } = error as { name?: string; code?: unknown };
  const isGivenUp = name === "AbortError" || name === "TimeoutError";
  if (isGivenUp) return "given_up";
  return typeof code === "string" ? code : "";
}

/** What a connection that did not come about says of its server. */
export function awayReason(detail: string): AwayReason {
  return detail === "ECONNREFUSED" ? "ended" : "silent";
}

/** Codes that only the making of a connection brings. */
const CONNECT_FAILURES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
]);
