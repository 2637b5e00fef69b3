/** Transport of datagrams between instances. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

const log = createLogger("membership");

/** Sends datagrams, which may be lost, delayed, duplicated or reordered. */
export interface DatagramTransport {
  send(datagram: Uint8Array, target: Address): void;
  /** Sets the receiver of all datagrams. */
  onDatagram(receiver: (datagram: Uint8Array) => void): void;
  close(): Promise<void>;
}

/** Binds a UDP socket to `address`. */
export async function createUdpTransport(
  address: Address,
): Promise<DatagramTransport> {
  const socket = createSocket(address.host.includes(":") ? "udp6" : "udp4");
  socket.bind(address.port, address.host);
  await once(socket, "listening");
  // A datagram that cannot be sent (no route, full buffer) counts as lost.
  // Without a listener the error would end the process.
  socket.on("error", (error) =>
    log.warn("socket_error", { reason: error.message }),
  );
  const pendingSends = new Set<Promise<void>>();

  /** Resolves once the datagram is sent or has failed. */
  function sendOne(datagram: Uint8Array, target: Address): Promise<void> {
    return new Promise((resolve) => {
      const end = (error: Error | null) => {
        if (error) log.detail("send_failed", { reason: error.message });
        resolve();
      };
      try {
        socket.send(datagram, target.port, target.host, end);
      } catch (error) {
        // `send` throws for a port that is none.
        end(error as Error);
      }
    });
  }

  return {
    send(datagram, target) {
      const sending = sendOne(datagram, target);
      pendingSends.add(sending);
      void sending.then(() => pendingSends.delete(sending));
    },
    onDatagram(receiver) {
      socket.on("message", receiver);
    },
    // `send` resolves the address asynchronously, even a numeric one, and
    // drops the datagram if the socket is closed meanwhile. Without this wait
    // the goodbye would be lost and peers would only suspect the instance.
    async close() {
      await Promise.all(pendingSends);
      socket.close();
      await once(socket, "close");
    },
  };
}
