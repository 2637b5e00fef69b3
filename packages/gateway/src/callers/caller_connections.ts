/**
 * Connections of callers: which of them this instance closes, why, and whether
 * a request on them was left without a whole answer.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { createLogger } from "@rosemarypin/telemetry";

/** Why this instance closes a connection. */
export type CloseCause =
  /** No request came within the idle timeout. */
  | "idle"
  /** The answer before announced the close, or the caller asked for it. */
  | "announced"
  /** Too many new connections for a process that lags. */
  | "surge"
  /** The caller sent what is no request, or not in time. */
  | "bad_request"
  /** An answer broke off and can't be continued. */
  | "answer_cut"
  /** An unexpected exception. */
  | "exception"
  /** The instance stops. */
  | "stop";

/** A connection that this instance has closed. */
export interface ClosedConnection {
  readonly cause: CloseCause;
  /** Whether a request on it had no whole answer. */
  readonly isUnanswered: boolean;
}

export interface CallerConnections {
  /** Records a request until its answer is written or its connection closes. */
  track(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): void;
  /** Records why the connection is about to be closed; the first cause holds. */
  closing(socket: Socket | null, cause: CloseCause): void;
  /** Records it for all connections, or for those without a request. */
  closingAll(cause: CloseCause, options?: { readonly onlyIdle: boolean }): void;
  /** IDs of the requests without a whole answer. */
  unanswered(): readonly string[];
}

interface ConnectionState {
  cause: CloseCause | null;
  lastRequestId: string;
  answered: number;
  /** IDs of the requests without a whole answer. */
  readonly pending: Set<string>;
}

/** Codes of errors for which the server closes a connection by itself. */
const PARSER_ERRORS = /^(HPE_|ERR_HTTP_REQUEST_TIMEOUT$)/;

const log = createLogger("callers");

/** Follows the connections of a server; `onClosed` is called for each close. */
export function createCallerConnections(
  server: Server,
  onClosed: (connection: ClosedConnection) => void,
): CallerConnections {
  const states = new Map<Socket, ConnectionState>();
  server.prependListener("connection", watch);

  function watch(socket: Socket): void {
    const state: ConnectionState = {
      cause: null,
      lastRequestId: "",
      answered: 0,
      pending: new Set(),
    };
    states.set(socket, state);
    // The server's own listeners close the connection.
    socket.prependListener("timeout", () => closing(socket, "idle"));
    socket.on("error", ({ code }: NodeJS.ErrnoException) => {
      if (code && PARSER_ERRORS.test(code)) closing(socket, "bad_request");
    });
    socket.once("close", () => {
      states.delete(socket);
      if (state.cause) record(state, state.cause);
    });
  }

  function record(state: ConnectionState, cause: CloseCause): void {
    const { lastRequestId, answered, pending } = state;
    const isUnanswered = pending.size > 0;
    onClosed({ cause, isUnanswered });
    const fields = { cause, request: lastRequestId || undefined, answered };
    if (isUnanswered) {
      const unanswered = [...pending].join(",");
      log.warn("connection_closed", { ...fields, unanswered });
    } else if (cause !== "announced") log.info("connection_closed", fields);
  }

  function closing(socket: Socket | null, cause: CloseCause): void {
    const state = socket && states.get(socket);
    if (state) state.cause ??= cause;
  }

  return {
    closing,
    closingAll(cause, { onlyIdle } = { onlyIdle: false }) {
      for (const state of states.values())
        if (!onlyIdle || state.pending.size === 0) state.cause ??= cause;
    },
    track(request, response, requestId) {
      const { socket } = request;
      const state = states.get(socket);
      if (!state) return;
      state.lastRequestId = requestId;
      state.pending.add(requestId);
      response.once("finish", () => {
        state.pending.delete(requestId);
        state.answered += 1;
        if (socket.writableEnded) closing(socket, "announced");
      });
    },
    unanswered: () =>
      [...states.values()].flatMap(({ pending }) => [...pending]),
  };
}
