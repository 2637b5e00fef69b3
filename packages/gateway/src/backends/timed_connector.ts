/** Opens connections with a timeout that is exact to the millisecond. */
import { connect } from "node:net";
import { guardAgainstResets } from "@rosemarypin/backends";
import { type buildConnector, errors } from "undici";
import { boundAnswers } from "./answer_bounds.ts";

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
      guardAgainstResets(socket);
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
