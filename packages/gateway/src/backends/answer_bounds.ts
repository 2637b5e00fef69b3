/**
 * Bounds what a server may send that is part of no answer's body: a head,
 * interim answers, chunk extensions, trailers, and bytes behind an answer. The
 * HTTP parser skips most of them without a limit. Silence is never counted.
 */
import { subscribe } from "node:diagnostics_channel";
import type { Socket } from "node:net";
import { errors } from "undici";

/** Bytes before an answer's body, or between two parts of it. */
const MAX_FRAMING_BYTES = 65_536;
/** Time over which those bytes may trickle in. */
const MAX_TRICKLE_MS = 1_000;
/** A longer gap between two bytes counts as this. */
const MAX_COUNTED_GAP_MS = 100;
const MAX_INTERIM_ANSWERS = 32;
const MIN_FINAL_STATUS = 200;

const ENDLESS_ANSWER = "ERR_ENDLESS_ANSWER";
/** Error for an answer whose bytes exceed a bound. */
export function endlessAnswerError(detail: string): Error {
  const error = new Error(`answer without an end (${detail})`);
  return Object.assign(error, { code: ENDLESS_ANSWER });
}

/**
 * Whether the error shows that a server sent bytes that are no answer, which a
 * sound one doesn't do even as it ends.
 */
export function isMalformedAnswer(error: unknown): boolean {
  if (error instanceof errors.HeadersOverflowError) return true;
  const { code, data } = (error ?? {}) as {
    readonly code?: unknown;
    readonly data?: unknown;
  };
  // Without data, the answer was well-formed until its connection ended.
  if (error instanceof errors.HTTPParserError) return Boolean(data);
  return code === ENDLESS_ANSWER;
}

interface BoundedConnection {
  readonly socket: Socket;
  part: "none" | "head" | "body";
  /** Bytes that were read when the last part of an answer was complete. */
  countedBytes: number;
  /** When a byte after them was read last; `null` without one. */
  lastByteAt: number | null;
  /** Time between the bytes after them, without silence. */
  trickledMs: number;
  interimAnswers: number;
}

const bySocket = new WeakMap<object, BoundedConnection>();
const byRequest = new WeakMap<object, BoundedConnection>();
let isSubscribed = false;

/** Closes the connection once its server exceeds the bounds. */
export function boundAnswers(socket: Socket): void {
  subscribeOnce();
  const connection: BoundedConnection = {
    socket,
    part: "none",
    countedBytes: 0,
    lastByteAt: null,
    trickledMs: 0,
    interimAnswers: 0,
  };
  bySocket.set(socket, connection);
  // The HTTP parser has read the bytes by the next tick.
  socket.on("readable", () => process.nextTick(checkBounds, connection));
}

function checkBounds(connection: BoundedConnection): void {
  const { socket, part } = connection;
  if (socket.destroyed) return;
  const bytes = readBytes(connection) - connection.countedBytes;
  if (bytes <= 0) return;
  const now = performance.now();
  const gapMs = now - (connection.lastByteAt ?? now);
  connection.lastByteAt = now;
  connection.trickledMs += Math.min(gapMs, MAX_COUNTED_GAP_MS);
  const isExceeded =
    part === "none" ||
    bytes > MAX_FRAMING_BYTES ||
    connection.trickledMs > MAX_TRICKLE_MS ||
    connection.interimAnswers > MAX_INTERIM_ANSWERS;
  if (isExceeded) socket.destroy(endlessAnswerError(`part: ${part}`));
}

/** Bytes that the HTTP parser has taken. */
function readBytes({ socket }: BoundedConnection): number {
  return socket.bytesRead - socket.readableLength;
}

/** Starts to count anew, as a part of an answer is complete. */
function enter(
  connection: BoundedConnection,
  part: BoundedConnection["part"],
): void {
  connection.part = part;
  connection.countedBytes = readBytes(connection);
  connection.lastByteAt = null;
  connection.trickledMs = 0;
}

/** Follows the requests of all HTTP clients of this process. */
function subscribeOnce(): void {
  if (isSubscribed) return;
  isSubscribed = true;
  subscribe("undici:client:sendHeaders", (message) => {
    const { request, socket } = message as { request: object; socket: object };
    const connection = bySocket.get(socket);
    if (!connection) return;
    byRequest.set(request, connection);
    connection.interimAnswers = 0;
    enter(connection, "head");
  });
  subscribe("undici:request:headers", (message) => {
    const { request, response } = message as {
      request: object;
      response: { readonly statusCode: number };
    };
    const connection = byRequest.get(request);
    if (!connection) return;
    if (response.statusCode >= MIN_FINAL_STATUS) {
      enter(connection, "body");
      return;
    }
    connection.interimAnswers += 1;
    connection.lastByteAt = null;
    connection.trickledMs = 0;
  });
  subscribe("undici:request:bodyChunkReceived", (message) => {
    const connection = byRequest.get((message as { request: object }).request);
    if (connection) enter(connection, "body");
  });
  subscribe("undici:request:trailers", (message) => {
    const connection = byRequest.get((message as { request: object }).request);
    if (connection) enter(connection, "none");
  });
}
