/** Writes answers to callers: relayed ones and the gateway's own. */
import type { ServerResponse } from "node:http";
import type { RetryDelayRange, RetryRefusal } from "@rosemarypin/admission";
import { isBodiless } from "@rosemarypin/backends";
import { closeConnection } from "@rosemarypin/connections";
import type { OpenAnswer } from "../backends/mod.ts";
import type { RequestCodec } from "../protocol.ts";
import {
  type CallEnd,
  type CallerCall,
  type CallOutcome,
  priorityOf,
  timeLeftMs,
} from "./caller_call.ts";
import {
  encodeHandoffHeader,
  HANDOFF_REPORT_HEADER,
} from "./handoff_headers.ts";
import { endAfterRequest } from "./lingering_end.ts";
import type { RetrySchedules } from "./retry_schedules.ts";

/** Statuses that guarantee that the request did not and will not run. */
export const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([
  408, 421, 429, 503,
]);

/** Full servers of plain services have capacity again after this time. */
const FULL_SERVER_RETRY_AFTER: RetryDelayRange = {
  minSeconds: 0.4,
  maxSeconds: 1.6,
};

/** What refusals are made with. */
export interface RefusalParts {
  readonly codec: RequestCodec;
  readonly retrySchedules: RetrySchedules;
}

export interface RefusalOptions {
  readonly status: number;
  readonly reason: string;
  readonly requestId: string | null;
  /** Delay before a retry; `null` for statuses that don't have one. */
  readonly retryAfterSeconds: number | null;
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
    ...codec.encodeRefusal({ requestId, retryAfterSeconds }),
    "Content-Type": "application/json",
    "Content-Length": Buffer.byteLength(body),
  });
  endAfterRequest(response, body);
}

/**
 * Seconds after which the caller of a refused request should return; `null` for
 * statuses that don't have a delay.
 */
export function retryDelayOf(
  { retrySchedules }: RefusalParts,
  status: number,
  {
    service,
    ...refusal
  }: Pick<RetryRefusal, "priority" | "leftMs"> &
    Partial<RetryRefusal> & {
      /** `null` if none was chosen. */
      readonly service: string | null;
    },
): number | null {
  if (!NOT_RUN_STATUSES.has(status)) return null;
  return retrySchedules.of(service ?? "").delayFor({
    cost: 0,
    expectedWaitMs: 0,
    costPerSecond: 0,
    fallback: FULL_SERVER_RETRY_AFTER,
    ...refusal,
  });
}

/** Whether the end of its connection is all that ends an answer's body. */
export function isCloseDelimited(
  codec: RequestCodec,
  method: string,
  { status, headers }: Pick<OpenAnswer, "status" | "headers">,
): boolean {
  if (isBodiless(method, status)) return false;
  return !codec.decodeAnswer(status, headers).isFramed;
}

/**
 * Writes status and headers of a backend server's answer to the caller. Without
 * a length it is sent in chunks: only a whole answer gets the final chunk, also
 * when this process is killed. To a caller of HTTP/1.0, or with
 * `isCloseDelimited`, it ends with its connection.
 */
export function beginAnswer(
  codec: RequestCodec,
  response: ServerResponse,
  answer: Pick<OpenAnswer, "status" | "headers"> & {
    readonly isCloseDelimited?: boolean;
  },
): void {
  const { status, headers } = answer;
  if (answer.isCloseDelimited) response.useChunkedEncodingByDefault = false;
  response.writeHead(status, codec.encodeAnswer(headers));
}

/**
 * Writes an answer whose body was read to its end. A close-delimited one stays
 * so: nobody knows whether its body is whole, so none of its framing may say it.
 */
export function sendBufferedAnswer(
  codec: RequestCodec,
  response: ServerResponse,
  answer: Pick<OpenAnswer, "status" | "headers"> & { readonly body: Buffer },
): void {
  const { status, headers, body } = answer;
  const encoded = codec.encodeAnswer(headers);
  const hasLength = headers["content-length"] !== undefined;
  const method = response.req.method ?? "GET";
  const hasBody = !isBodiless(method, status);
  if (isCloseDelimited(codec, method, answer))
    response.useChunkedEncodingByDefault = false;
  else if (!hasLength && hasBody)
    encoded.push("Content-Length", String(body.length));
  response.writeHead(status, encoded);
  response.end(body);
}

/**
 * Ends an answer that has begun and can't be completed, so that it doesn't look
 * complete. If it has neither a length nor chunks, only a reset shows that.
 */
export function breakAnswerOff(response: ServerResponse): void {
  const isReset = endsWithConnection(response);
  closeConnection(response.socket, "answer_cut", { isReset });
  response.destroy();
}

/** Whether an answer that has begun tells its caller nothing of its end. */
export function endsWithConnection(response: ServerResponse): boolean {
  return (
    !response.useChunkedEncodingByDefault &&
    !response.hasHeader("content-length")
  );
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

/** What the admission queue knows of a call that it has refused. */
export interface QueueOutlook {
  /** Expected work in tokens. */
  readonly cost?: number;
  /** Expected wait of a further call of the class. */
  readonly expectedWaitMs?: number;
  /** Cost that is granted per second while calls wait. */
  readonly costPerSecond?: number;
}

/** Ends a call with an error answer and returns its end. */
export function endWithRefusal(
  parts: RefusalParts,
  call: CallerCall,
  options: {
    readonly outcome: CallOutcome;
    readonly reason: string;
    readonly attempts: number;
    /** Range of the delay before a retry, where no rate is known. */
    readonly retryDelay?: RetryDelayRange;
    /** Milliseconds until servers want requests again, before that delay. */
    readonly backoffMs?: number;
    /** Delay that another instance named, in place of one of this instance. */
    readonly retryAfterSeconds?: number | null;
    /** Whether the caller would only be refused again. */
    readonly isFinal?: boolean;
  } & QueueOutlook,
): CallEnd {
  const { outcome, reason, attempts } = options;
  const status = outcome === "not_run" ? 503 : isPastDeadline(call) ? 504 : 502;
  const mayReturn = NOT_RUN_STATUSES.has(status) && !options.isFinal;
  const retryAfterSeconds = mayReturn
    ? (passedOnDelay(call, options.retryAfterSeconds ?? null) ??
      retryDelayOf(parts, status, {
        service: call.service.name,
        priority: priorityOf(call),
        arrival: call.arrival,
        leftMs: timeLeftMs(call),
        notBeforeMs: options.backoffMs ?? 0,
        cost: options.cost ?? 0,
        expectedWaitMs: options.expectedWaitMs ?? 0,
        costPerSecond: options.costPerSecond ?? 0,
        fallback: options.retryDelay ?? FULL_SERVER_RETRY_AFTER,
      }))
    : null;
  refuse(parts.codec, call.response, {
    status,
    reason,
    requestId: call.metadata.requestId,
    retryAfterSeconds,
  });
  const end = { status, outcome, reason, attempts, firstByteMs: null };
  return retryAfterSeconds === null ? end : { ...end, retryAfterSeconds };
}

/**
 * Delay that another instance named, at most a third of the time left: some time
 * has passed since. A delay of more than a third of the whole time is a backoff
 * that servers have asked for, before which a retry would only be refused.
 */
function passedOnDelay(
  call: CallerCall,
  namedSeconds: number | null,
): number | null {
  if (namedSeconds === null) return null;
  const wholeMs = call.deadlineAt - call.startedAt;
  if (3_000 * namedSeconds > wholeMs) return namedSeconds;
  const limitSeconds = Math.max(0, timeLeftMs(call)) / 3_000;
  return Math.min(namedSeconds, Math.floor(100 * limitSeconds) / 100);
}

function isPastDeadline(call: CallerCall): boolean {
  return performance.now() >= call.deadlineAt;
}
