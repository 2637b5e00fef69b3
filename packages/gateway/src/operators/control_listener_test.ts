import { once } from "node:events";
import { request } from "node:http";
import type { AddressInfo } from "node:net";
import { Registry } from "prom-client";
import { afterEach, expect, it, vi } from "vitest";
import { createUnexpectedErrors } from "../unexpected_errors.ts";
import { createOperatorsServer } from "./control_listener.ts";

const posted = vi.fn((_body: unknown) => ({ status: 200, body: {} }));
const server = createOperatorsServer(new Registry(), {
  administration: {
    get: () => ({ status: 200, body: {} }),
    post: (_url, body) => posted(body),
  },
  unexpectedErrors: createUnexpectedErrors(),
});

afterEach(() => {
  posted.mockClear();
  server.closeAllConnections();
  server.close();
});

async function listen(): Promise<number> {
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  return (server.address() as AddressInfo).port;
}

function post(port: number, body: string): Promise<Response> {
  return fetch(`http://127.0.0.1:${port}/x`, { method: "POST", body });
}

// Guards against an operator's call that breaks off and ends the process.
it("a call that breaks off in its body is ignored", async () => {
  const rejected = vi.fn();
  process.on("unhandledRejection", rejected);
  const port = await listen();
  const headers = { "content-length": "10" };
  const sent = request({ port, host: "127.0.0.1", method: "POST", headers });
  sent.on("error", () => {});
  sent.write("{}");
  await once(server, "request");
  sent.destroy();
  await new Promise((resolve) => setTimeout(resolve, 100));
  process.off("unhandledRejection", rejected);
  expect(rejected).not.toHaveBeenCalled();
  expect((await post(port, '{"part":"p"}')).status).toBe(200);
  expect(posted).toHaveBeenLastCalledWith({ part: "p" });
});

it("a body that isn't JSON is none", async () => {
  await post(await listen(), "{");
  expect(posted).toHaveBeenLastCalledWith(null);
});

// Guards against a connection that stays silent after an unexpected error, and
// against an error that ends the process.
it("a call that fails unexpectedly is answered with 500", async () => {
  posted.mockImplementationOnce(() => {
    throw new Error("unexpected");
  });
  expect((await post(await listen(), "{}")).status).toBe(500);
});
