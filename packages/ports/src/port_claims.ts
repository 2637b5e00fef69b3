/**
 * Claims of ports on loopback, below the range of outgoing connections. A
 * process claims a block of ports by listening on its first one. The operating
 * system ends the claim with the process, however that ends.
 */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer, type Server } from "node:net";

const HOST = "127.0.0.1";
const DEFAULT_RANGE: PortRange = { lowest: 12_000, highest: 32_000 };
/** Ports of a block, with the one that marks the claim. */
const BLOCK_PORTS = 40;

/** Bounds of the ports to claim; both are included. */
export interface PortRange {
  readonly lowest: number;
  readonly highest: number;
}

export interface PortClaims {
  /**
   * Claims ports that are free for both TCP and UDP, until this process ends.
   * Up to 39 ports are consecutive. Rejects when no block is free.
   */
  claim(count: number): Promise<number[]>;
}

/** Creates the claims of this process in a range. */
export function createPortClaims(range = DEFAULT_RANGE): PortClaims {
  const blockCount = Math.floor(
    (range.highest - range.lowest + 1) / BLOCK_PORTS,
  );
  let unused: number[] = [];
  let lastClaim: Promise<unknown> = Promise.resolve();

  async function claimBlock(): Promise<number[]> {
    const firstBlock = Math.floor(Math.random() * blockCount);
    for (let offset = 0; offset < blockCount; offset += 1) {
      const block = (firstBlock + offset) % blockCount;
      const ports = await tryBlock(range.lowest + block * BLOCK_PORTS);
      if (ports) return ports;
    }
    throw new Error(
      `no ${BLOCK_PORTS} free ports from ${range.lowest} to ${range.highest}`,
    );
  }

  async function claimNow(count: number): Promise<number[]> {
    const ports: number[] = [];
    while (ports.length < count) {
      const missing = Math.min(count - ports.length, BLOCK_PORTS - 1);
      if (unused.length < missing) unused = await claimBlock();
      ports.push(...unused.splice(0, missing));
    }
    return ports;
  }

  return {
    claim(count) {
      const claimed = lastClaim.then(() => claimNow(count));
      lastClaim = claimed.catch(() => {});
      return claimed;
    },
  };
}

const defaultClaims = createPortClaims();

/** Claims ports in the default range; see `PortClaims`. */
export const claimPorts = defaultClaims.claim;

/** Returns the ports behind the first one; `null` if one of all is in use. */
async function tryBlock(first: number): Promise<number[] | null> {
  const marker = await listen(first);
  if (!marker) return null;
  const ports = Array.from(
    { length: BLOCK_PORTS - 1 },
    (_, index) => first + 1 + index,
  );
  const areFree = await Promise.all(ports.map(isFree));
  if (areFree.every(Boolean)) {
    marker.unref();
    return ports;
  }
  await close(marker);
  return null;
}

async function isFree(port: number): Promise<boolean> {
  const server = await listen(port);
  if (!server) return false;
  await close(server);
  return isFreeForDatagrams(port);
}

async function close(server: Server): Promise<void> {
  server.close();
  await once(server, "close");
}

/** Listens on a port; resolves to `null` if it is in use. */
async function listen(port: number): Promise<Server | null> {
  const server = createServer();
  try {
    server.listen({ host: HOST, port, exclusive: true });
    await once(server, "listening");
    return server;
  } catch {
    return null;
  }
}

async function isFreeForDatagrams(port: number): Promise<boolean> {
  const socket = createSocket("udp4");
  try {
    socket.bind({ port, address: HOST, exclusive: true });
    await once(socket, "listening");
    return true;
  } catch {
    return false;
  } finally {
    socket.close();
  }
}
