/** Small pieces that both HTTP servers use. */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { CallFailure } from "@rosemarypin/calls";
import type { Address, FailureBody, Limits } from "@rosemarypin/schemas";

/** The body of a request, or why it was not taken. */
export type BodyResult =
  | { readonly kind: "body"; readonly body: Buffer }
  | { readonly kind: "too_large" }
  | { readonly kind: "aborted" };

/** Reads a whole body of at most `limit` bytes. */
export async function readBody(
  request: IncomingMessage,
  limit: number,
): Promise<BodyResult> {
  if (Number(request.headers["content-length"] ?? 0) > limit) {
    return { kind: "too_large" };
  }
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > limit) return { kind: "too_large" };
      chunks.push(chunk);
    }
  } catch {
    return { kind: "aborted" };
  }
  return { kind: "body", body: Buffer.concat(chunks) };
}

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
  response.writeHead(status, {
    "content-type": "application/json",
    ...options.headers,
  });
  response.end(JSON.stringify(options.body));
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
  sendJson(response, failure.status, {
    body: failureBody(failure, requestId),
    headers,
  });
}

/** Starts a server whose slow or oversized callers are cut off. */
export async function startServer(
  address: Address,
  options: {
    readonly limits: Limits;
    readonly handle: (
      request: IncomingMessage,
      response: ServerResponse,
    ) => void;
  },
): Promise<Server> {
  const { limits } = options;
  const server = createServer(
    {
      maxHeaderSize: limits.headerBytes,
      headersTimeout: limits.headersTimeoutMs,
      requestTimeout: limits.requestTimeoutMs,
      connectionsCheckingInterval: 1_000,
    },
    options.handle,
  );
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    server.listen(address.port, address.host, resolve);
  });
  return server;
}
