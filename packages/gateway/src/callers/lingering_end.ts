/** Ends answers to requests that haven't been read to their end. */
import type { ServerResponse } from "node:http";

/** Time in which a caller that goes on sending can read the answer. */
const LINGER_MS = 2_000;

/**
 * Ends an answer with its body, of which the caller knows the length. If the
 * request is still arriving, the rest is discarded first, for a bounded time: a
 * connection that is closed with unread bytes is reset, and the answer lost.
 */
export function endAfterRequest(response: ServerResponse, body: string): void {
  const { req: request } = response;
  if (request.complete || request.destroyed) {
    response.end(body);
    return;
  }
  response.write(body);
  const timer = setTimeout(end, LINGER_MS);
  request.once("end", end);
  request.once("close", end);
  request.resume();

  function end(): void {
    clearTimeout(timer);
    request.off("end", end);
    request.off("close", end);
    response.end();
  }
}
