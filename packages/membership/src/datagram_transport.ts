/** How datagrams get from one instance to another. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { Address } from "@rosemarypin/schemas";
import { createLogger } from "@rosemarypin/telemetry";

const log = createLogger("membership");

/** Sends datagrams that may be lost, delayed, doubled or put out of order. */
export interface DatagramTransport {
  send(datagram: Uint8Array, target: Address): void;
  /** Sets the one receiver. */
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
  // A datagram that cannot leave (no route, full buffer) is a lost datagram;
  // without a listener the error would end the process.
  socket.on("error", (error) =>
    log.warn("socket_error", { reason: error.message }),
  );
  const underWay = new Set<Promise<void>>();

  /** Resolves once the datagram is on its way, or cannot be sent. */
  function sendOne(datagram: Uint8Array, target: Address): Promise<void> {
    return new Promise((resolve) => {
      socket.send(datagram, target.port, target.host, (error) => {
        if (error) log.detail("send_failed", { reason: error.message });
        resolve();
      });
    });
  }

  return {
    send(datagram, target) {
      const sending = sendOne(datagram, target);
      underWay.add(sending);
      void sending.then(() => underWay.delete(sending));
    },
    onDatagram(receiver) {
      socket.on("message", receiver);
    },
    // Sending looks the address up first, even a numeric one, and a socket
    // that was closed meanwhile drops the datagram: the goodbye was never
    // sent, and peers could only guess that the instance had ended.
    async close() {
      await Promise.all(underWay);
      socket.close();
      await once(socket, "close");
    },
  };
}
