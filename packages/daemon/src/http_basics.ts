/** Small pieces that both HTTP servers use. */
import type { ServerResponse } from "node:http";
import type { CallFailure } from "@rosemarypin/calls";
import { closeConnection } from "@rosemarypin/connections";
import type { FailureBody } from "@rosemarypin/schemas";

/** How long a caller may go on sending after it was refused. */
const LINGER_MS = 1_000;

/** Sends a whole JSON answer. */
export function sendJson(
  response: ServerResponse,
  status: number,
  options: {
    readonly body: unknown;
    readonly headers?: Readonly<Record<string, string>>;
  },
): void {
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(options.body);
  response.writeHead(status, {
    "content-type": "application/json",
    "content-length": Buffer.byteLength(body),
    ...options.headers,
  });
  response.end(body);
}

/** The body that tells a caller of a failure. */
export function failureBody(
  failure: CallFailure,
  requestId: string,
): FailureBody {
  const { outcome, code, message, retryAfterSeconds, noteNumber } = failure;
  return {
    error: { outcome, code, message, requestId, retryAfterSeconds, noteNumber },
  };
}

/** Sends a failure, with `retry-after` where there is one. */
export function sendFailure(
  response: ServerResponse,
  failure: CallFailure,
  options: { readonly requestId: string },
): void {
  const { requestId } = options;
  const headers: Record<string, string> = { "x-request-id": requestId };
  if (failure.retryAfterSeconds !== undefined) {
    headers["retry-after"] = String(Math.ceil(failure.retryAfterSeconds));
  }
  if (!response.req.complete) closeAfterRefusal(response, headers);
  sendJson(response, failure.status, {
    body: failureBody(failure, requestId),
    headers,
  });
}

/**
 * A refused caller may go on sending its body. Node would read and drop all
 * of it, for as long as the caller likes; so the connection ends soon after
 * the refusal, and not at once, so that the caller can still read why.
 */
function closeAfterRefusal(
  response: ServerResponse,
  headers: Record<string, string>,
): void {
  const { socket } = response.req;
  headers.connection = "close";
  response.once("finish", () => {
    setTimeout(() => closeConnection(socket, "announced"), LINGER_MS).unref();
  });
}
