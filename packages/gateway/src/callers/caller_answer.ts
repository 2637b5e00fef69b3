/** Writes answers to callers: relayed ones and the gateway's own. */
import type { ServerResponse } from "node:http";
import type { OpenAnswer } from "../backends/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import type { CallEnd, CallerCall, CallOutcome } from "./caller_call.ts";
import {
  encodeHandoffHeader,
  HANDOFF_REPORT_HEADER,
} from "./handoff_headers.ts";

/** Statuses that guarantee that the request did not and will not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Range in seconds from which a retry delay for a caller is drawn. */
export interface RetryDelayRange {
  readonly minSeconds: number;
  readonly maxSeconds: number;
}

/** Full servers of plain services have capacity again after this time. */
const FULL_SERVER_RETRY_AFTER: RetryDelayRange = {
  minSeconds: 0.4,
  maxSeconds: 1.6,
};

export interface RefusalOptions {
  readonly status: number;
  readonly reason: string;
  readonly requestId: string | null;
  /** Delay before a retry; drawn at random if omitted. */
  readonly retryAfterSeconds?: number;
}

/** Writes an error answer; does nothing if an answer has begun. */
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
        ? (retryAfterSeconds ?? drawRetrySeconds(FULL_SERVER_RETRY_AFTER))
        : null,
    }),
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  response.end(body);
}

/** Draws a delay in seconds; randomness spreads the retries of callers. */
export function drawRetrySeconds({
  minSeconds,
  maxSeconds,
}: RetryDelayRange): number {
  return minSeconds + Math.random() * (maxSeconds - minSeconds);
}

/**
 * Writes status and headers of a backend server's answer to the caller. An
 * answer without a length ends when its connection closes, also if it breaks
 * off. It is relayed without chunked encoding, since the final chunk would make
 * a truncated answer look complete.
 */
export function beginAnswer(
  codec: RequestCodec,
  response: ServerResponse,
  { status, headers }: Pick<OpenAnswer, "status" | "headers">,
): void {
  const { isFramed } = codec.decodeAnswer(status, headers);
  if (!isFramed) response.useChunkedEncodingByDefault = false;
  response.writeHead(status, codec.encodeAnswer(headers));
}

/**
 * Tells the instance that handed the call off which servers have answered it
 * with errors. Does nothing for other calls, and once the answer has begun.
 */
export function reportFailedServers(
  { handedOff, response }: CallerCall,
  failedServers: ReadonlySet<string>,
): void {
  if (!handedOff || failedServers.size === 0 || response.headersSent) return;
  const report = { failedServers: [...failedServers] };
  response.setHeader(HANDOFF_REPORT_HEADER, encodeHandoffHeader(report));
}

/** Ends a call with an error answer and returns its end. */
export function endWithRefusal(
  codec: RequestCodec,
  call: CallerCall,
  options: {
    readonly outcome: CallOutcome;
    readonly reason: string;
    readonly attempts: number;
    /** Range of the delay before a retry. */
    readonly retryDelay?: RetryDelayRange;
    /** Milliseconds until servers want requests again, before that delay. */
    readonly backoffMs?: number;
    /** Delay before a retry, in place of one from the range. */
    readonly retryAfterSeconds?: number | null;
  },
): CallEnd {
  const { outcome, reason, attempts, backoffMs = 0 } = options;
  const retryDelay = options.retryDelay ?? FULL_SERVER_RETRY_AFTER;
  const status = outcome === "not_run" ? 503 : isPastDeadline(call) ? 504 : 502;
  refuse(codec, call.response, {
    status,
    reason,
    requestId: call.metadata.requestId,
    retryAfterSeconds:
      options.retryAfterSeconds ??
      backoffMs / 1_000 + drawRetrySeconds(retryDelay),
  });
  return { status, outcome, reason, attempts, firstByteMs: null };
}

function isPastDeadline(call: CallerCall): boolean {
  return performance.now() >= call.deadlineAt;
}
