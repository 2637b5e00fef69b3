import { once } from "node:events";
import { type AddressInfo, createServer, type Server } from "node:net";
import { afterAll, expect, it } from "vitest";
import { createBackendExchange } from "./backend_exchange.ts";

const SILENCE_MS = 2_200;

const servers: Server[] = [];

afterAll(() => {
  for (const server of servers) server.close();
});

/** Starts a server that answers with pieces, and waits between them. */
async function startServer(
  pieces: readonly string[],
  pauseMs: number,
): Promise<string> {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", async () => {
      for (const [index, piece] of pieces.entries()) {
        if (index > 0)
          await new Promise((resolve) => setTimeout(resolve, pauseMs));
        socket.write(piece);
      }
    });
  });
  servers.push(server);
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function read(address: string): Promise<string> {
  const result = await createBackendExchange().send(
    { address },
    { method: "GET", path: "/", headers: [], body: null },
    { signal: AbortSignal.timeout(20_000), freshConnection: true },
  );
  if (result.kind !== "answer") return result.detail;
  let text = `${result.status} `;
  for await (const chunk of result.body) text += chunk;
  return text;
}

const HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against bounds that end answers of sound servers.
it.concurrent.each([
  ["a head", ["HTTP/1.1 200 OK\r\nTransfer-", `Encoding: chunked\r\n\r\n`]],
  ["a chunk's size and its data", [`${HEAD}5`, "\r\nwhole\r\n"]],
  ["two chunks", [HEAD, "2\r\nwh\r\n", "3\r\nole\r\n"]],
  ["interim answers", ["HTTP/1.1 102 Processing\r\n\r\n", HEAD]],
  ["trailers", [`${HEAD}5\r\nwhole\r\n0\r\n`, "X-Sum: 1\r\n"]],
] as const)(
  "leaves an answer alone whose server is silent within %s",
  async (what, pieces) => {
    const hasBody = pieces.some((piece) => piece.includes("ole\r\n"));
    const rest =
      what === "trailers"
        ? "\r\n"
        : `${hasBody ? "" : "5\r\nwhole\r\n"}0\r\n\r\n`;
    const address = await startServer([...pieces, rest], SILENCE_MS);
    expect(await read(address)).toBe("200 whole");
  },
);

it("leaves an answer alone that comes in chunks of one byte", async () => {
  const chunks = "1\r\nx\r\n".repeat(200_000);
  const address = await startServer([`${HEAD}${chunks}0\r\n\r\n`], 0);
  expect(await read(address)).toBe(`200 ${"x".repeat(200_000)}`);
});

it("counts the bytes of each request on a kept connection anew", async () => {
  const field = `X-Long: ${"x".repeat(10_000)}\r\n`;
  const answer = `HTTP/1.1 200 OK\r\n${field}Content-Length: 5\r\n\r\nwhole`;
  const address = await startServer([answer], 0);
  const exchange = createBackendExchange();
  for (let count = 0; count < 20; count += 1) {
    const result = await exchange.send(
      { address },
      { method: "GET", path: "/", headers: [], body: null },
      { signal: AbortSignal.timeout(5_000), freshConnection: false },
    );
    expect(result.kind).toBe("answer");
    if (result.kind !== "answer") return;
    let text = "";
    for await (const chunk of result.body) text += chunk;
    expect(text).toBe("whole");
  }
});
