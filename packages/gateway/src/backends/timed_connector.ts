/** Makes connections within a time that holds to the millisecond. */
import { connect } from "node:net";
import { type buildConnector, errors } from "undici";

/** Code of a connection that was reset after it stood. */
const RESET_MIDWAY = "ERR_CONNECTION_RESET";

/**
 * Creates the connector of an undici client. The client's own bound on the
 * time to connect is counted in steps of up to a second, longer than requests
 * have before another server is to be tried.
 */
export function createTimedConnector(
  timeoutMs: number,
): buildConnector.connector {
  return ({ hostname, port }, callback) => {
    const socket = connect({ host: hostname, port: Number(port) });
    const timer = setTimeout(() => {
      const detail = `no connection to ${hostname}:${port} in ${timeoutMs} ms`;
      socket.destroy(new errors.ConnectTimeoutError(detail));
    }, timeoutMs);
    socket.setNoDelay(true);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", fail);
      socket.on("error", renameReset);
      callback(null, socket);
    });
    socket.once("error", fail);

    function fail(error: Error): void {
      clearTimeout(timer);
      callback(error, null);
    }
  };
}

/**
 * The client takes a reset for the orderly end of an answer that has no
 * length, and half an answer passes for a whole one. It knows a reset by its
 * code; this listener comes before its own.
 */
function renameReset(error: NodeJS.ErrnoException): void {
  if (error.code === "ECONNRESET") error.code = RESET_MIDWAY;
}
