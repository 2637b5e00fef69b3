/** Keeps a reset connection from looking like the end of an answer. */
import type { Socket } from "node:net";
import { buildConnector } from "undici";

/** Error code of a connection that was reset after it was established. */
const RESET_AFTER_CONNECT = "ERR_CONNECTION_RESET";

/**
 * Renames resets of an established connection of the HTTP client. undici treats
 * `ECONNRESET` as the regular end of an answer without a content length, so
 * that a truncated answer would look complete. A reset that libuv reports as a
 * regular end fails the connection as well.
 */
export function guardAgainstResets(socket: Socket): void {
  // Before the client's own listener.
  socket.prependListener("error", renameReset);
  detectReset(socket);
}

/** Creates a connector of the HTTP client whose connections are guarded. */
export function createGuardedConnector(
  options: buildConnector.BuildOptions,
): buildConnector.connector {
  const connect = buildConnector(options);
  return (target, callback) =>
    connect(target, (...result) => {
      if (result[1]) guardAgainstResets(result[1]);
      callback(...result);
    });
}

function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET_AFTER_CONNECT;
}

/**
 * Fails a connection that was reset together with its last bytes, which libuv
 * reports as its regular end. Only a connection that was reset has no peer.
 */
function detectReset(socket: Socket): void {
  const push = socket.push.bind(socket);
  socket.push = (chunk, encoding) => {
    if (chunk !== null || socket.remotePort !== undefined)
      return push(chunk, encoding);
    const error = new Error("the connection was reset");
    socket.destroy(Object.assign(error, { code: RESET_AFTER_CONNECT }));
    return false;
  };
}
