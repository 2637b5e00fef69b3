import { createSocket, type Socket } from "node:dgram";
import { once } from "node:events";
import type { Address } from "@rosemarypin/schemas";
import { afterEach, expect, it, vi } from "vitest";
import { createMembership, type Membership } from "./membership.ts";

const HOST = "127.0.0.1";
const running: Membership[] = [];
const sockets: Socket[] = [];

afterEach(async () => {
  await Promise.all(running.splice(0).map((membership) => membership.leave()));
  for (const socket of sockets.splice(0)) socket.close();
});

async function bind(): Promise<{ socket: Socket; address: Address }> {
  const socket = createSocket("udp4");
  socket.bind(0, HOST);
  await once(socket, "listening");
  return { socket, address: { host: HOST, port: socket.address().port } };
}

async function freeAddress(): Promise<Address> {
  const { socket, address } = await bind();
  socket.close();
  return address;
}

/** Forwards datagrams as address translation does, without the sender. */
async function translate(target: Address): Promise<Address> {
  const { socket, address } = await bind();
  sockets.push(socket);
  socket.on("message", (datagram) =>
    socket.send(datagram, target.port, target.host),
  );
  return address;
}

/**
 * An instance behind address translation must publish the translated address.
 * If it published the address that it binds, answers of peers would be lost
 * and they would declare the instance dead.
 */
it("membership publishes its advertised address, not the bound", async () => {
  const listen = await freeAddress();
  const advertised = await translate(listen);
  const otherAddress = await freeAddress();
  const common = { failureDomain: "a", incarnation: 1 };
  running.push(
    await createMembership({
      ...common,
      id: "entry-1",
      peer: advertised,
      listen,
      seeds: [],
    }),
    await createMembership({
      ...common,
      id: "entry-2",
      peer: otherAddress,
      seeds: [{ id: "entry-1", failureDomain: "a", address: advertised }],
    }),
  );
  await vi.waitUntil(
    () =>
      running.every((membership) => membership.peers()[0]?.state === "alive"),
    { timeout: 10_000 },
  );
  expect(running[1]?.peers()[0]?.record.peer).toEqual(advertised);
});
