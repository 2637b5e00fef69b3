/**
 * Closes connections whose requests' heads take too long, or the rest of a body
 * whose request has been answered without it. The HTTP server's own
 * check doesn't wait for the answers before, and comes at once after this
 * process was blocked, although the rest of a head may have arrived meanwhile.
 * A blocked interval counts as one here, however long it was.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeConnection, parsedBytesOf } from "@rosemarypin/connections";

const CHECK_INTERVAL_MS = 250;

interface Connection {
  /** Requests that are being read or answered. */
  requests: number;
  /** Bytes that belong to earlier requests. */
  countedBytes: number;
  /** Time for which a part of a head has been there. */
  partialMs: number;
  /** The request that was answered before its body had come, if any. */
  answeredEarly: IncomingMessage | null;
  /** Time for which the rest of that body hasn't come. */
  restMs: number;
}

/** Starts to check the server's connections until it is closed. */
export function startHeadTimeouts(
  server: Server,
  limits: {
    readonly headMs: () => number;
    /** For the rest of a body, from the answer on. */
    readonly bodyMs: number;
  },
): void {
  const connections = new Map<Socket, Connection>();
  server.on("connection", (socket: Socket) => {
    connections.set(socket, {
      requests: 0,
      countedBytes: 0,
      partialMs: 0,
      answeredEarly: null,
      restMs: 0,
    });
    socket.once("close", () => connections.delete(socket));
  });
  server.on("request", (request: IncomingMessage, response) => {
    const connection = connections.get(request.socket);
    if (connection) trackRequest(connection, request, response);
  });
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  timer.unref();
  server.once("close", () => clearInterval(timer));

  function check(): void {
    for (const [socket, connection] of connections) {
      const isPartial =
        connection.requests === 0 &&
        parsedBytesOf(socket) > connection.countedBytes;
      connection.partialMs = isPartial
        ? connection.partialMs + CHECK_INTERVAL_MS
        : 0;
      const isRestMissing = connection.answeredEarly?.complete === false;
      connection.restMs = isRestMissing
        ? connection.restMs + CHECK_INTERVAL_MS
        : 0;
      const isLate =
        connection.partialMs > limits.headMs() ||
        connection.restMs > limits.bodyMs;
      if (isLate) closeConnection(socket, "bad_request");
    }
  }
}

function trackRequest(
  connection: Connection,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  const { socket } = request;
  connection.requests += 1;
  connection.partialMs = 0;
  // The rest of a refused request's body may come after the response.
  let openParts = 2;
  const closePart = () => {
    openParts -= 1;
    if (openParts > 0) return;
    connection.requests -= 1;
    connection.countedBytes = parsedBytesOf(socket);
  };
  request.once("close", closePart);
  response.once("close", () => {
    connection.answeredEarly = request.complete ? null : request;
    closePart();
  });
}
