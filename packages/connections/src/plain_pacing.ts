/** Reading and connections of servers that don't order their requests. */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { paceReading } from "./paced_reading.ts";

interface Requests {
  last: IncomingMessage | undefined;
  /** Those without a whole answer. */
  open: number;
}

/**
 * Reads a connection's next request once those before are answered. Beyond
 * `maxConnections`, the oldest one without a request is closed for a new one.
 */
export function paceServer(
  server: Server,
  { maxConnections }: { readonly maxConnections: number },
): void {
  /** In the order in which they were opened. */
  const connections = new Map<Socket, Requests>();
  server.prependListener("connection", open);
  server.prependListener("request", follow);
  const reading = paceReading(server, {
    mayRead: (socket) => mayRead(connections.get(socket)),
    lastRequest: (socket) => connections.get(socket)?.last,
  });

  function mayRead(requests: Requests | undefined): boolean {
    return !requests?.open || requests.last?.complete === false;
  }

  function open(socket: Socket): void {
    connections.set(socket, { last: undefined, open: 0 });
    socket.once("close", () => connections.delete(socket));
    if (connections.size <= maxConnections) return;
    for (const [other, requests] of connections)
      if (requests.open === 0 && !other.destroyed) {
        other.destroy();
        return;
      }
  }

  function follow(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const requests = connections.get(socket);
    if (!requests) return;
    requests.last = request;
    requests.open += 1;
    response.once("close", () => {
      requests.open -= 1;
      reading.resume(socket);
    });
  }
}
