/** A loopback proxy that injects faults into the connections it forwards. */
import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Socket } from "node:net";

/** What a proxy does to its connections. */
export type ProxyFault =
  | "none"
  /** Bytes wait for so long each way. */
  | "delayed"
  /** Nothing passes any more, without an end. */
  | "silenced"
  /** What servers send does not pass; what is sent to them does. */
  | "cut_one_way";

export interface FaultProxy {
  /** HOST:PORT. */
  readonly address: string;
  fault: ProxyFault;
  /** Resets all connections that stand. */
  reset(): void;
  stop(): Promise<void>;
}

const DELAY_MS = 150;

/** Ends a connection as the one that it is paired with has ended. */
function closeAfter(
  socket: Socket,
  { hasFailed }: { readonly hasFailed: boolean },
): void {
  if (hasFailed) socket.resetAndDestroy();
  else socket.destroy();
}

/** Starts a proxy in front of an address. */
export async function startFaultProxy(target: string): Promise<FaultProxy> {
  const [host = "", port = "0"] = target.split(":");
  const sockets = new Set<Socket>();
  const server = createServer((near) => {
    const far = connect(Number(port), host);
    for (const socket of [near, far]) {
      sockets.add(socket);
      socket.setNoDelay(true);
      // A failed socket also closes, which ends the connection it is paired with.
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
    }
    pass(near, far, () => isHeld("to_server"));
    pass(far, near, () => isHeld("from_server"));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const proxy: FaultProxy = {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    fault: "none",
    reset() {
      for (const socket of sockets) socket.resetAndDestroy();
    },
    async stop() {
      proxy.reset();
      server.close();
      await once(server, "close");
    },
  };

  function isHeld(way: "to_server" | "from_server"): boolean {
    if (proxy.fault === "silenced") return true;
    return proxy.fault === "cut_one_way" && way === "from_server";
  }

  function pass(from: Socket, to: Socket, held: () => boolean): void {
    let isSpoiled = false;
    from.on("data", (bytes: Buffer) => {
      // What was held is lost: the connection stays silent for good.
      isSpoiled ||= held();
      if (isSpoiled) return;
      if (proxy.fault !== "delayed") to.write(bytes);
      else setTimeout(() => to.write(bytes), DELAY_MS);
    });
    from.once("close", (hasFailed) => {
      if (isSpoiled) return;
      setTimeout(() => closeAfter(to, { hasFailed }), DELAY_MS);
    });
  }

  return proxy;
}
