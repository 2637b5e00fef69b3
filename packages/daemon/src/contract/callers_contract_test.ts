import { once } from "node:events";
import type { Server } from "node:http";
import { type AddressInfo, connect } from "node:net";
import { failureBodySchema } from "@rosemarypin/schemas";
import debug from "debug";
import { request } from "undici";
import { afterAll, beforeAll, describe, expect, it, vi } from "vitest";
import { startCallerServer } from "../caller_server.ts";
import {
  badCallerKey,
  fakeCallerParts,
  fakeSettings,
  goodKey,
  LONG_WORDS,
  slowLimits,
} from "./fake_parts.ts";
import { type RawCall, rawCall } from "./raw_call.ts";

const GOOD_TOKENS = 40;

let server: Server;
let port = 0;
/** A server with short limits of time, for cases of slow callers only. */
let slowServer: Server;
let slowPort = 0;
const parts = fakeCallerParts(fakeSettings());

beforeAll(async () => {
  ({ server } = await startCallerServer(parts));
  port = (server.address() as AddressInfo).port;
  const settings = fakeSettings();
  const limits = { ...settings.limits, ...slowLimits };
  ({ server: slowServer } = await startCallerServer(
    fakeCallerParts({ ...settings, limits }),
  ));
  slowPort = (slowServer.address() as AddressInfo).port;
});

afterAll(() => {
  for (const each of [server, slowServer]) {
    each.closeAllConnections();
    each.close();
  }
});

/** A caller that does all right; resolves to the words it was streamed. */
async function streamWell(at = port): Promise<string[]> {
  const response = await request(`http://127.0.0.1:${at}/v1/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${goodKey}`,
      "content-type": "application/json",
    },
    body: JSON.stringify({
      model: "assist",
      prompt: "hello",
      max_tokens: GOOD_TOKENS,
      stream: true,
    }),
  });
  const text = await response.body.text();
  expect(text.endsWith("data: [DONE]\n\n")).toBe(true);
  return [...text.matchAll(/"text":" ?(w\d+)"/g)].map(([, word]) => word ?? "");
}

const goodWords = Array.from({ length: GOOD_TOKENS }, (_, n) => `w${n}`);

interface Head {
  readonly method?: string;
  readonly path?: string;
  readonly key?: string | null;
  readonly headers?: readonly string[];
}

/** The request line and headers of a call that ends its connection. */
function head(options: Head = {}): string {
  const {
    method = "POST",
    path = "/v1/completions",
    key = badCallerKey,
  } = options;
  return [
    `${method} ${path} HTTP/1.1`,
    "host: rosemarypin",
    "connection: close",
    ...(key === null ? [] : [`authorization: Bearer ${key}`]),
    ...(options.headers ?? []),
    "\r\n",
  ].join("\r\n");
}

/** A whole call with a body of its true length. */
function call(body: string | Buffer, options: Head = {}): (string | Buffer)[] {
  const length = `content-length: ${Buffer.byteLength(body)}`;
  const headers = [length, ...(options.headers ?? [])];
  return [head({ ...options, headers }), body];
}

function completion(fields: Readonly<Record<string, unknown>>): string {
  return JSON.stringify({ model: "assist", prompt: "hi", ...fields });
}

function service(path: string, headers: readonly string[] = []): string[] {
  return [head({ method: "GET", path, headers })];
}

interface Case {
  readonly title: string;
  readonly parts: RawCall["parts"];
  /** Expected status; `null` when the connection is only cut. */
  readonly status: number | null;
  readonly code?: string;
}

const chunked = "transfer-encoding: chunked";
const big = "x".repeat(9_000);

const cases: readonly Case[] = [
  // Who is calling.
  {
    title: "no key",
    parts: call(completion({}), { key: null }),
    status: 401,
    code: "wrong_key",
  },
  {
    title: "a wrong key",
    parts: call(completion({}), { key: "not-a-known-key" }),
    status: 401,
    code: "wrong_key",
  },
  {
    title: "another kind of credentials",
    parts: call(completion({}), {
      key: null,
      headers: ["authorization: Basic YTpi"],
    }),
    status: 401,
    code: "wrong_key",
  },
  {
    title: "a huge key",
    parts: call(completion({}), { key: "k".repeat(2_000) }),
    status: 401,
    code: "wrong_key",
  },
  {
    title: "a wrong key with a body that never ends",
    parts: [
      head({ key: "not-a-known-key", headers: [chunked] }),
      "5\r\nhello\r\n",
    ],
    status: 401,
    code: "wrong_key",
  },
  // Sizes.
  {
    title: "a body announced as too large",
    parts: [head({ headers: ["content-length: 1000000"] })],
    status: 413,
    code: "body_too_large",
  },
  {
    title: "a body that grows too large",
    parts: [head({ headers: [chunked] }), `2328\r\n${big}\r\n`],
    status: 413,
    code: "body_too_large",
  },
  {
    title: "a too large body behind 'expect'",
    parts: [
      head({ headers: ["content-length: 1000000", "expect: 100-continue"] }),
    ],
    status: 413,
    code: "body_too_large",
  },
  {
    title: "a huge header",
    parts: [head({ headers: [`x-huge: ${"h".repeat(8_000)}`] })],
    status: 431,
    code: "headers_too_large",
  },
  {
    title: "a flood of headers",
    parts: [
      head({ headers: Array.from({ length: 2_000 }, (_, n) => `x-${n}: 1`) }),
    ],
    status: 431,
    code: "headers_too_large",
  },
  {
    title: "a huge url",
    parts: [head({ path: `/v1/${"u".repeat(8_000)}` })],
    status: 431,
    code: "headers_too_large",
  },
  // Speed.
  {
    title: "headers that trickle in",
    parts: ["POST / HTTP/1.1\r\nhost: x\r\n", 2_500, "x: y\r\n"],
    status: 408,
    code: "request_too_slow",
  },
  {
    title: "a body that trickles in",
    parts: [head({ headers: ["content-length: 100"] }), "{", 2_500, "}"],
    status: 408,
    code: "request_too_slow",
  },
  {
    title: "a chunked body that trickles in",
    parts: [head({ headers: [chunked] }), "1\r\n{\r\n", 2_500],
    status: 408,
    code: "request_too_slow",
  },
  // Bodies.
  {
    title: "broken JSON",
    parts: call('{"model":'),
    status: 400,
    code: "bad_request",
  },
  { title: "an empty body", parts: call(""), status: 400, code: "bad_request" },
  {
    title: "JSON that is no object",
    parts: call("[1,2]"),
    status: 400,
    code: "bad_request",
  },
  { title: "JSON null", parts: call("null"), status: 400, code: "bad_request" },
  {
    title: "bytes that are no UTF-8",
    parts: call(Buffer.from([0x22, 0xff, 0xfe, 0x22])),
    status: 400,
    code: "bad_request",
  },
  {
    title: "deeply nested JSON",
    parts: call("[".repeat(4_000) + "]".repeat(4_000)),
    status: 400,
    code: "bad_request",
  },
  {
    title: "a prompt of the wrong type",
    parts: call(completion({ prompt: 7 })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "a prompt with no words",
    parts: call(completion({ prompt: " \n " })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "max_tokens of 0",
    parts: call(completion({ max_tokens: 0 })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "max_tokens beyond the limit",
    parts: call(completion({ max_tokens: 1e9 })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "max_tokens that is no whole number",
    parts: call(completion({ max_tokens: 1.5 })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "stream that is no boolean",
    parts: call(completion({ stream: "yes" })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "thousands of wrong messages",
    parts: call(`{"model":"assist","messages":[${"1,".repeat(4_000)}1]}`, {
      path: "/v1/chat/completions",
    }),
    status: 400,
    code: "bad_request",
  },
  {
    title: "a message of an unknown role",
    parts: call(
      JSON.stringify({
        model: "assist",
        messages: [{ role: "god", content: "x" }],
      }),
      { path: "/v1/chat/completions" },
    ),
    status: 400,
    code: "bad_request",
  },
  // Models and adapters.
  {
    title: "an unknown model",
    parts: call(completion({ model: "nobody" })),
    status: 404,
    code: "unknown_model",
  },
  {
    title: "an unknown adapter",
    parts: call(completion({ adapter: "nobody" })),
    status: 404,
    code: "unknown_model",
  },
  {
    title: "the model __proto__",
    parts: call('{"model":"__proto__","prompt":"x"}'),
    status: 400,
    code: "bad_request",
  },
  {
    title: "the model constructor",
    parts: call(completion({ model: "constructor" })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "the adapter toString",
    parts: call(completion({ adapter: "toString" })),
    status: 400,
    code: "bad_request",
  },
  {
    title: "a model with control characters",
    parts: call(completion({ model: "a\u0000\u001b[31m" })),
    status: 400,
    code: "bad_request",
  },
  // Content.
  {
    title: "an unsupported content type",
    parts: call(completion({}), { headers: ["content-type: text/xml"] }),
    status: 415,
    code: "unsupported_type",
  },
  {
    title: "another charset",
    parts: call(completion({}), {
      headers: ["content-type: application/json; charset=utf-16"],
    }),
    status: 415,
    code: "unsupported_type",
  },
  {
    title: "a compressed body",
    parts: call("xx", { headers: ["content-encoding: gzip"] }),
    status: 415,
    code: "unsupported_encoding",
  },
  {
    title: "another expectation",
    parts: call(completion({}), { headers: ["expect: a-miracle"] }),
    status: 417,
    code: "bad_expectation",
  },
  // Paths and methods.
  {
    title: "an unknown path",
    parts: call("{}", { path: "/v2/completions" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a path that is a key of objects",
    parts: call("{}", { path: "/__proto__" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a wrong method",
    parts: service("/v1/completions"),
    status: 405,
    code: "wrong_method",
  },
  {
    title: "TRACE",
    parts: [head({ method: "TRACE", path: "/v1/models" })],
    status: 405,
    code: "wrong_method",
  },
  {
    title: "CONNECT",
    parts: [head({ method: "CONNECT", path: "elsewhere:443" })],
    status: null,
  },
  {
    title: "the administration API",
    parts: service("/v1/status"),
    status: 404,
    code: "unknown_path",
  },
  // Answers taken up again.
  {
    title: "an answer to resume, without its last event",
    parts: service("/v1/answers/6a1f0c9e-6f0c-4a36-9f0e-0d1c2b3a4f5e"),
    status: 400,
    code: "bad_event_id",
  },
  {
    title: "an answer to resume, with another answer's event",
    parts: service("/v1/answers/6a1f0c9e-6f0c-4a36-9f0e-0d1c2b3a4f5e", [
      "last-event-id: 00000000-6f0c-4a36-9f0e-0d1c2b3a4f5e:1:engine-1",
    ]),
    status: 400,
    code: "bad_event_id",
  },
  {
    title: "an answer to resume whose id climbs",
    parts: service("/v1/answers/..%2f..%2fstate"),
    status: 404,
    code: "unknown_path",
  },
  // Services.
  {
    title: "a path that climbs",
    parts: service("/services/bookings/stock/.."),
    status: 400,
    code: "bad_path",
  },
  {
    title: "a path that climbs behind an encoding",
    parts: service("/services/bookings/stock/..%2f..%2Forders"),
    status: 400,
    code: "bad_path",
  },
  {
    title: "a dot behind an encoding",
    parts: service("/services/bookings/stock/%2E%2e"),
    status: 400,
    code: "bad_path",
  },
  {
    title: "a NUL behind an encoding",
    parts: service("/services/bookings/stock/a%00"),
    status: 400,
    code: "bad_path",
  },
  {
    title: "an empty segment",
    parts: service("/services/bookings//orders"),
    status: 400,
    code: "bad_path",
  },
  {
    title: "no service",
    parts: service("/services/"),
    status: 400,
    code: "bad_path",
  },
  {
    title: "an idempotency-key with a space",
    parts: service("/services/bookings/stock/1", ["idempotency-key: a b"]),
    status: 400,
    code: "bad_key",
  },
  {
    title: "two idempotency-keys",
    parts: service("/services/bookings/stock/1", [
      "idempotency-key: aaaa",
      "idempotency-key: bbbb",
    ]),
    status: 400,
    code: "bad_key",
  },
  {
    title: "a huge idempotency-key",
    parts: service("/services/bookings/stock/1", [
      `idempotency-key: ${"k".repeat(200)}`,
    ]),
    status: 400,
    code: "bad_key",
  },
  // Kinds of work.
  {
    title: "an unknown kind of work",
    parts: call(completion({}), { headers: ["x-work: nothing"] }),
    status: 400,
    code: "unknown_work",
  },
  {
    title: "another organisation's kind of work",
    parts: call(completion({}), { headers: ["x-work: draft"] }),
    status: 400,
    code: "unknown_work",
  },
  // Shapes that hide one request in another.
  {
    title: "content-length and chunked",
    parts: [
      head({ headers: ["content-length: 5", chunked] }),
      "0\r\n\r\nGET /v1/models HTTP/1.1\r\n\r\n",
    ],
    status: 400,
    code: "bad_http",
  },
  {
    title: "two content-lengths",
    parts: [
      head({ headers: ["content-length: 5", "content-length: 6"] }),
      "helloX",
    ],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a negative content-length",
    parts: [head({ headers: ["content-length: -1"] })],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a folded transfer-encoding",
    parts: [head({ headers: ["transfer-encoding: x, chunked, x"] })],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a broken chunk size",
    parts: [head({ headers: [chunked] }), "zz\r\nhello\r\n"],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a NUL in a header",
    parts: [head({ headers: ["x-nul: a\u0000b"] })],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a NUL in the url",
    parts: [head({ path: "/v1/\u0000" })],
    status: 400,
    code: "bad_http",
  },
  {
    title: "a bare line feed in a header",
    parts: [head({ headers: ["x-a: 1\nx-b: 2\n y"] })],
    status: 400,
    code: "bad_http",
  },
  {
    title: "no HTTP at all",
    parts: ["\u0016\u0003\u0001 hello\r\n\r\n"],
    status: 400,
    code: "bad_http",
  },
  {
    title: "no host",
    parts: ["GET /v1/models HTTP/1.1\r\nconnection: close\r\n\r\n"],
    status: 400,
  },
];

describe("a bad call is answered or cut off, and hurts nobody else", () => {
  it.each(cases)("$title", async ({ parts, status, code }) => {
    const at = code === "request_too_slow" ? slowPort : port;
    const good = streamWell(at);
    const answer = await rawCall({ port: at, parts });
    expect(answer.status).toBe(status);
    if (code !== undefined) {
      const { error } = failureBodySchema.parse(answer.body);
      expect(error.code).toBe(code);
      expect(error.outcome).toBe("failed");
    }
    expect(await good).toEqual(goodWords);
  });

  it("covers at least thirty shapes", () => {
    expect(cases.length).toBeGreaterThanOrEqual(30);
  });

  it("keeps the labels of metrics to known names", async () => {
    const text = await parts.metrics.registry.metrics();
    expect(text).toContain('name="unknown"');
    expect(text).not.toContain("nobody");
  });
});

/** Answers whose caller was gone before their end. */
async function countLeft(): Promise<number> {
  const text = await parts.metrics.registry.metrics();
  return Number(/outcome="caller_left"\} (\d+)/.exec(text)?.[1] ?? 0);
}

describe("a caller that leaves or stalls", () => {
  // A mechanic closes the lid in the middle of an answer. The engine would
  // go on for a caller that is gone; its work must end, and nobody else's.
  it("mid-stream ends its own work only", async () => {
    const body = completion({ stream: true, max_tokens: 4_000 });
    const good = streamWell();
    await rawCall({ port, parts: call(body), leaveAfter: "w5" });
    expect(await good).toEqual(goodWords);
    await expect.poll(() => parts.work.count()).toBe(0);
  });

  // A caller stops reading but stays connected. Its answer fills the buffers
  // on the way; engines would be held for it as long as it likes.
  it("without reading is cut off", async () => {
    const long = completion({
      stream: true,
      max_tokens: 4_096,
      prompt: LONG_WORDS,
    });
    const before = await countLeft();
    const socket = connect(port, "127.0.0.1").pause();
    socket.on("error", () => {});
    for (const part of call(long)) socket.write(part);
    await expect.poll(() => parts.work.count()).toBe(1);
    const good = streamWell();
    expect(await good).toEqual(goodWords);
    await expect.poll(() => parts.work.count(), { timeout: 10_000 }).toBe(0);
    expect(await countLeft()).toBe(before + 1);
    socket.destroy();
  });

  // One connection sends many requests without waiting for an answer: each
  // would start an answer at once, past any limit of connections.
  it("by pipelining without end has few answers, one at a time and each whole", async () => {
    const before = parts.started.length;
    const one = call(completion({ max_tokens: 50 })).join("");
    const open = one.replace("connection: close\r\n", "");
    let running = 0;
    let mostAtOnce = 0;
    const begin = vi.spyOn(parts.work, "begin").mockImplementation(() => {
      running += 1;
      mostAtOnce = Math.max(mostAtOnce, running);
      return () => {
        running -= 1;
      };
    });
    const answer = await rawCall({ port, parts: [open.repeat(49) + one] });
    begin.mockRestore();
    expect(answer.text.split("HTTP/1.1 200 OK").length - 1).toBe(5);
    expect(parts.started.length - before).toBe(5);
    expect(mostAtOnce).toBe(1);
  });

  // A caller's second request on a connection is broken while its first is
  // still answered. A refusal written there would end up inside the answer.
  it("by sending garbage behind a good request gets none into its answer", async () => {
    const stream = call(completion({ stream: true, max_tokens: 400 }));
    const open = stream.map((part) =>
      String(part).replace("connection: close\r\n", ""),
    );
    const parts = [...open, 100, "no http at all\r\n\r\n"];
    const answer = await rawCall({ port, parts });
    expect(answer.status).toBe(200);
    expect(answer.text).not.toContain("bad_http");
  });

  // A body of the allowed size holds thousands of wrong messages. Explaining
  // each takes the processor from every other caller.
  it("with thousands of wrong messages has only their number explained", async () => {
    const body = `{"model":"assist","messages":[${"1,".repeat(4_000)}1]}`;
    const path = "/v1/chat/completions";
    const answer = await rawCall({ port, parts: call(body, { path }) });
    const { error } = failureBodySchema.parse(answer.body);
    expect(error.message).toBe("messages: expected at most 256");
  });

  // A caller with a wrong key goes on sending for as long as it may. Nothing
  // is answered any more, but its bytes would be read and dropped all along.
  it("is not listened to for long after its refusal", async () => {
    const settings = fakeSettings();
    const limits = { ...settings.limits, requestTimeoutMs: 3_600_000 };
    const { server: own } = await startCallerServer(
      fakeCallerParts({ ...settings, limits }),
    );
    const { port: ownPort } = own.address() as AddressInfo;
    const start = head({ key: "not-a-known-key", headers: [chunked] });
    const open = start.replace("connection: close\r\n", "");
    const more = Array.from({ length: 30 }, () => ["5\r\nhello\r\n", 200]);
    const parts = [open, ...more.flat()];
    const answer = await rawCall({ port: ownPort, parts });
    expect(answer.status).toBe(401);
    expect(answer.unsent).toBeGreaterThan(0);
    own.close();
  });

  // An organisation sends many bodies that never end. Together they would
  // take all memory that bodies may have, and others would be refused.
  it("with many slow bodies takes no room from others", async () => {
    const headers = ["content-length: 2000"];
    const slow = () =>
      rawCall({
        port: slowPort,
        parts: [head({ headers }), "x".repeat(1_024), 900],
      });
    const bodies = Array.from({ length: 80 }, slow);
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(await streamWell(slowPort)).toEqual(goodWords);
    const answers = await Promise.all(bodies);
    const codes = answers.map(
      ({ body }) => failureBodySchema.parse(body).error.code,
    );
    expect(new Set(codes)).toEqual(
      new Set(["bodies_memory_full", "request_too_slow"]),
    );
  });
});

describe("connections", () => {
  // Someone opens connections and sends nothing. Each takes memory; without a
  // bound the instance dies, and with one they must not hold their places.
  it("are bounded, and the oldest idle one makes room at once", async () => {
    const settings = fakeSettings();
    const limits = { ...settings.limits, connections: 2 };
    const { server: own } = await startCallerServer(
      fakeCallerParts({ ...settings, limits }),
    );
    const { port: ownPort } = own.address() as AddressInfo;
    const idle = [0, 1].map(() => connect(ownPort, "127.0.0.1"));
    const ends = idle.map(
      (socket) => new Promise((resolve) => socket.once("close", resolve)),
    );
    for (const socket of idle) socket.on("error", () => {}).resume();
    await Promise.all(idle.map((socket) => once(socket, "connect")));
    const parts = [head({ method: "GET", path: "/v1/models" })];
    const { status } = await rawCall({ port: ownPort, parts });
    expect(status).toBe(200);
    await ends[0];
    expect(idle.map(({ destroyed }) => destroyed)).toEqual([true, false]);
    own.closeAllConnections();
    own.close();
  });
});

describe("the log", () => {
  // A key in the log would be read by whoever reads logs. Keys come with each
  // call, wrong ones too, and a wrong one may be right elsewhere.
  it("names requests and never a key", async () => {
    const lines: string[] = [];
    const write = debug.log;
    debug.log = (...args: unknown[]) => void lines.push(args.join(" "));
    debug.enable("rosemarypin:*");
    const wrongKey = "key-of-another-deployment";
    await rawCall({ port, parts: call(completion({}), { key: wrongKey }) });
    const headers = ["x-request-id: ticket-7"];
    const answer = await rawCall({
      port,
      parts: call(completion({ max_tokens: 1 }), { headers }),
    });
    const [, requestId = ""] = /x-request-id: (\S+)/.exec(answer.text) ?? [];
    await expect.poll(() => lines.join("\n")).toContain(`request=${requestId}`);
    debug.log = write;
    debug.disable();
    const text = lines.join("\n");
    expect(text).toContain("caller_request=ticket-7");
    expect(text).not.toContain(wrongKey);
    expect(text).not.toContain(badCallerKey);
  });
});

describe("a good call", () => {
  async function post(headers: Readonly<Record<string, string>>) {
    const response = await request(`http://127.0.0.1:${port}/v1/completions`, {
      method: "POST",
      headers: { authorization: `Bearer ${goodKey}`, ...headers },
      body: completion({ max_tokens: 1 }),
    });
    await response.body.dump();
    return response;
  }

  it("goes on after 'expect: 100-continue'", async () => {
    const body = completion({ max_tokens: 1 });
    const headers = ["expect: 100-continue"];
    const answer = await rawCall({ port, parts: call(body, { headers }) });
    expect(answer.text).toMatch(/^HTTP\/1\.1 100 Continue/);
    expect(answer.status).toBe(200);
  });

  it("has an id of ours, and its own id beside it", async () => {
    const response = await post({ "x-request-id": "ticket-7" });
    expect(response.headers["x-caller-request-id"]).toBe("ticket-7");
    expect(response.headers["x-request-id"]).toMatch(/^[0-9a-f-]{36}$/);
  });

  it.each([
    ["the organisation's priority", {}, "standard"],
    ["a lower one if it asks", { "x-priority": "batch" }, "batch"],
    ["no higher one if it asks", { "x-priority": "interactive" }, "standard"],
    ["that of its kind of work", { "x-work": "draft" }, "interactive"],
    [
      "a lower one than its kind of work",
      { "x-work": "draft", "x-priority": "batch" },
      "batch",
    ],
  ])("has %s", async (_title, headers, priority) => {
    await post(headers as Record<string, string>);
    expect(parts.started.at(-1)?.priority).toBe(priority);
  });
});
