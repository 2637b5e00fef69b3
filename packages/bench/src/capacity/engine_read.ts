/** Bytes and processor time of one read of an engine's state. */
import { createServer, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createEngineClient } from "@rosemarypin/backends";
import { sampleEngine } from "./sample_objects.ts";

const HOST = "127.0.0.1";
const READS = 2_000;

/** What one read costs. */
export interface EngineReadCost {
  /** Both ways, without the headers of TCP and IP. */
  readonly bytes: number;
  /** Of this process, which also plays the engine. */
  readonly micros: number;
}

/** Reads a small HTTP server's state over loopback. */
export async function measureEngineRead(): Promise<EngineReadCost> {
  const body = JSON.stringify(sampleEngine(1).state);
  const sockets = new Set<Socket>();
  const server = createServer((_request, response) => {
    response.setHeader("content-type", "application/json");
    response.end(body);
  });
  server.on("connection", (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => server.listen(0, HOST, resolve));
  const cost = await readOften(server, sockets);
  for (const socket of sockets) socket.destroy();
  server.close();
  return cost;
}

async function readOften(
  server: Server,
  sockets: ReadonlySet<Socket>,
): Promise<EngineReadCost> {
  const { port } = server.address() as AddressInfo;
  const client = createEngineClient();
  const before = process.cpuUsage();
  for (let index = 0; index < READS; index++) {
    await client.readState({ host: HOST, port });
  }
  const { user, system } = process.cpuUsage(before);
  let bytes = 0;
  for (const { bytesRead, bytesWritten } of sockets) {
    bytes += bytesRead + bytesWritten;
  }
  return { bytes: bytes / READS, micros: (user + system) / READS };
}
