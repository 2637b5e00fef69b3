/**
 * HTTP servers that handle the requests of a connection one after the other,
 * and close it only between two of them. A request that was sent ahead of the
 * answer before it is handled once that answer is whole, so one that is lost
 * with its connection has not run.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { Duplex } from "node:stream";
import { createLogger } from "@rosemarypin/telemetry";
import type { CallerMemories, MemoryShare } from "./caller_memory.ts";
import {
  type CloseCause,
  closeCauseOf,
  closeConnection,
  recordCloseCause,
} from "./close_cause.ts";
import { createCloseLog } from "./close_log.ts";
import { paceReading, parsedBytesOf } from "./paced_reading.ts";
import { closeUnreadAnswers } from "./unread_answers.ts";

/** Answers one request, whose head came at `receivedAt` (monotonic, ms). */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  timing: { readonly receivedAt: number },
) => void;

/** A connection that this process has closed. */
export interface ClosedConnection {
  readonly cause: CloseCause;
  /** Whether a whole request that was handled had no whole answer. */
  readonly isUnanswered: boolean;
}

export interface CallerServerOptions {
  readonly http: ServerOptions;
  /** Handles a request; at most one of each connection at a time. */
  readonly handle: RequestHandler;
  /** Whether connections stay open after their answers. */
  readonly mayKeepOpen: () => boolean;
  /** ID of a request in the log. */
  readonly requestIdOf: (request: IncomingMessage) => string;
  /** The whole response to what can't be parsed, by the code of the error. */
  readonly refuseUnparsed: (code: string) => string;
  readonly onClosed: (connection: ClosedConnection) => void;
  /**
   * Requests of one connection that may wait. The answer to the last of them
   * announces the close, so those behind it don't run.
   */
  readonly maxWaiting?: number;
  /**
   * Connections that may be open. Beyond them, the one that has progressed least
   * is closed for a new one.
   */
  readonly maxConnections?: number;
  /** Where requests that wait and bytes that aren't parsed are counted. */
  readonly memories?: CallerMemories;
}

export interface CallerServer {
  readonly server: Server;
  /** Handles a request in its turn, for further events of the server. */
  receive(request: IncomingMessage, response: ServerResponse): void;
  /** IDs of the requests without a whole answer. */
  unanswered(): readonly string[];
  /** Stops listening; open connections stay. */
  stopListening(): void;
  /** Closes connections without a request, as part of a stop. */
  closeIdle(): void;
  /** Closes all connections, as part of a stop. */
  closeAll(): void;
}

interface Exchange {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly receivedAt: number;
  /** Whether its caller lets the connection stay open. */
  readonly isPersistent: boolean;
  /** Memory that it takes while it waits or is answered. */
  readonly headBytes: number;
  isHandled: boolean;
}

interface Connection {
  readonly socket: Socket;
  /** Requests without a whole answer; the first one is being handled. */
  readonly exchanges: Exchange[];
  readonly shares: {
    readonly unparsed: MemoryShare;
    readonly requests: MemoryShare;
  } | null;
  /** Bytes that were received and not parsed, with what its socket buffers. */
  unparsedBytes: number;
  /** Whether it is closed after the answers to its requests. */
  isEnding: boolean;
  /** Up to these bytes, requests that were received before the end count. */
  endsAtByte: number;
  /** Whether what was read last can't be parsed. */
  isUnreadable: boolean;
  isClosedByCaller: boolean;
  lastRequestId: string;
  answered: number;
  /** Bytes that belong to answered requests. */
  answeredBytes: number;
  /** When it was opened, or its last answer has left this process. */
  progressAt: number;
}

const MAX_WAITING = 64;
/** Memory of the requests that wait, beyond which reading stops. */
const MAX_AHEAD_BYTES = 40_960;
/** Objects of a request and its response, without its headers. */
const REQUEST_BYTES = 4_096;
/** Objects of a header's name or value, without its text. */
const HEADER_BYTES = 32;
/** What a socket may read once more before it stops. */
const SOCKET_BUFFER_BYTES = 65_536;
/** Without progress for this time, a connection may be closed for another. */
const STALL_MS = 1_000;

const TIMEOUT = "ERR_HTTP_REQUEST_TIMEOUT";
/** Codes of errors for which the server closes a connection by itself. */
const PARSER_ERRORS = /^(HPE_|ERR_HTTP_REQUEST_TIMEOUT$)/;

const log = createLogger("callers");

/** Creates the server; the caller binds it to an address. */
export function createCallerServer(options: CallerServerOptions): CallerServer {
  const { maxWaiting = MAX_WAITING, maxConnections, memories } = options;
  const connections = new Map<Duplex, Connection>();
  const closeLog = createCloseLog();
  const server = createServer(
    // The parser would answer such requests out of turn.
    { ...options.http, requireHostHeader: false },
    receive,
  );
  server.prependListener("connection", watch);
  const reading = paceReading(server, {
    mayRead,
    lastRequest: (socket) => connections.get(socket)?.exchanges.at(-1)?.request,
    onUnparsed(socket, bytes) {
      const connection = connections.get(socket);
      if (!connection) return;
      connection.unparsedBytes = bytes > 0 ? bytes + SOCKET_BUFFER_BYTES : 0;
      countMemory(connection);
    },
  });
  closeUnreadAnswers(server);
  server.on("clientError", ({ code = "" }: NodeJS.ErrnoException, socket) => {
    const connection = connections.get(socket);
    if (!connection || !PARSER_ERRORS.test(code)) socket.destroy();
    else if (code !== TIMEOUT || !waitsWithBody(connection))
      refuseRest(connection, options.refuseUnparsed(code));
  });
  server.on("connect", (_request, socket) => {
    const connection = connections.get(socket);
    if (!connection) return void socket.destroy();
    // The server has taken its own listener off.
    socket.on("drain", () => connection.exchanges[0]?.response.emit("drain"));
    refuseRest(connection, "");
  });

  function watch(socket: Socket): void {
    const connection: Connection = {
      socket,
      exchanges: [],
      shares: memories
        ? {
            unparsed: memories.unparsed.open(),
            requests: memories.requests.open(),
          }
        : null,
      unparsedBytes: 0,
      isEnding: false,
      endsAtByte: -1,
      isUnreadable: false,
      isClosedByCaller: false,
      lastRequestId: "",
      answered: 0,
      answeredBytes: 0,
      progressAt: performance.now(),
    };
    connections.set(socket, connection);
    for (const share of Object.values(connection.shares ?? {}))
      share.onGiveUp(() => giveUpWaiting(connection));
    if (connections.size > (maxConnections ?? Infinity)) closeOne(socket);
    // The server's own listener closes the connection.
    socket.prependListener("timeout", () => recordCloseCause(socket, "idle"));
    socket.once("end", () => {
      connection.isClosedByCaller = true;
    });
    socket.on("error", ({ code = "" }: NodeJS.ErrnoException) => {
      if (!PARSER_ERRORS.test(code)) connection.isClosedByCaller = true;
    });
    socket.once("close", () => {
      connections.delete(socket);
      connection.shares?.unparsed.release();
      connection.shares?.requests.release();
      const cause = closeCauseOf(socket);
      if (cause) record(connection, cause);
      else if (!connection.isClosedByCaller) record(connection, "unexplained");
    });
  }

  function record(connection: Connection, cause: CloseCause): void {
    const { exchanges, lastRequestId, answered } = connection;
    const [first, ...others] = exchanges;
    const waiting = first?.isHandled ? others : exchanges;
    const isUnanswered = first?.isHandled === true && first.request.complete;
    options.onClosed({ cause, isUnanswered });
    const fields = {
      cause,
      request: lastRequestId || undefined,
      answered,
      unanswered: isUnanswered ? first.requestId : undefined,
      not_handled:
        waiting.map(({ requestId }) => requestId).join(",") || undefined,
    };
    if (isUnanswered) log.warn("connection_closed", fields);
    else closeLog.add(cause, fields);
  }

  function receive(request: IncomingMessage, response: ServerResponse): void {
    const connection = connections.get(request.socket);
    if (!connection) return;
    const { exchanges } = connection;
    const isBehindEnd =
      parsedBytesOf(connection.socket) > connection.endsAtByte;
    if (connection.isEnding && isBehindEnd)
      return reading.discard(connection.socket);
    const exchange = {
      request,
      response,
      requestId: options.requestIdOf(request),
      receivedAt: performance.now(),
      isPersistent: response.shouldKeepAlive,
      headBytes: headBytesOf(request),
      isHandled: false,
    };
    const previous = exchanges.at(-1);
    exchanges.push(exchange);
    connection.lastRequestId = exchange.requestId;
    response.once("finish", () => settle(connection));
    const isLastOfMany = exchanges.length > maxWaiting;
    // The parser drops what follows a request for another protocol.
    if (isLastOfMany || asksForUpgrade(request)) {
      connection.isEnding = true;
      connection.endsAtByte = -1;
    }
    countMemory(connection);
    if (!previous) return handleFirst(connection);
    if (!previous.response.headersSent)
      previous.response.shouldKeepAlive = previous.isPersistent;
  }

  function handleFirst(connection: Connection): void {
    const { exchanges, isEnding } = connection;
    const [first, next] = exchanges;
    if (!first || first.isHandled) return;
    const { request, response, receivedAt } = first;
    first.isHandled = true;
    limitBody(connection, request);
    const mayFollow = next !== undefined || connection.unparsedBytes > 0;
    const isLast = !mayFollow && (isEnding || !options.mayKeepOpen());
    if (isLast) response.shouldKeepAlive = false;
    if (request.headers.host === undefined && request.httpVersion === "1.1") {
      request.resume();
      response.writeHead(400, { Connection: "close" }).end();
    } else options.handle(request, response, { receivedAt });
  }

  /** Called once the answer to the first request has left this process. */
  function settle(connection: Connection): void {
    const { socket, exchanges } = connection;
    const closes = socket.writableEnded || socket.destroyed;
    exchanges.shift();
    connection.answered += 1;
    connection.answeredBytes = parsedBytesOf(socket);
    connection.progressAt = performance.now();
    connection.shares?.unparsed.progress();
    connection.shares?.requests.progress();
    countMemory(connection);
    if (closes) {
      if (!connection.isClosedByCaller) recordCloseCause(socket, "announced");
      return;
    }
    reading.resume(socket);
    const mayFollow = exchanges.length > 0 || connection.unparsedBytes > 0;
    if (connection.isEnding && !mayFollow) {
      recordCloseCause(socket, "announced");
      socket.destroySoon();
    } else handleFirst(connection);
  }

  function waitingBytes({ exchanges }: Connection): number {
    let bytes = 0;
    for (const { headBytes } of exchanges.slice(1)) bytes += headBytes;
    return bytes;
  }

  /** Whether another request of a connection may be parsed. */
  function mayRead(socket: Socket): boolean {
    const connection = connections.get(socket);
    if (!connection || connection.isEnding) return true;
    return waitingBytes(connection) <= MAX_AHEAD_BYTES;
  }

  function countMemory(connection: Connection): void {
    const { shares, exchanges, unparsedBytes } = connection;
    const first = exchanges[0]?.headBytes ?? 0;
    shares?.requests.hold(first + waitingBytes(connection));
    shares?.unparsed.hold(unparsedBytes);
  }

  /**
   * Gives up what waits on a connection, which has not run. The request in
   * progress is answered first.
   */
  function giveUpWaiting(connection: Connection): void {
    const { socket, exchanges } = connection;
    const [first] = exchanges;
    const isRunning = first?.isHandled && !first.response.writableEnded;
    if (!isRunning || !first.request.complete)
      return closeConnection(socket, "memory");
    exchanges.splice(1);
    connection.isEnding = true;
    connection.endsAtByte = -1;
    reading.discard(socket);
    announceClose(connection);
  }

  /** Closes the connection that has progressed least, or the new one. */
  function closeOne(newest: Socket): void {
    const stalledAt = performance.now() - STALL_MS;
    let idle: Connection | null = null;
    let arriving: Connection | null = null;
    for (const connection of connections.values()) {
      const { socket, exchanges, answered, progressAt } = connection;
      if (socket === newest || socket.destroyed) continue;
      const [first] = exchanges;
      if (!first && answered === 0)
        return closeConnection(socket, "connection_limit", { isReset: true });
      if (progressAt > stalledAt) continue;
      if (!first && progressAt < (idle?.progressAt ?? Infinity))
        idle = connection;
      if (first && !first.request.complete) arriving ??= connection;
    }
    const closed = idle?.socket ?? arriving?.socket ?? newest;
    closeConnection(closed, "connection_limit", { isReset: closed === newest });
  }

  /**
   * Closes a connection from which no more can be read. Its whole requests are
   * answered first; without one, the refusal is written.
   */
  function refuseRest(connection: Connection, refusal: string): void {
    const { socket, exchanges } = connection;
    if (connection.isUnreadable) return;
    connection.isUnreadable = true;
    connection.isEnding = true;
    recordCloseCause(socket, "bad_request");
    reading.discard(socket);
    const last = exchanges.at(-1);
    const isBroken = last !== undefined && !last.request.complete;
    if (isBroken && exchanges.length > 1) exchanges.pop();
    else if (isBroken || !last) {
      const hasAnswer = last?.response.headersSent || !socket.writable;
      if (hasAnswer) socket.destroy();
      else socket.end(refusal, () => socket.destroy());
      return;
    }
    announceClose(connection);
  }

  /** Announces the close on the only answer that is left, if it can. */
  function announceClose({ exchanges }: Connection): void {
    const [first, next] = exchanges;
    if (first && !next && !first.response.headersSent)
      first.response.shouldKeepAlive = false;
  }

  /** Whether the server's time limit has run out for a request in a queue. */
  function waitsWithBody({ exchanges }: Connection): boolean {
    return exchanges.length > 1 && !exchanges.at(-1)?.request.complete;
  }

  /** Limits the time for a body that the server's own limit no longer bounds. */
  function limitBody(connection: Connection, request: IncomingMessage): void {
    const { requestTimeout } = server;
    if (connection.answered === 0 || requestTimeout === 0) return;
    if (request.complete) return;
    const refuse = () =>
      refuseRest(connection, options.refuseUnparsed(TIMEOUT));
    const timer = setTimeout(refuse, requestTimeout);
    request.once("close", () => clearTimeout(timer));
    request.once("end", () => clearTimeout(timer));
  }

  /** Whether its last request was answered. A first one may be on its way. */
  function isIdle(connection: Connection): boolean {
    const { socket, exchanges, answered, answeredBytes } = connection;
    const hasNoRequest = exchanges.length === 0 && answered > 0;
    return hasNoRequest && socket.bytesRead === answeredBytes;
  }

  return {
    server,
    receive,
    unanswered: () =>
      [...connections.values()].flatMap(({ exchanges }) =>
        exchanges.map(({ requestId }) => requestId),
      ),
    // The HTTP server's own `close` also closes connections whose answers are
    // ended and not yet sent.
    stopListening() {
      NetServer.prototype.close.call(server);
      // A caller that always has a request ahead would never see the close.
      for (const connection of connections.values()) {
        const { socket, exchanges, unparsedBytes, isEnding } = connection;
        if (isEnding || (exchanges.length < 2 && unparsedBytes === 0)) continue;
        connection.isEnding = true;
        connection.endsAtByte = socket.bytesRead;
      }
    },
    closeIdle() {
      for (const connection of connections.values())
        if (isIdle(connection)) closeConnection(connection.socket, "stop");
    },
    closeAll() {
      for (const { socket } of connections.values())
        closeConnection(socket, "stop");
    },
  };
}

function headBytesOf({ rawHeaders, url = "" }: IncomingMessage): number {
  let bytes = REQUEST_BYTES + url.length + rawHeaders.length * HEADER_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

function asksForUpgrade({ headers }: IncomingMessage): boolean {
  const isAsked = /\bupgrade\b/i.test(headers.connection ?? "");
  return isAsked && headers.upgrade !== undefined;
}
