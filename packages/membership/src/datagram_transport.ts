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
  return {
    send(datagram, target) {
      socket.send(datagram, target.port, target.host, (error) => {
        if (error) log.detail("send_failed", { reason: error.message });
      });
    },
    onDatagram(receiver) {
      socket.on("message", receiver);
    },
    async close() {
      socket.close();
      await once(socket, "close");
    },
  };
}
