import { createSocket } from "node:dgram";
import { once } from "node:events";
import type { Address } from "@rosemarypin/schemas";
import { afterEach, expect, it, vi } from "vitest";
import { createMembership, type Membership } from "./membership.ts";

const running: Membership[] = [];
afterEach(async () => {
  await Promise.all(running.splice(0).map((membership) => membership.leave()));
});

async function freeAddress(): Promise<Address> {
  const socket = createSocket("udp4");
  socket.bind(0, "127.0.0.1");
  await once(socket, "listening");
  const { port } = socket.address();
  socket.close();
  return { host: "127.0.0.1", port };
}

/**
 * Closing the socket in the same turn as the send drops the goodbye of a
 * planned stop. If another program then takes the address, a recall waits until
 * the hour has passed for which an instance may serve without contact.
 */
it("membership sends its goodbye before the socket closes", async () => {
  const addresses = [await freeAddress(), await freeAddress()];
  const ids = ["entry-1", "entry-2"];
  const seeds = ids.flatMap((id, index) => {
    const address = addresses[index];
    return address ? [{ id, failureDomain: "a", address }] : [];
  });
  for (const { id, failureDomain, address } of seeds) {
    const others = seeds.filter((seed) => seed.id !== id);
    running.push(
      await createMembership({
        id,
        failureDomain,
        peer: address,
        incarnation: 1,
        seeds: others,
      }),
    );
  }
  const [stays, leaves] = running;
  await vi.waitUntil(() => stays?.peers().length === 1, { timeout: 10_000 });
  running.pop();
  await leaves?.leave();
  await vi.waitUntil(() => stays?.peers()[0]?.record.left === true, {
    timeout: 10_000,
  });
  expect(stays?.peers()[0]?.state).toBe("left");
});
