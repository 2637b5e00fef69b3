/** Checks whether an address accepts connections. */
import { createTimedConnector } from "./timed_connector.ts";

/** Resolves to whether a connection was established in time; closes it. */
export type ConnectionCheck = (
  address: string,
  timeoutMs: number,
) => Promise<boolean>;

export const checkConnection: ConnectionCheck = async (address, timeoutMs) =>
  (await tryConnection(address, timeoutMs)) === null;

/**
 * Resolves to whether the address refuses connections, since no process listens
 * there. One that can't be reached gives no answer instead.
 */
export const checkRefusal: ConnectionCheck = async (address, timeoutMs) => {
  const error: NodeJS.ErrnoException | null = await tryConnection(
    address,
    timeoutMs,
  );
  return error?.code === "ECONNREFUSED";
};

/** Resolves to why no connection was established; closes one that was. */
function tryConnection(
  address: string,
  timeoutMs: number,
): Promise<Error | null> {
  const { hostname, port, protocol } = new URL(`http://${address}`);
  const connect = createTimedConnector(timeoutMs);
  return new Promise((resolve) => {
    connect({ hostname, port, protocol }, (...[error, socket]) => {
      socket?.destroy();
      // A failure is the result of the check, which the caller logs.
      resolve(error);
    });
  });
}
