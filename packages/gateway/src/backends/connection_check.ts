/** Checks whether an address accepts connections. */
import { createTimedConnector } from "./timed_connector.ts";

/** Resolves to whether a connection was established in time; closes it. */
export type ConnectionCheck = (
  address: string,
  timeoutMs: number,
) => Promise<boolean>;

export const checkConnection: ConnectionCheck = (address, timeoutMs) => {
  const { hostname, port, protocol } = new URL(`http://${address}`);
  const connect = createTimedConnector(timeoutMs);
  return new Promise((resolve) => {
    connect({ hostname, port, protocol }, (...[error, socket]) => {
      socket?.destroy();
      // A failure is the result of the check, which the caller logs.
      resolve(error === null);
    });
  });
};
