import { once } from "node:events";
import { createServer, get, type IncomingMessage } from "node:http";
import { type AddressInfo, createServer as createRawServer } from "node:net";
import { expect, it, onTestFinished } from "vitest";
import { startBalancer } from "./balancer.ts";

const HOST = "127.0.0.1";
const POLL_MS = 10;

// Guards against a part of an answer that looks whole behind the balancer.
it("adds no framing to an answer that ends with its connection", async () => {
  const callers = createRawServer((socket) => {
    socket.on("error", () => {});
    socket.once("data", () => socket.end("HTTP/1.1 200 OK\r\n\r\npart"));
  }).listen(0, HOST);
  const admin = createServer((_, response) => response.end()).listen(0, HOST);
  await Promise.all([once(callers, "listening"), once(admin, "listening")]);
  const addressOf = (server: typeof callers) => {
    const { port } = server.address() as AddressInfo;
    return { host: HOST, port };
  };
  const balancer = await startBalancer({
    host: HOST,
    port: 0,
    instances: [{ callers: addressOf(callers), admin: addressOf(admin) }],
    checkEveryMs: POLL_MS,
  });
  onTestFinished(() => {
    for (const server of [callers, admin, balancer]) server.close();
  });
  let answer: IncomingMessage;
  do {
    [answer] = await once(get(addressOf(balancer)), "response");
  } while (answer.statusCode === 503 && answer.resume());
  const { headers } = answer;
  expect(headers["content-length"]).toBeUndefined();
  expect(headers["transfer-encoding"]).toBeUndefined();
  let body = "";
  for await (const chunk of answer) body += chunk;
  expect(body).toBe("part");
});
