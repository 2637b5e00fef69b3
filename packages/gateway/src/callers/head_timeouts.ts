/**
 * Closes connections whose requests' heads take too long. The HTTP server's own
 * check doesn't wait for the answers before, and comes at once after this
 * process was blocked, although the rest of a head may have arrived meanwhile.
 * A blocked interval counts as one here, however long it was.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { closeConnection } from "@rosemarypin/connections";

const CHECK_INTERVAL_MS = 250;

interface Connection {
  /** Requests that are being read or answered. */
  requests: number;
  /** Bytes that belong to earlier requests. */
  countedBytes: number;
  /** Time for which a part of a head has been there. */
  partialMs: number;
}

/** Starts to check the server's connections until it is closed. */
export function startHeadTimeouts(
  server: Server,
  timeoutMs: () => number,
): void {
  const connections = new Map<Socket, Connection>();
  server.on("connection", (socket: Socket) => {
    const connection = { requests: 0, countedBytes: 0, partialMs: 0 };
    connections.set(socket, connection);
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
        connection.requests === 0 && socket.bytesRead > connection.countedBytes;
      connection.partialMs = isPartial
        ? connection.partialMs + CHECK_INTERVAL_MS
        : 0;
      if (connection.partialMs > timeoutMs())
        closeConnection(socket, "bad_request");
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
    connection.countedBytes = socket.bytesRead;
  };
  request.once("close", closePart);
  response.once("close", closePart);
}
