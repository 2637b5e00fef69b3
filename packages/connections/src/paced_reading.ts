/**
 * Feeds the HTTP parser in small pieces. The parser can't be stopped within what
 * it is given, and one read may hold thousands of requests or chunks of a body,
 * each of which costs objects. Between two pieces reading stops while a
 * connection has more requests than are handled, or while its request's body
 * isn't consumed, and it waits for its turn when connections have taken all
 * of the event loop's turn: those that have taken least go first.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import { createLoopTurn } from "./loop_turn.ts";

/** Most bytes that are parsed at once. */
const PIECE_BYTES = 4_096;
/** A piece ends behind the first head that ends beyond this. */
const MIN_PIECE_BYTES = 256;
const HEAD_END = "\r\n\r\n";
/** Time in which what a connection has taken counts half. */
const HALF_LIFE_MS = 1_000;
/** Share of a body's bytes that is its content, unless chunks are small. */
const DENSE_SHARE = 0.9;
/** Bytes that are parsed of an unconsumed body whatever its chunks. */
const MAX_SPARSE_BYTES = 1_024;

export interface PacedReading {
  /** Goes on with a connection that `mayRead` has stopped. */
  resume(socket: Socket): void;
  /** Drops what was received and what will be. */
  discard(socket: Socket): void;
}

export interface PacedReadingOptions {
  /** Whether a connection's next request may be parsed. */
  readonly mayRead: (socket: Socket) => boolean;
  /** The request of a connection that has arrived last, maybe in part. */
  readonly lastRequest: (socket: Socket) => IncomingMessage | undefined;
  /** Called when the bytes change that were received and not parsed. */
  readonly onUnparsed?: (socket: Socket, bytes: number) => void;
}

interface Reader {
  readonly socket: Socket;
  readonly parse: (piece: Buffer) => void;
  unparsed: Buffer | null;
  /** Whether it was paused here, and not by the HTTP server. */
  isStopped: boolean;
  /** Bytes parsed since the content of its body was last consumed. */
  bytesUnconsumed: number;
  /** Time that its pieces have taken, decayed. */
  spentMs: number;
  spentAt: number;
  isParsing: boolean;
  discards: boolean;
}

const unparsedBytes = new WeakMap<Socket, number>();

/** Bytes of a connection that were parsed. */
export function parsedBytesOf(socket: Socket): number {
  return socket.bytesRead - (unparsedBytes.get(socket) ?? 0);
}

/** All connections of a process share one event loop. */
const turn = createLoopTurn();

/** Takes over the reading of all connections of a server. */
export function paceReading(
  server: Server,
  { mayRead, lastRequest, onUnparsed }: PacedReadingOptions,
): PacedReading {
  const readers = new Map<Socket, Reader>();
  server.on("connection", follow);

  function follow(socket: Socket): void {
    turn.accept();
    const [parse] = socket.listeners("data");
    if (!parse) return;
    const reader: Reader = {
      socket,
      parse: (piece) => parse.call(socket, piece),
      unparsed: null,
      isStopped: false,
      bytesUnconsumed: 0,
      spentMs: 0,
      spentAt: 0,
      isParsing: false,
      discards: false,
    };
    readers.set(socket, reader);
    socket.off("data", parse as () => void);
    socket.on("data", (received: Buffer) => receive(reader, received));
    // The HTTP server resumes the socket when a body's reader wants more.
    socket.on("resume", () => run(reader));
    socket.on("drain", () => run(reader));
    socket.once("close", () => {
      readers.delete(socket);
      reader.unparsed = null;
      turn.leave(reader);
    });
  }

  function receive(reader: Reader, received: Buffer): void {
    if (reader.discards) return;
    const { unparsed } = reader;
    keep(reader, unparsed ? Buffer.concat([unparsed, received]) : received);
    run(reader);
  }

  function keep(reader: Reader, unparsed: Buffer | null): void {
    reader.unparsed = unparsed && unparsed.length > 0 ? unparsed : null;
    unparsedBytes.set(reader.socket, reader.unparsed?.length ?? 0);
  }

  /** Parses pieces until nothing is left or the connection has to wait. */
  function run(reader: Reader): void {
    const { socket } = reader;
    if (reader.isParsing) return;
    reader.isParsing = true;
    let mayGoOn = mayParse(reader);
    while (reader.unparsed && mayGoOn && !turn.isWaiting(reader)) {
      if (turn.isOver()) turn.waitForNext(reader, () => run(reader));
      else parsePiece(reader, reader.unparsed);
      mayGoOn = mayParse(reader);
    }
    reader.isParsing = false;
    if (reader.unparsed) stop(reader);
    else if (reader.isStopped && mayGoOn) goOn(reader);
    onUnparsed?.(socket, reader.unparsed?.length ?? 0);
  }

  function stop(reader: Reader): void {
    reader.isStopped = true;
    reader.socket.pause();
  }

  function goOn(reader: Reader): void {
    reader.isStopped = false;
    reader.socket.resume();
  }

  function parsePiece(reader: Reader, unparsed: Buffer): void {
    const length = pieceLength(unparsed);
    const startedAt = performance.now();
    keep(reader, unparsed.subarray(length));
    reader.bytesUnconsumed += length;
    reader.parse(unparsed.subarray(0, length));
    const now = performance.now();
    const age = Math.min(1, (now - reader.spentAt) / HALF_LIFE_MS);
    reader.spentMs = reader.spentMs * (1 - age / 2) + now - startedAt;
    reader.spentAt = now;
    turn.spend(now - startedAt);
  }

  function mayParse(reader: Reader): boolean {
    const { socket } = reader;
    if (socket.destroyed || reader.discards) return false;
    if (isHeldByServer(socket) || socket.writableNeedDrain) return false;
    if (!mayRead(socket)) return false;
    const request = lastRequest(socket);
    if (!request || request.complete || request.readableLength === 0) {
      reader.bytesUnconsumed = 0;
      return true;
    }
    const { readableLength, readableHighWaterMark } = request;
    if (readableLength >= readableHighWaterMark) return false;
    const contentBytes = reader.bytesUnconsumed - MAX_SPARSE_BYTES;
    return readableLength >= DENSE_SHARE * contentBytes;
  }

  return {
    resume(socket) {
      const reader = readers.get(socket);
      if (reader) run(reader);
    },
    discard(socket) {
      const reader = readers.get(socket);
      if (!reader) return;
      reader.discards = true;
      keep(reader, null);
      turn.leave(reader);
      socket.resume();
    },
  };
}

/** Ends a piece behind a head, so that few requests come of it. */
function pieceLength(unparsed: Buffer): number {
  if (unparsed.length <= MIN_PIECE_BYTES) return unparsed.length;
  const end = unparsed.indexOf(HEAD_END, MIN_PIECE_BYTES - HEAD_END.length);
  const afterHead = end < 0 ? unparsed.length : end + HEAD_END.length;
  return Math.min(afterHead, PIECE_BYTES, unparsed.length);
}

/** Whether the HTTP server waits for a reader of answers, and parses nothing. */
function isHeldByServer(socket: Socket): boolean {
  return (socket as Socket & { readonly _paused?: boolean })._paused === true;
}
