/** A port of loopback that nothing uses. */
import { once } from "node:events";
import { createServer } from "node:net";

export async function freePort(): Promise<number> {
  const server = createServer();
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const address = server.address();
  server.close();
  await once(server, "close");
  return typeof address === "object" && address ? address.port : 0;
}
