/** Writes answers to callers: those of backend servers, and our own. */
import type { ServerResponse } from "node:http";
import type { OpenAnswer } from "../backends/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type { CallEnd, CallerCall, CallOutcome } from "./caller_call.ts";

/** Statuses that promise that the request did not and will not run. */
const NOT_RUN_STATUSES = new Set([408, 421, 429, 503]);
/** A span from which a time to come back is drawn, in seconds. */
export interface ReturnSpan {
  readonly least: number;
  readonly most: number;
}

/** Servers of plain services that are full have room again this soon. */
const RETURN_SECONDS: ReturnSpan = { least: 0.4, most: 1.6 };

export interface RefusalOptions {
  readonly status: number;
  readonly reason: string;
  readonly requestId: string | null;
  /** When to come back, in seconds; chosen here when left out. */
  readonly retryAfterSeconds?: number;
}

/** Writes an answer of our own; does nothing when one has begun. */
export function refuse(
  codec: RequestCodec,
  response: ServerResponse,
  { status, reason, requestId, retryAfterSeconds }: RefusalOptions,
): void {
  if (response.headersSent || response.destroyed) return;
  const body = `${JSON.stringify({ error: reason })}\n`;
  response.writeHead(status, {
    ...codec.encodeRefusal({
      requestId,
      retryAfterSeconds: NOT_RUN_STATUSES.has(status)
        ? (retryAfterSeconds ?? drawReturn(RETURN_SECONDS))
        : null,
    }),
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Draws when to come back; those refused together return one by one. */
export function drawReturn({ least, most }: ReturnSpan): number {
  return least + Math.random() * (most - least);
}

/**
 * Begins a backend server's answer to its caller. An answer without a length
 * ends with its connection, whether its server ended it or broke off. It goes
 * on in the same way: with a length of our own, half of it would look whole.
 */
export function beginAnswer(
  codec: RequestCodec,
  response: ServerResponse,
  { status, headers }: Pick<OpenAnswer, "status" | "headers">,
): void {
  const { framed } = codec.decodeAnswer(status, headers);
  if (!framed) response.useChunkedEncodingByDefault = false;
  response.writeHead(status, codec.encodeAnswer(headers));
}

/** Ends a call with an answer of our own, and says how it ended. */
export function endWithRefusal(
  codec: RequestCodec,
  call: CallerCall,
  options: {
    readonly outcome: CallOutcome;
    readonly reason: string;
    readonly attempts: number;
    readonly retryAfterSeconds?: number;
  },
): CallEnd {
  const { outcome, reason, attempts } = options;
  const status = outcome === "not_run" ? 503 : isTimeOver(call) ? 504 : 502;
  refuse(codec, call.response, {
    status,
    reason,
    requestId: call.facts.requestId,
    ...(options.retryAfterSeconds === undefined
      ? {}
      : { retryAfterSeconds: options.retryAfterSeconds }),
  });
  return { status, outcome, reason, attempts, firstByteMs: null };
}

function isTimeOver(call: CallerCall): boolean {
  return performance.now() >= call.deadlineAt;
}
