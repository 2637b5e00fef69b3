/** A machine's links to servers: forwarding ports that can be cut. */
import { connect, createServer } from "node:net";

/** Opens a link to each address (HOST:PORT). */
export async function openLinks(addresses) {
  const links = await Promise.all(addresses.map(openLink));
  return {
    /** Addresses of the links, by those of the servers. */
    addressOf: (address) =>
      links.find((link) => link.target === address)?.address ?? address,
    /** Resets what is open, and refuses new connections. */
    cut: () => Promise.all(links.map((link) => link.cut())),
    heal: () => Promise.all(links.map((link) => link.heal())),
    stop: () => Promise.all(links.map((link) => link.cut())),
  };
}

async function openLink(target) {
  const [host, port] = target.split(":");
  const sockets = new Set();
  const server = createServer((near) => {
    const far = connect({ host, port: Number(port) });
    for (const [socket, other] of [
      [near, far],
      [far, near],
    ]) {
      sockets.add(socket);
      socket.on("error", () => other.destroy());
      socket.on("close", () => {
        sockets.delete(socket);
        other.destroy();
      });
      socket.pipe(other);
    }
  });
  server.listen(0, "127.0.0.1");
  await new Promise((resolve) => server.once("listening", resolve));
  const own = server.address().port;
  let isOpen = true;
  return {
    target,
    address: `127.0.0.1:${own}`,
    cut() {
      if (!isOpen) return;
      isOpen = false;
      for (const socket of sockets) socket.resetAndDestroy();
      return new Promise((resolve) => server.close(resolve));
    },
    heal() {
      if (isOpen) return;
      isOpen = true;
      return new Promise((resolve) => server.listen(own, "127.0.0.1", resolve));
    },
  };
}
