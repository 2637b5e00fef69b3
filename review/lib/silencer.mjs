// A proxy whose open connections can go silent for good, while new ones work.
import { connect, createServer } from "node:net";

/** Starts a proxy on loopback to one address. */
export async function startSilencer() {
  const links = new Set();
  let target = null;
  const server = createServer((near) => {
    const [host, port] = target.split(":");
    const far = connect(Number(port), host);
    const link = { near, far, isSilent: false };
    links.add(link);
    near.on("data", (bytes) => {
      if (!link.isSilent) far.write(bytes);
    });
    far.on("data", (bytes) => {
      if (!link.isSilent) near.write(bytes);
    });
    for (const socket of [near, far]) {
      socket.setNoDelay(true);
      // A connection that fails also closes.
      socket.on("error", () => {});
    }
    near.once("close", () => {
      far.destroy();
      links.delete(link);
    });
    far.once("close", () => {
      if (!link.isSilent) near.destroy();
    });
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    /** The proxy's address, at which `address` is reached. */
    addressFor(address) {
      target = address;
      return `127.0.0.1:${server.address().port}`;
    },
    /** Makes all open connections silent; returns their number. */
    silence() {
      for (const link of links) link.isSilent = true;
      return links.size;
    },
    stop() {
      for (const { near, far } of links) {
        near.destroy();
        far.destroy();
      }
      server.close();
    },
  };
}
