/** Checks whether an address accepts connections. */
import { connect } from "node:net";

/** Resolves to whether a connection was established in time; closes it. */
export type ConnectionCheck = (
  address: string,
  timeoutMs: number,
) => Promise<boolean>;

export const checkConnection: ConnectionCheck = (address, timeoutMs) => {
  const { hostname, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    // Timers come before what has arrived while this process was blocked, so
    // that is read first.
    const timer = setTimeout(() => setImmediate(end, false), timeoutMs);
    socket.once("connect", () => end(true));
    // A failure is the result of the check, which the caller logs.
    socket.on("error", () => end(false));

    function end(isConnected: boolean): void {
      clearTimeout(timer);
      socket.destroy();
      resolve(isConnected);
    }
  });
};
