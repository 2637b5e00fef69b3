import type { Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { PublishResult } from "@rosemarypin/release";
import { failureBodySchema, type Settings } from "@rosemarypin/schemas";
import { afterAll, beforeAll, describe, expect, it } from "vitest";
import { startAdminServer } from "../admin_server.ts";
import { createNoteInspector } from "../note_inspector.ts";
import {
  adminKey,
  fakeAdminParts,
  fakeKeeper,
  fakeRecord,
  fakeSettings,
  goodKey,
} from "./fake_parts.ts";
import { type RawCall, rawCall } from "./raw_call.ts";

let server: Server;
let port = 0;
let published = 0;
let nextResult: PublishResult = {
  kind: "recorded",
  record: fakeRecord,
  repeated: false,
};
let storeIsAway = false;

const settings: Settings = fakeSettings();
const keeper = fakeKeeper();
const publisher = {
  async publish() {
    published += 1;
    return nextResult;
  },
  async history() {
    return storeIsAway ? null : [fakeRecord];
  },
  async find(number: number) {
    if (storeIsAway) return undefined;
    return number === 1 ? fakeRecord : null;
  },
};

beforeAll(async () => {
  server = await startAdminServer({
    ...fakeAdminParts(settings),
    publisher,
    inspector: createNoteInspector({ keeper, publisher }),
    status: () => Promise.reject(new Error("a peer sent nonsense")),
  });
  port = (server.address() as AddressInfo).port;
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
});

const note = {
  supersedes: 1,
  publishId: "publish-2",
  reason: "second",
  added: [{ kind: "service", service: "stock" }],
};

interface Ask {
  readonly method?: string;
  readonly path: string;
  readonly key?: string;
  readonly headers?: readonly string[];
  readonly body?: string;
}

function ask({ method, path, key, headers = [], body = "" }: Ask) {
  const chosen = method ?? (body === "" ? "GET" : "POST");
  return [
    [
      `${chosen} ${path} HTTP/1.1`,
      "host: rosemarypin",
      "connection: close",
      `authorization: Bearer ${key ?? adminKey}`,
      `content-length: ${Buffer.byteLength(body)}`,
      ...headers,
      "\r\n",
    ].join("\r\n"),
    body,
  ];
}

const cases: readonly {
  readonly title: string;
  readonly parts: RawCall["parts"];
  readonly status: number;
  readonly code: string;
}[] = [
  {
    title: "an organisation's key",
    parts: ask({ path: "/v1/status", key: goodKey }),
    status: 401,
    code: "wrong_key",
  },
  {
    title: "an unknown path",
    parts: ask({ path: "/v1/nothing" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a path of two slashes",
    parts: ask({ path: "//v1/status" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a path that climbs",
    parts: ask({ path: "/v1/notes/../../etc" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a wrong method",
    parts: ask({ path: "/v1/notes", method: "DELETE" }),
    status: 405,
    code: "wrong_method",
  },
  {
    title: "a note that is no number",
    parts: ask({ path: "/v1/notes/one/status" }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a number beyond all notes",
    parts: ask({ path: `/v1/notes/${"9".repeat(40)}/status` }),
    status: 404,
    code: "unknown_path",
  },
  {
    title: "a diff with nothing to compare to",
    parts: ask({ path: "/v1/notes/1/diff" }),
    status: 400,
    code: "bad_query",
  },
  {
    title: "a diff with an unknown note",
    parts: ask({ path: "/v1/notes/1/diff?to=7" }),
    status: 404,
    code: "unknown_note",
  },
  {
    title: "explain of nothing",
    parts: ask({ path: "/v1/explain" }),
    status: 400,
    code: "bad_query",
  },
  {
    title: "explain of two things",
    parts: ask({ path: "/v1/explain?model=a&service=b" }),
    status: 400,
    code: "bad_query",
  },
  {
    title: "explain of __proto__",
    parts: ask({ path: "/v1/explain?model=__proto__" }),
    status: 400,
    code: "bad_query",
  },
  {
    title: "explain of constructor",
    parts: ask({ path: "/v1/explain?model=constructor" }),
    status: 400,
    code: "bad_query",
  },
  {
    title: "a note that is not JSON",
    parts: ask({ path: "/v1/notes", body: "added:" }),
    status: 422,
    code: "bad_note",
  },
  {
    title: "a note of YAML type",
    parts: ask({
      path: "/v1/notes",
      body: "{}",
      headers: ["content-type: text/yaml"],
    }),
    status: 415,
    code: "unsupported_type",
  },
  {
    title: "a note with an unknown key",
    parts: ask({
      path: "/v1/notes",
      body: JSON.stringify({ ...note, force: true }),
    }),
    status: 422,
    code: "bad_note",
  },
  {
    title: "a note that adds the model constructor",
    parts: ask({
      path: "/v1/notes",
      body: JSON.stringify({
        ...note,
        added: [{ kind: "adapter", model: "constructor", adapter: "x" }],
      }),
    }),
    status: 422,
    code: "bad_note",
  },
  {
    title: "a note with __proto__",
    parts: ask({ path: "/v1/notes", body: '{"__proto__":{},"supersedes":1}' }),
    status: 422,
    code: "bad_note",
  },
  {
    title: "a huge note",
    parts: ask({
      path: "/v1/notes",
      body: JSON.stringify({ ...note, reason: "x".repeat(9_000) }),
    }),
    status: 413,
    code: "body_too_large",
  },
  {
    title: "a check of a broken note",
    parts: ask({ path: "/v1/notes/check", body: "{}" }),
    status: 422,
    code: "bad_note",
  },
  {
    title: "an answer that breaks inside",
    parts: ask({ path: "/v1/status" }),
    status: 503,
    code: "internal_error",
  },
];

describe("a bad call of the administration API", () => {
  it.each(cases)("$title", async ({ parts, status, code }) => {
    const before = published;
    const answer = await rawCall({ port, parts });
    expect(answer.status).toBe(status);
    expect(failureBodySchema.parse(answer.body).error.code).toBe(code);
    expect(published).toBe(before);
    const health = await rawCall({ port, parts: ask({ path: "/healthz" }) });
    expect(health.body).toEqual({ alive: true });
  });
});

describe("a publish", () => {
  const endings: readonly {
    readonly result: PublishResult;
    readonly status: number;
    readonly code?: string;
  }[] = [
    {
      result: { kind: "recorded", record: fakeRecord, repeated: true },
      status: 201,
    },
    {
      result: { kind: "conflict", head: fakeRecord },
      status: 409,
      code: "conflict",
    },
    {
      result: {
        kind: "invalid",
        problems: [{ line: "added[0]", message: "no" }],
      },
      status: 422,
      code: "bad_note",
    },
    {
      result: { kind: "unavailable", detail: "down" },
      status: 503,
      code: "store_unavailable",
    },
    {
      result: { kind: "unknown", detail: "lost" },
      status: 504,
      code: "publish_unknown",
    },
  ];

  it.each(endings)("that ends as $result.kind", async (ending) => {
    const { result, status, code } = ending;
    nextResult = result;
    const body = JSON.stringify(note);
    const parts = ask({ path: "/v1/notes", body });
    const answer = await rawCall({ port, parts });
    expect(answer.status).toBe(status);
    const failure = failureBodySchema.safeParse(answer.body);
    expect(failure.data?.error.code).toBe(code);
  });
});

describe("a question about notes", () => {
  const questions: readonly Ask[] = [
    { path: "/v1/explain?model=assist" },
    { path: "/v1/explain?model=assist&adapter=parts" },
    { path: "/v1/explain?service=nothing" },
    { path: "/v1/notes/0/diff?to=1" },
    { path: "/v1/notes/check", body: JSON.stringify(note) },
    {
      path: "/v1/notes/check",
      body: JSON.stringify({ ...note, supersedes: 0 }),
    },
    { path: "/readyz" },
    { path: "/v1/notes/1/status" },
  ];

  it.each(questions)("$path", async (question) => {
    const answer = await rawCall({ port, parts: ask(question) });
    expect({ status: answer.status, body: answer.body }).toMatchSnapshot();
  });

  it("needs the store for the history only", async () => {
    storeIsAway = true;
    const explain = ask({ path: "/v1/explain?model=assist" });
    const diff = ask({ path: "/v1/notes/0/diff?to=1" });
    expect((await rawCall({ port, parts: explain })).status).toBe(200);
    expect((await rawCall({ port, parts: diff })).status).toBe(503);
    storeIsAway = false;
  });
});
