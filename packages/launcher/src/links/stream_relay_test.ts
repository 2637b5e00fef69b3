import { once } from "node:events";
import {
  type AddressInfo,
  connect,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { claimPorts } from "@rosemarypin/ports";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLinks, type Links } from "./links.ts";
import { createStreamRelay, type StreamRelay } from "./stream_relay.ts";

const HOST = "127.0.0.1";

let links: Links;
let relay: StreamRelay;
let echo: Server;
let isWanted: boolean;
let port: number;
let clients: Socket[];

beforeEach(async () => {
  links = createLinks();
  isWanted = true;
  clients = [];
  echo = createServer((socket) => socket.pipe(socket));
  echo.listen(0, HOST);
  await once(echo, "listening");
  [port = 0] = await claimPorts(1);
  relay = createStreamRelay({
    links,
    listen: { host: HOST, port },
    target: { host: HOST, port: (echo.address() as AddressInfo).port },
    to: "engine-1",
    nameOf: () => "entry-1",
    isWanted: () => isWanted,
  });
  await relay.update();
});

afterEach(() => {
  for (const client of clients) client.destroy();
  relay.close();
  echo.close();
});

function open() {
  const client = connect(port, HOST);
  clients.push(client);
  const got: string[] = [];
  client.on("data", (chunk) => got.push(chunk.toString()));
  client.on("error", () => {});
  return { client, got };
}

function cutOff(direction: "both" | "outgoing" | "incoming") {
  const names = new Set(["entry-1"]);
  return links.cut({ names, from: new Set(["engine-1"]), direction });
}

/**
 * A scenario cuts an instance from an engine. If the relay let anything pass,
 * the scenario would show nothing; if it lost what TCP would send again, it
 * would show faults that no network has.
 */
describe("a relay of connections", () => {
  it.each(["both", "outgoing", "incoming"] as const)(
    "holds bytes back while %s is cut, and passes them on after",
    async (direction) => {
      const { client, got } = open();
      client.write("before ");
      await vi.waitUntil(() => got.join("") === "before ");
      const heal = cutOff(direction);
      client.write("during ");
      const other = open();
      other.client.write("new");
      await once(other.client, "connect");
      // A second, uncut pair of relays would have answered long before.
      await roundTrips(3);
      expect(got.join("")).toBe("before ");
      expect(other.got).toEqual([]);
      heal();
      await vi.waitUntil(() => got.join("") === "before during ");
      await vi.waitUntil(() => other.got.join("") === "new");
    },
  );

  it("refuses while the process behind it has ended", async () => {
    isWanted = false;
    await relay.update();
    const [error] = await once(open().client, "error");
    expect((error as NodeJS.ErrnoException).code).toBe("ECONNREFUSED");
    isWanted = true;
    await relay.update();
    const { client, got } = open();
    client.write("again");
    await vi.waitUntil(() => got.join("") === "again");
  });
});

/** Sends to the server behind the relay and back, so many times. */
async function roundTrips(count: number): Promise<void> {
  const { port: direct } = echo.address() as AddressInfo;
  const socket = connect(direct, HOST);
  clients.push(socket);
  for (let trip = 0; trip < count; trip++) {
    socket.write("ping");
    await once(socket, "data");
  }
}
