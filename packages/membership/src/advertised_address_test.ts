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

/** Forwards datagrams, as an address translation does; the sender is lost. */
async function translate(target: Address): Promise<Address> {
  const { socket, address } = await bind();
  sockets.push(socket);
  socket.on("message", (datagram) =>
    socket.send(datagram, target.port, target.host),
  );
  return address;
}

/**
 * An instance runs behind address translation and told peers the address that
 * it binds. They answered to that address, where nobody hears them, and held
 * the instance for dead.
 */
it("is reached where it is advertised, not where it listens", async () => {
  const listen = await freeAddress();
  const advertised = await translate(listen);
  const other = await freeAddress();
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
      peer: other,
      seeds: [{ id: "entry-1", failureDomain: "a", address: advertised }],
    }),
  );
  await vi.waitUntil(
    () => running.every((each) => each.peers()[0]?.state === "alive"),
    { timeout: 10_000 },
  );
  expect(running[1]?.peers()[0]?.record.peer).toEqual(advertised);
});
