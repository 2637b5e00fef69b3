/** Why a process closes a caller's connection. */
import type { Socket } from "node:net";

export const CLOSE_CAUSES = [
  /** No request came within the idle timeout. */
  "idle",
  /** The answer before announced the close, or the caller asked for it. */
  "announced",
  /** As many connections are open as may be. */
  "connection_limit",
  /** The memory for callers' requests is used up. */
  "memory",
  /** Too many new connections for a process that lags. */
  "surge",
  /** The caller sent what is no request, or not in time. */
  "bad_request",
  /** An answer broke off and can't be continued. */
  "answer_cut",
  /** The caller doesn't read its answer. */
  "slow_reader",
  /** An unexpected exception. */
  "exception",
  /** The process stops. */
  "stop",
  /** None was recorded, and the caller didn't close it either. */
  "unexplained",
] as const;

export type CloseCause = (typeof CLOSE_CAUSES)[number];

const causes = new WeakMap<Socket, CloseCause>();

/** Records why a connection is about to be closed; the first cause holds. */
export function recordCloseCause(
  socket: Socket | null,
  cause: CloseCause,
): void {
  if (socket && !causes.has(socket)) causes.set(socket, cause);
}

/** The recorded cause; `null` if there is none. */
export function closeCauseOf(socket: Socket): CloseCause | null {
  return causes.get(socket) ?? null;
}

/**
 * Closes a connection at once. With `isReset` its caller can't take the close
 * for the end of an answer that has no other.
 */
export function closeConnection(
  socket: Socket | null,
  cause: CloseCause,
  { isReset } = { isReset: false },
): void {
  if (!socket) return;
  recordCloseCause(socket, cause);
  if (isReset) socket.resetAndDestroy();
  else socket.destroy();
}
