/** Starts HTTP servers whose slow, broken or oversized callers are cut off. */
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Duplex } from "node:stream";
import { badCall, type CallFailure } from "@rosemarypin/calls";
import type { Address, Limits } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";
import { failureBody, sendFailure } from "./http_basics.ts";

const CHECK_CONNECTIONS_MS = 1_000;
/**
 * Longer than balancers keep idle connections (usually 60 s). With Node's own
 * 5 s, this side closes a connection just as the other sends on it, which the
 * caller sees as a reset; after a freeze of 5 s that is sure to happen, since
 * timers run before what waits in the sockets is read.
 */
const KEEP_ALIVE_MS = 75_000;

const log = createLogger("http");

/** Answers one request. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => void;

/** Listens at `address` until it is closed. */
export async function startServer(
  address: Address,
  options: { readonly limits: Limits; readonly handle: RequestHandler },
): Promise<Server> {
  const { limits } = options;
  const inProgress = new WeakMap<Duplex, Set<ServerResponse>>();
  const server = createServer({
    maxHeaderSize: limits.headerBytes,
    headersTimeout: limits.headersTimeoutMs,
    requestTimeout: limits.requestTimeoutMs,
    connectionsCheckingInterval: CHECK_CONNECTIONS_MS,
    keepAliveTimeout: KEEP_ALIVE_MS,
  });
  server.maxConnections = limits.connections;

  const handle: RequestHandler = (request, response) => {
    const responses = inProgress.get(request.socket) ?? new Set();
    // A connection may send requests without waiting for answers, and each
    // would start work at once; past the limit the connection ends.
    if (responses.size >= limits.requestsPerConnection) {
      log.warn("pipelining_cut_off", { requests: responses.size });
      request.socket.destroy();
      return;
    }
    responses.add(response);
    inProgress.set(request.socket, responses);
    response.once("close", () => responses.delete(response));
    response.on("error", () => response.destroy());
    options.handle(request, response);
  };

  server.on("request", handle);
  // The reader of the body sends `100 Continue` once it wants the body.
  server.on("checkContinue", handle);
  server.on("checkExpectation", (_request, response) => {
    sendFailure(response, badExpectation(), { requestId: randomUUID() });
  });
  server.on("clientError", (error: NodeJS.ErrnoException, socket) => {
    const responses = [...(inProgress.get(socket) ?? [])];
    refuseUnparsed(error, { socket, isAnswering: !mayRefuse(responses) });
  });
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  return server;
}

/** Whether all that is under way is a request whose own body broke. */
function mayRefuse(responses: readonly ServerResponse[]): boolean {
  const [only, ...others] = responses;
  if (!only) return true;
  return others.length === 0 && !only.headersSent && !only.req.complete;
}

/**
 * Answers what is not a whole, well-formed request. Where an answer may be
 * under way on the same connection, bytes of ours would end up inside it, so
 * the connection is only cut.
 */
function refuseUnparsed(
  error: NodeJS.ErrnoException,
  options: { readonly socket: Duplex; readonly isAnswering: boolean },
): void {
  const { socket, isAnswering } = options;
  const failure = explainUnparsed(error.code ?? "");
  log.detail("unparsed_request", { code: error.code });
  if (isAnswering || !socket.writable || error.code === "ECONNRESET") {
    socket.destroy();
    return;
  }
  const body = JSON.stringify(failureBody(failure, randomUUID()));
  socket.end(
    [
      `HTTP/1.1 ${failure.status} Refused`,
      "connection: close",
      "content-type: application/json",
      `content-length: ${Buffer.byteLength(body)}`,
      "",
      body,
    ].join("\r\n"),
    () => socket.destroy(),
  );
}

function explainUnparsed(code: string): CallFailure {
  if (code === "HPE_HEADER_OVERFLOW") {
    return badCall("headers_too_large", {
      message: "send fewer or shorter headers",
      status: 431,
    });
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return badCall("request_too_slow", {
      message: "the request did not arrive in time; send it faster",
      status: 408,
    });
  }
  return badCall("bad_http", {
    message: "this is not a well-formed HTTP/1.1 request",
    status: 400,
  });
}

function badExpectation(): CallFailure {
  return badCall("bad_expectation", {
    message: "the only 'expect' that is met is '100-continue'",
    status: 417,
  });
}
