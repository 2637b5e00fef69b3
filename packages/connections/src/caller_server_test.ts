import { once } from "node:events";
import { type AddressInfo, connect, type Socket } from "node:net";
import { Readable } from "node:stream";
import { pipeline } from "node:stream/promises";
import { setTimeout as pause } from "node:timers/promises";
import { afterEach, describe, expect, it } from "vitest";
import { createCallerMemory } from "./caller_memory.ts";
import {
  type CallerServer,
  type CallerServerOptions,
  type ClosedConnection,
  createCallerServer,
  type RequestHandler,
} from "./caller_server.ts";
import { closeConnection } from "./close_cause.ts";

const REFUSAL = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";
const WORK_MS = 40;
const MAX_WAITING = 4;

let callers: CallerServer;
let mayKeepOpen: boolean;
let handled: string[];
let handledAtOnce: number;
let mostAtOnce: number;
let closed: ClosedConnection[];

afterEach(() => {
  callers.closeAll();
  callers.server.close();
});

type Answer = (
  ...parts: [...Parameters<RequestHandler>, id: string]
) => void | Promise<void>;

const answerWhole: Answer = (_request, response) => {
  response.end("done");
};

async function start(
  answer: Answer = answerWhole,
  options: { readonly headersTimeout?: number } = {},
  limits: Pick<CallerServerOptions, "maxConnections" | "memories"> = {},
): Promise<void> {
  mayKeepOpen = true;
  handled = [];
  handledAtOnce = 0;
  mostAtOnce = 0;
  const closedNow: ClosedConnection[] = [];
  closed = closedNow;
  callers = createCallerServer({
    http: { ...options, connectionsCheckingInterval: 20 },
    async handle(request, response, timing) {
      const id = request.url?.slice(1) ?? "";
      handled.push(id);
      handledAtOnce += 1;
      mostAtOnce = Math.max(mostAtOnce, handledAtOnce);
      request.resume();
      await pause(WORK_MS);
      handledAtOnce -= 1;
      response.setHeader("X-Id", id);
      await answer(request, response, timing, id);
    },
    mayKeepOpen: () => mayKeepOpen,
    requestIdOf: ({ url = "" }) => url.slice(1),
    refuseUnparsed: () => REFUSAL,
    onClosed: (connection) => closedNow.push(connection),
    maxWaiting: MAX_WAITING,
    ...limits,
  });
  callers.server.listen(0, "127.0.0.1");
  await once(callers.server, "listening");
}

function encode(id: string, { host = "Host: test\r\n", body = "" } = {}) {
  const length = body ? `Content-Length: ${body.length}\r\n` : "";
  return `POST /${id} HTTP/1.1\r\n${host}${length}\r\n${body}`;
}

async function open(): Promise<Socket> {
  const { port, address } = callers.server.address() as AddressInfo;
  const socket = connect(port, address);
  socket.on("error", () => {});
  await once(socket, "connect");
  return socket;
}

/** Reads until the connection closes; the IDs that were answered, in order. */
async function readIds(socket: Socket): Promise<string[]> {
  let text = "";
  socket.on("data", (chunk: Buffer) => {
    text += chunk.toString("latin1");
  });
  await closeOf(socket);
  return [...text.matchAll(/X-Id: (\w+)/g)].map(([, id = ""]) => id);
}

function closeOf(socket: Socket): Promise<void> {
  return new Promise((resolve) => socket.once("close", () => resolve()));
}

function send(socket: Socket, ...parts: string[]): Promise<string[]> {
  socket.write(parts.join(""));
  return readIds(socket);
}

const IDS = ["a", "b", "c"];
const ORDERS = IDS.map((id) => encode(id));

describe("requests that are sent ahead on one connection", () => {
  it("are handled one after the other", async () => {
    await start();
    const socket = await open();
    const reading = send(socket, ...ORDERS);
    await expect.poll(() => handled.length).toBe(3);
    await pause(2 * WORK_MS);
    socket.end();
    expect(await reading).toEqual(IDS);
    expect({ handled, mostAtOnce }).toEqual({ handled: IDS, mostAtOnce: 1 });
  });

  it("are all answered by a process that stops, before it closes", async () => {
    await start();
    mayKeepOpen = false;
    expect(await send(await open(), ...ORDERS)).toEqual(IDS);
    expect(closed).toEqual([{ cause: "announced", isUnanswered: false }]);
  });

  it("keep their connection open if they come while it is about to close", async () => {
    await start();
    mayKeepOpen = false;
    const socket = await open();
    const reading = send(socket, encode("a"));
    await pause(WORK_MS / 2);
    socket.write(encode("b"));
    expect(await reading).toEqual(["a", "b"]);
  });

  it("aren't handled behind an answer that has announced the close", async () => {
    await start((_request, response) => {
      response.writeHead(200, { Connection: "close" });
      response.write("begun");
      setTimeout(() => response.end(), WORK_MS);
    });
    const socket = await open();
    expect(await send(socket, ...ORDERS)).toEqual(["a"]);
    expect(handled).toEqual(["a"]);
  });

  it("aren't handled behind one that is broken off", async () => {
    await start((_request, response) =>
      closeConnection(response.socket, "answer_cut", { isReset: true }),
    );
    expect(await send(await open(), ...ORDERS)).toEqual([]);
    await expect.poll(() => closed.length).toBe(1);
    expect(handled).toEqual(["a"]);
    expect(closed).toEqual([{ cause: "answer_cut", isUnanswered: true }]);
  });

  // Each case closes the connection by the server's own error handling, which
  // would answer in place of a request before it.
  it.each([
    ["bytes that are no request", "no request\r\n\r\n"],
    [
      "a method without a handler",
      "CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n",
    ],
    ["a request without a host", encode("x", { host: "" })],
    [
      "a body with a wrong chunk",
      "POST /x HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked\r\n\r\nwrong\r\n",
    ],
    ["a head that doesn't end", "POST /x HTTP/1.1\r\nHost"],
    [
      "a body that doesn't end",
      "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nx",
    ],
    ["a protocol that it doesn't speak", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"],
  ])("are answered before %s closes it", async (_name, bytes) => {
    await start(answerWhole, { headersTimeout: WORK_MS / 2 });
    callers.server.requestTimeout = WORK_MS / 2;
    const socket = await open();
    expect(await send(socket, ...ORDERS, bytes)).toEqual(IDS);
    expect(closed.map(({ cause }) => cause)).not.toContain("unexplained");
    expect(closed.every(({ isUnanswered }) => !isUnanswered)).toBe(true);
  });

  it("aren't handled beyond a number, and the last answer announces the close", async () => {
    await start();
    const ids = Array.from({ length: 40 }, (_, index) => `r${index}`);
    const socket = await open();
    let text = "";
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("latin1");
    });
    const answered = await send(socket, ...ids.map((id) => encode(id)));
    expect(answered).toEqual(ids.slice(0, MAX_WAITING + 1));
    expect(handled).toEqual(answered);
    expect(text.split("Connection: close").length - 1).toBe(1);
  });

  // Guards against a close that takes the request in progress with it.
  it("without end cut none of those that are handled", async () => {
    await start();
    const flood = "GET /r HTTP/1.1\r\nHost: x\r\n\r\n".repeat(5_000);
    const answered = await send(await open(), ...ORDERS, flood);
    expect(answered).toEqual([...IDS, "r", "r"]);
    expect(handled).toEqual(answered);
    expect(closed.every(({ isUnanswered }) => !isUnanswered)).toBe(true);
  });

  // Guards against an answer that waits for a reader and never goes on.
  it.each([
    "no request\r\n\r\n",
    "CONNECT other:80 HTTP/1.1\r\nHost: x\r\n\r\n",
  ])("are answered to a slow reader before %j", async (bytes) => {
    const size = 8_000_000;
    const pieces = Array<Buffer>(100).fill(Buffer.alloc(size / 100));
    await start((_request, response) =>
      pipeline(Readable.from(pieces), response),
    );
    const socket = await open();
    socket.pause();
    socket.write(encode("a"));
    await pause(2 * WORK_MS);
    socket.write(bytes);
    await pause(2 * WORK_MS);
    let read = 0;
    socket.on("data", (chunk: Buffer) => {
      read += chunk.length;
    });
    socket.resume();
    await closeOf(socket);
    expect(read).toBeGreaterThan(size);
  });

  // Guards against a body that counts as late because it had to wait.
  it("may wait for longer than the time limit of their bodies", async () => {
    await start(async (_request, response) => {
      await pause(4 * WORK_MS);
      response.end("done");
    });
    callers.server.requestTimeout = WORK_MS;
    const socket = await open();
    const body = "x".repeat(400_000);
    const reading = send(socket, encode("a"), encode("b", { body }));
    await expect.poll(() => handled).toEqual(IDS.slice(0, 2));
    await pause(8 * WORK_MS);
    socket.end();
    expect(await reading).toEqual(["a", "b"]);
  });

  // Guards against an answer that is taken for that of another request: the
  // parser drops what follows such a request in one read.
  it("aren't read behind one that asks for another protocol", async () => {
    await start();
    const upgrade = "Host: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n";
    const socket = await open();
    const reading = send(socket, encode("a", { host: upgrade }), encode("b"));
    await pause(WORK_MS / 2);
    socket.write(encode("c"));
    expect(await reading).toEqual(["a"]);
    expect(handled).toEqual(["a"]);
  });

  // Guards against a connection that is held for good by its last request.
  it("are limited in time if the last one's body doesn't end", async () => {
    await start((request, response, _timing, id) => {
      if (request.complete) response.end(id);
    });
    callers.server.requestTimeout = WORK_MS;
    const orders = Array.from({ length: MAX_WAITING }, () => encode("a"));
    const last = encode("b", { body: "unfinished" }).slice(0, -1);
    const answered = await send(await open(), ...orders, last);
    expect(answered).toEqual(orders.map(() => "a"));
    expect(closed).toEqual([{ cause: "bad_request", isUnanswered: false }]);
  });

  it("count as unanswered only if they were handled", async () => {
    await start((_request, response) => {
      response.writeHead(200, { Connection: "close" }).end("done");
    });
    await send(await open(), ...ORDERS);
    await expect
      .poll(() => closed)
      .toEqual([{ cause: "announced", isUnanswered: false }]);
  });
});

describe("the end of a server", () => {
  it("reaches a caller that always has a request ahead", async () => {
    await start();
    const socket = await open();
    socket.on("data", (chunk: Buffer) => {
      if (chunk.includes("HTTP/1.1")) socket.write(encode("more"));
    });
    const reading = send(socket, encode("a"), encode("b"));
    await pause(3 * WORK_MS);
    mayKeepOpen = false;
    callers.stopListening();
    expect(await reading).toEqual(handled);
    expect(closed).toEqual([{ cause: "announced", isUnanswered: false }]);
  });

  it("leaves connections whose answers are ended and not yet sent", async () => {
    const size = 8_000_000;
    await start((_request, response) => void response.end(Buffer.alloc(size)));
    const socket = await open();
    socket.pause();
    socket.write(ORDERS.join(""));
    await pause(3 * WORK_MS);
    callers.stopListening();
    callers.closeIdle();
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => {
      bytes += chunk.length;
    });
    socket.resume();
    const sweep = setInterval(callers.closeIdle, WORK_MS);
    await closeOf(socket);
    clearInterval(sweep);
    expect(bytes).toBeGreaterThan(3 * size);
    await expect
      .poll(() => closed)
      .toEqual([{ cause: "announced", isUnanswered: false }]);
  });

  it("closes idle connections, and none whose next request is arriving", async () => {
    await start();
    const [idle, busy] = [await open(), await open()];
    for (const socket of [idle, busy]) {
      socket.write(encode("a"));
      await once(socket, "data");
    }
    busy.write(encode("b").slice(0, 12));
    await pause(WORK_MS);
    const idleClosed = closeOf(idle.resume());
    callers.closeIdle();
    await idleClosed;
    const reading = send(busy, encode("b").slice(12));
    await expect.poll(() => handled).toEqual(["a", "a", "b"]);
    await pause(2 * WORK_MS);
    busy.end();
    expect(await reading).toEqual(["b"]);
  });
});

describe("a connection that is closed", () => {
  it("without a cause counts as unexplained", async () => {
    await start((request) => void request.socket.destroy());
    await send(await open(), encode("a"));
    await expect.poll(() => closed.length).toBe(1);
    expect(closed).toEqual([{ cause: "unexplained", isUnanswered: true }]);
  });

  it("by its caller isn't counted", async () => {
    await start();
    const socket = await open();
    socket.write(encode("a"));
    await once(socket, "data");
    socket.end();
    await closeOf(socket);
    await pause(WORK_MS);
    expect(closed).toEqual([]);
  });
});

describe("a connection beyond the number that may be open", () => {
  // Guards against a crowd that takes all connections and sends nothing.
  it("takes the place of the one that has sent nothing for longest", async () => {
    await start(answerWhole, {}, { maxConnections: 2 });
    const [oldest, newer] = [await open(), await open()];
    await expect.poll(countConnections).toBe(2);
    const answers = send(await open(), encode("a"));
    await closeOf(oldest.resume());
    expect(newer.destroyed).toBe(false);
    await expect.poll(() => handled).toEqual(["a"]);
    newer.destroy();
    callers.closeAll();
    await answers;
    expect(closed[0]).toEqual({
      cause: "connection_limit",
      isUnanswered: false,
    });
  });

  // Guards against a request that is cut off for a new connection.
  it("is closed if all others have a request in progress", async () => {
    await start(
      async (_request, response) => {
        await pause(4 * WORK_MS);
        response.end("done");
      },
      {},
      { maxConnections: 1 },
    );
    const answers = send(await open(), encode("a"));
    await expect.poll(() => handled).toEqual(["a"]);
    const { port, address } = callers.server.address() as AddressInfo;
    const beyond = connect(port, address).on("error", () => {});
    expect(await send(beyond, encode("b"))).toEqual([]);
    expect(handled).toEqual(["a"]);
    await expect.poll(() => closed.length).toBe(1);
    callers.closeIdle();
    await pause(8 * WORK_MS);
    callers.closeIdle();
    expect(await answers).toEqual(["a"]);
  });
});

describe("requests that wait when the memory for them is used up", () => {
  // Guards against a given-up connection whose request in progress is lost.
  it("aren't run, and the one in progress is answered", async () => {
    const memories = {
      bodies: createCallerMemory(1_000_000),
      unparsed: createCallerMemory(1_000_000),
      requests: createCallerMemory(20_000),
    };
    await start(
      async (_request, response) => {
        await pause(1_500);
        response.end("done");
      },
      {},
      { memories },
    );
    const answers = send(await open(), ...ORDERS);
    await expect.poll(() => handled).toEqual(["a"]);
    await pause(1_100);
    memories.requests.open().hold(15_000);
    expect(await answers).toEqual(["a"]);
    expect(handled).toEqual(["a"]);
    expect(closed).toEqual([{ cause: "announced", isUnanswered: false }]);
  });

  // Guards against connections that hold memory with nothing in progress.
  it("lose their connection if none is in progress", async () => {
    const memories = {
      bodies: createCallerMemory(1_000_000),
      unparsed: createCallerMemory(1_000_000),
      requests: createCallerMemory(20_000),
    };
    await start(() => {}, {}, { memories });
    const body = "POST /a HTTP/1.1\r\nHost: t\r\nContent-Length: 9\r\n\r\nx";
    const answers = send(await open(), body);
    await expect.poll(() => handled).toEqual(["a"]);
    await pause(1_100);
    memories.requests.open().hold(19_000);
    expect(await answers).toEqual([]);
    await expect
      .poll(() => closed)
      .toEqual([{ cause: "memory", isUnanswered: false }]);
  });
});

function countConnections(): Promise<number> {
  return new Promise((resolve) =>
    callers.server.getConnections((_error, count) => resolve(count)),
  );
}
