/** Opens connections with a timeout that is exact to the millisecond. */
import { connect, type Socket } from "node:net";
import { type buildConnector, errors } from "undici";
import { boundAnswers } from "./answer_bounds.ts";

/** Error code for a connection that was reset after it was established. */
const RESET_AFTER_CONNECT = "ERR_CONNECTION_RESET";

/**
 * Creates a connector for undici clients. The client's own connect timeout has
 * a resolution of up to a second, which is longer than a request may wait
 * before another server is tried. Answers on the connections are bounded.
 */
export function createTimedConnector(
  timeoutMs: number,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = connect({ host: hostname, port: Number(port) });
    // Timers come before what has arrived while this process was blocked, so
    // that is read first.
    const timer = setTimeout(() => setImmediate(giveUp), timeoutMs);
    socket.setNoDelay(true);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      socket.on("error", renameReset);
      detectReset(socket);
      boundAnswers(socket);
      callback(null, socket);
    });
    socket.once("error", fail);

    function giveUp(): void {
      if (!socket.connecting) return;
      const detail = `no connection to ${hostname}:${port} in ${timeoutMs} ms`;
      socket.destroy(new errors.ConnectTimeoutError(detail));
    }

    function fail(error: Error): void {
      clearTimeout(timer);
      callback(error, null);
    }
  };
}

/**
 * Changes the error code of a reset. undici treats `ECONNRESET` as the regular
 * end of an answer without a content length, so that a truncated answer would
 * look complete. This listener is registered before the client's own.
 */
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
