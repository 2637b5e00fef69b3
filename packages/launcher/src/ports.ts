/** Free ports on loopback, below the range of outgoing connections. */
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createServer } from "node:net";

const HOST = "127.0.0.1";
const LOWEST = 12_000;
const HIGHEST = 32_000;

/** Finds `count` ports that are free for both TCP and UDP. */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  let port = LOWEST + Math.floor(Math.random() * (HIGHEST - LOWEST));
  while (ports.length < count) {
    port = port + 1 > HIGHEST ? LOWEST : port + 1;
    if ((await isFreeTcp(port)) && (await isFreeUdp(port))) ports.push(port);
  }
  return ports;
}

async function isFreeTcp(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, HOST);
    await once(server, "listening");
    server.close();
    await once(server, "close");
    return true;
  } catch {
    return false;
  }
}

async function isFreeUdp(port: number): Promise<boolean> {
  const socket = createSocket("udp4");
  try {
    socket.bind(port, HOST);
    await once(socket, "listening");
    socket.close();
    return true;
  } catch {
    return false;
  }
}
