/** A relay of datagrams that drops what a cut loses. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { Address } from "@rosemarypin/schemas";
import type { Links } from "./links.ts";

export interface DatagramRelayOptions {
  readonly links: Links;
  readonly listen: Address;
  readonly target: Address;
  /** Name of the process behind `target`. */
  readonly to: string;
  /** Name of the process that sends from `host`. */
  readonly nameOf: (host: string) => string;
}

/** Starts a relay; returns how to close it. */
export async function startDatagramRelay(
  options: DatagramRelayOptions,
): Promise<() => void> {
  const { links, listen, target, to, nameOf } = options;
  const socket = createSocket("udp4");
  socket.on("error", () => {});
  socket.on("message", (datagram, { address }) => {
    if (!links.passes({ from: nameOf(address), to })) return;
    socket.send(datagram, target.port, target.host);
  });
  socket.bind(listen.port, listen.host);
  await once(socket, "listening");
  return () => socket.close();
}
