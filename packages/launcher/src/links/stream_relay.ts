/** A relay of TCP connections that holds back what a cut loses. */
import { once } from "node:events";
import { connect, createServer, type Server, type Socket } from "node:net";
import { Transform } from "node:stream";
import type { Address } from "@rosemarypin/schemas";
import type { Links, Way } from "./links.ts";

export interface StreamRelayOptions {
  readonly links: Links;
  readonly listen: Address;
  readonly target: Address;
  /** Name of the process behind `target`. */
  readonly to: string;
  /** Name of the process that connects from `host`. */
  readonly nameOf: (host: string) => string;
  /** Whether a connection can be made or is lost; else it is refused. */
  readonly isWanted: () => boolean;
}

/** A relay that listens while it is wanted. */
export interface StreamRelay {
  /** Looks again whether to listen. */
  update(): Promise<void>;
  close(): void;
}

/**
 * Creates a relay. A cut holds bytes, ends and resets back until it heals, as
 * TCP sends them again and again; what a sender gave up on may so arrive late.
 * It differs from a real cut in two ways: a connection seems to be made, and
 * a cut in one direction does not stop the other for want of acknowledgements.
 */
export function createStreamRelay(options: StreamRelayOptions): StreamRelay {
  const { links, listen, target, to, nameOf, isWanted } = options;
  const sockets = new Set<Socket>();
  let server: Server | null = null;

  function keep(socket: Socket): void {
    sockets.add(socket);
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.once("close", () => sockets.delete(socket));
  }

  async function accept(client: Socket): Promise<void> {
    keep(client);
    const there = { from: nameOf(client.remoteAddress ?? ""), to };
    const back = { from: to, to: there.from };
    client.pause();
    await links.whenPasses(there);
    await links.whenPasses(back);
    if (client.destroyed) return;
    const upstream = connect({ ...target, allowHalfOpen: true });
    keep(upstream);
    pass(client, upstream, { links, way: there });
    pass(upstream, client, { links, way: back });
  }

  async function open(): Promise<void> {
    server = createServer({ allowHalfOpen: true }, (client) => {
      void accept(client);
    });
    server.listen(listen.port, listen.host);
    await once(server, "listening");
  }

  return {
    async update() {
      if (isWanted() && !server) await open();
      if (isWanted() || !server) return;
      server.close();
      server = null;
    },
    close() {
      server?.close();
      for (const socket of sockets) socket.destroy();
    },
  };
}

/** Passes on what one side sends, and that it has gone, while it may. */
function pass(
  source: Socket,
  sink: Socket,
  options: { readonly links: Links; readonly way: Way },
): void {
  const { links, way } = options;
  const gate = new Transform({
    transform(chunk, _encoding, done) {
      if (links.passes(way)) return done(null, chunk);
      void links.whenPasses(way).then(() => done(null, chunk));
    },
    flush(done) {
      void links.whenPasses(way).then(() => done());
    },
  });
  source.pipe(gate).pipe(sink);
  source.once("close", (hadError) => {
    if (hadError) void links.whenPasses(way).then(() => sink.resetAndDestroy());
  });
}
