/** Ends answers to requests that haven't been read to their end. */
import type { ServerResponse } from "node:http";
import { closeConnection } from "@rosemarypin/connections";

/** Time in which a caller that goes on sending can read the answer. */
const LINGER_MS = 2_000;

/**
 * Ends an answer with its body, of which the caller knows the length. If the
 * request is still arriving, the rest is discarded first: a connection that is
 * closed with unread bytes is reset, and the answer lost. After a bounded time
 * the connection is closed, since its caller could hold it for good.
 */
export function endAfterRequest(response: ServerResponse, body: string): void {
  const { req: request } = response;
  if (request.complete || request.destroyed) {
    response.end(body);
    return;
  }
  response.write(body);
  const timer = setTimeout(() => {
    const { socket } = request;
    end(() => closeConnection(socket, "bad_request"));
  }, LINGER_MS);
  const onEnd = () => end();
  request.once("end", onEnd);
  request.once("close", onEnd);
  request.resume();

  function end(afterwards?: () => void): void {
    clearTimeout(timer);
    request.off("end", onEnd);
    request.off("close", onEnd);
    response.end(afterwards);
  }
}
