/** Starts HTTP servers whose slow, broken or oversized callers are cut off. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import { badCall, type CallFailure } from "@rosemarypin/calls";
import {
  type CallerMemories,
  type CallerServer,
  createCallerServer,
  type RequestHandler,
} from "@rosemarypin/connections";
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

/** Listens at `address` until it is closed. */
export async function startServer(
  address: Address,
  options: {
    readonly limits: Limits;
    readonly handle: RequestHandler;
    readonly memories: CallerMemories;
    /** Whether connections stay open after their answers; always by default. */
    readonly mayKeepOpen?: () => boolean;
  },
): Promise<CallerServer> {
  const { limits } = options;
  const handle: RequestHandler = (request, response, timing) => {
    response.on("error", () => response.destroy());
    if (isExpectationMet(request))
      return options.handle(request, response, timing);
    sendFailure(response, badExpectation(), { requestId: randomUUID() });
  };
  const callers = createCallerServer({
    http: {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: CHECK_CONNECTIONS_MS,
      keepAliveTimeout: KEEP_ALIVE_MS,
    },
    handle,
    mayKeepOpen: options.mayKeepOpen ?? (() => true),
    requestIdOf: ({ headers }) => String(headers["x-request-id"] ?? ""),
    refuseUnparsed,
    onClosed() {},
    maxWaiting: limits.requestsPerConnection,
    maxConnections: limits.connections,
    memories: options.memories,
  });
  const { server } = callers;
  // The reader of the body sends `100 Continue` once it wants the body.
  server.on("checkContinue", callers.receive);
  server.on("checkExpectation", callers.receive);
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  return callers;
}

/** Answers what is not a whole, well-formed request. */
function refuseUnparsed(code: string): string {
  log.detail("unparsed_request", { code });
  const failure = explainUnparsed(code);
  const body = JSON.stringify(failureBody(failure, randomUUID()));
  return [
    `HTTP/1.1 ${failure.status} Refused`,
    "connection: close",
    "content-type: application/json",
    `content-length: ${Buffer.byteLength(body)}`,
    "",
    body,
  ].join("\r\n");
}

function isExpectationMet({ headers: { expect } }: IncomingMessage): boolean {
  return expect === undefined || expect.toLowerCase() === "100-continue";
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
