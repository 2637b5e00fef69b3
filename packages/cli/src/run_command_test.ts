import { once } from "node:events";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type {
  Explain,
  NoteDiff,
  NoteRecord,
  NoteStatus,
  RequestTrace,
  ServiceLevels,
  Status,
} from "@rosemarypin/schemas";
import { afterAll, beforeAll, beforeEach, describe, expect, it } from "vitest";
import type { CommandFlags } from "./command.ts";
import { commands, overview, runCommand } from "./run_command.ts";

const examples = fileURLToPath(new URL("../../../examples/", import.meta.url));
const folder = mkdtempSync(join(tmpdir(), "rosemarypin-cli-"));

interface Canned {
  readonly status: number;
  readonly body: unknown;
}

/** Replies of the fake instance, by method and path. */
let replies = new Map<string, Canned>();
let received: { call: string; body: unknown }[] = [];
let server: Server;
let url = "";
let deadUrl = "";

beforeAll(async () => {
  server = createServer(async (request, response) => {
    const chunks: Buffer[] = [];
    for await (const chunk of request) chunks.push(chunk as Buffer);
    const text = Buffer.concat(chunks).toString();
    const call = `${request.method} ${request.url}`;
    received.push({ call, body: text === "" ? null : JSON.parse(text) });
    const reply = replies.get(call);
    if (!reply) return void response.destroy();
    response.statusCode = reply.status;
    response.end(JSON.stringify(reply.body));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  url = `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
  const closed = createServer().listen(0, "127.0.0.1");
  await once(closed, "listening");
  deadUrl = `http://127.0.0.1:${(closed.address() as AddressInfo).port}`;
  closed.close();
  await once(closed, "close");
});

afterAll(() => {
  server.closeAllConnections();
  server.close();
  rmSync(folder, { recursive: true });
});

beforeEach(() => {
  replies = new Map([
    ["GET /v1/status", ok(status)],
    [
      "GET /v1/requests/6a1f0c9e-6f0c-4a36-9f0e-0d1c2b3a4f5e",
      refusal(404, "unknown_request"),
    ],
  ]);
  received = [];
});

function ok(body: unknown): Canned {
  return { status: 200, body };
}

function refusal(httpStatus: number, code: string, outcome = "failed"): Canned {
  const error = { outcome, code, message: `because ${code}`, requestId: "r" };
  return { status: httpStatus, body: { error } };
}

interface RunOptions {
  readonly flags?: CommandFlags;
  readonly help?: boolean;
  readonly urls?: readonly string[];
  readonly key?: string;
  readonly json?: boolean;
  readonly colour?: boolean;
}

async function run(line: string, options: RunOptions = {}) {
  const written: string[] = [];
  const errors: string[] = [];
  const exitCode = await runCommand(line === "" ? [] : line.split(" "), {
    output: {
      json: options.json ?? false,
      colour: options.colour ?? false,
      write: (text) => void written.push(text),
      writeError: (text) => void errors.push(text),
      progress() {},
    },
    flags: options.flags ?? {},
    help: options.help ?? false,
    adminUrls: options.urls ?? [url],
    key: options.key ?? "key",
  });
  const hide = (text: string) =>
    text
      .replaceAll(url, "ADMIN")
      .replaceAll(deadUrl, "DEAD")
      .replaceAll(/127\.0\.0\.1:\d+/g, "HOST:PORT");
  return {
    exitCode,
    output: hide(written.join("\n")),
    errors: hide(errors.join("\n")),
  };
}

function writeFile(name: string, text: string): string {
  const file = join(folder, name);
  writeFileSync(file, text);
  return file;
}

const status: Status = {
  deployment: "kanem",
  instance: "entry-1",
  startedAt: 0,
  note: 3,
  phase: "accepted",
  instances: [
    {
      id: "entry-1",
      failureDomain: "a",
      state: "alive",
      note: 3,
      draining: false,
      load: 2,
      heardAgoMs: 0,
    },
    {
      id: "entry-2",
      failureDomain: "b",
      state: "suspect",
      note: 2,
      draining: true,
      load: 0,
      heardAgoMs: 1_234,
    },
  ],
  backends: [
    {
      id: "engine-1",
      kind: "engine",
      name: "assist",
      failureDomain: "a",
      state: "ready",
      holds: ["assist/v1:0-10"],
      inFlight: 1,
      load: 4,
    },
  ],
};

const record: NoteRecord = {
  number: 3,
  note: {
    supersedes: 2,
    publishId: "publish-3",
    reason: "faulty batch",
    added: [],
    changed: [{ kind: "model", model: "assist", serve: ["v1"] }],
    withdrawn: [{ kind: "version", model: "assist", version: "v2" }],
  },
  catalogue: { models: {}, services: [], withdrawn: [] },
  recordedAt: 0,
  recordedBy: "entry-1",
};

const diff: NoteDiff = {
  from: 2,
  to: 3,
  changes: [
    { kind: "version", model: "assist", name: "v2", change: "removed" },
    {
      kind: "serve",
      model: "assist",
      name: "assist",
      change: "changed",
      before: "v2, v1",
      after: "v1",
    },
  ],
};

const explanation: Explain = {
  number: 3,
  subject: { kind: "model", name: "assist", adapter: "parts" },
  verdict: "withdrawn",
  decidedBy: { number: 3, line: "withdrawn[0]", reason: "faulty batch" },
  message: "version 'v2' of model 'assist' was withdrawn by note 3",
};

const REQUEST_ID = "0d1c2b3a-6f0c-4a36-9f0e-6a1f0c9e4f5e";

const requestTrace: RequestTrace = {
  requestId: REQUEST_ID,
  records: [
    {
      requestId: REQUEST_ID,
      instance: "entry-1",
      kind: "answer",
      name: "assist",
      organisation: "kano",
      startedAt: 1_764_720_000_000,
      durationMs: 840,
      outcome: "withdrawn",
      code: "withdrawn",
      message: "version 'v2' was withdrawn",
      retryAfterSeconds: 2,
      tokens: 12,
      firstTokenMs: 95,
    },
    {
      requestId: REQUEST_ID,
      instance: "entry-2",
      kind: "resumed_answer",
      name: "assist",
      organisation: "kano",
      startedAt: 1_764_720_001_000,
      outcome: "running",
    },
  ],
  silent: ["entry-4"],
};

function noteStatus(phase: NoteStatus["phase"]): NoteStatus {
  const state = phase === "in_force" ? "confirmed" : "behind";
  const detail = phase === "in_force" ? "" : "confirmed note 2";
  return {
    number: 3,
    phase,
    instances: [
      {
        id: "entry-1",
        failureDomain: "a",
        state: "confirmed",
        applied: 3,
        detail: "",
      },
    ],
    engines: [{ id: "engine-1", failureDomain: "a", state, detail }],
  };
}

const levels: ServiceLevels = {
  instance: "entry-1",
  failureDomain: "a",
  countedSeconds: 600,
  targets: {
    firstToken: 0.95,
    betweenTokens: 0.95,
    booking: 0.999,
    note: 0.95,
  },
  series: [
    {
      objective: "firstToken",
      organisation: "kano",
      name: "assist",
      fast: { total: 10, missed: 8 },
      slow: { total: 100, missed: 80 },
    },
  ],
  minutes: { firstToken: [], betweenTokens: [], booking: [], note: [] },
};

describe("help", () => {
  it("lists all commands", () => {
    expect(overview()).toMatchSnapshot();
  });

  it.each(commands.map(({ name }) => name))("of '%s'", async (name) => {
    const { output, exitCode } = await run(name, { help: true });
    expect(exitCode).toBe(0);
    expect(output).toMatchSnapshot();
  });

  it("and the page name each command and exit code", () => {
    const page = readFileSync(`${examples}../docs/cli.md`, "utf8");
    for (const { name } of commands) expect(page).toContain(`\`${name}`);
  });
});

describe("tables", () => {
  const tables: readonly (readonly [
    string,
    CommandFlags,
    Map<string, Canned>,
  ])[] = [
    ["status", {}, new Map()],
    ["instances", {}, new Map()],
    ["backends", {}, new Map()],
    ["note history", {}, new Map([["GET /v1/notes", ok({ notes: [record] })]])],
    ["note show", {}, new Map([["GET /v1/notes/3", ok(record)]])],
    ["note diff", {}, new Map([["GET /v1/notes/2/diff?to=3", ok(diff)]])],
    [
      "note wait 3",
      {},
      new Map([["GET /v1/notes/3/status", ok(noteStatus("in_force"))]]),
    ],
    [
      "explain assist",
      { adapter: "parts" },
      new Map([
        ["GET /v1/explain?model=assist&adapter=parts", ok(explanation)],
      ]),
    ],
    [
      `explain ${REQUEST_ID}`,
      {},
      new Map([[`GET /v1/requests/${REQUEST_ID}`, ok(requestTrace)]]),
    ],
    ["report burn", {}, new Map([["GET /v1/service-levels", ok(levels)]])],
    [
      "quarantine release assist 91bd3f06",
      {},
      new Map([
        [
          "POST /v1/quarantine/release",
          { status: 200, body: { released: true } },
        ],
      ]),
    ],
    [
      "drain",
      {},
      new Map([["POST /v1/drain", { status: 202, body: { draining: true } }]]),
    ],
  ];

  it.each(tables)("of '%s'", async (line, flags, more) => {
    replies = new Map([...replies, ...more]);
    const { output, exitCode, errors } = await run(line, { flags });
    expect(errors).toBe("");
    expect(exitCode).toBe(0);
    expect(output).toMatchSnapshot();
  });

  it("of 'status' with levels and demand of classes", async () => {
    const classLevels = [
      { service: "assist", priority: 0, loadLimit: 1, reserve: 0 },
      { service: "assist", priority: 2, loadLimit: 0.8125, reserve: 0.1875 },
    ];
    const figures = { arrivingPerSecond: 1_234.5, waiting: 0, held: 56_789 };
    const demand = [
      { service: "assist", failureDomain: "a", priority: 0, ...figures },
    ];
    const body = { ...status, classLevels, demand };
    replies = new Map([...replies, ["GET /v1/status", ok(body)]]);
    const { output, errors } = await run("status");
    expect(errors).toBe("");
    expect(output).toMatchSnapshot();
    const { output: json } = await run("status", { json: true });
    expect(JSON.parse(json)).toEqual(body);
  });

  it("of 'status' with prompt parts in quarantine", async () => {
    const part = {
      service: "assist",
      part: "91bd3f06",
      engines: ["e-1@5", "e-2@7", "e-3@6"],
      since: Date.UTC(2030, 0, 1),
      trials: 0,
      nextTrialAt: Date.UTC(2030, 0, 1, 0, 2),
    };
    const final = { ...part, part: "0d4a6c11", trials: 2, nextTrialAt: null };
    const body = { ...status, quarantine: [part, final] };
    replies = new Map([...replies, ["GET /v1/status", ok(body)]]);
    const { output, errors } = await run("status");
    expect(errors).toBe("");
    expect(output).toMatchSnapshot();
  });

  it("have colour where it is wanted only", async () => {
    const escapeCode = String.fromCharCode(27);
    const plain = await run("instances");
    const coloured = await run("instances", { colour: true });
    expect(plain.output).not.toContain(escapeCode);
    expect(coloured.output).toContain(`${escapeCode}[32malive`);
  });

  it("are JSON for programs", async () => {
    const { output } = await run("status", { json: true });
    expect(JSON.parse(output)).toEqual(status);
  });
});

describe("exit codes and what to do next", () => {
  const note =
    "reason: second\nadded:\n  - { kind: service, service: stock }\n";

  it.each([
    ["no such command", "frobnicate", {}, 2],
    ["no such flag", "status", { flags: { reason: "x" } }, 2],
    ["too many words", "status now", {}, 2],
    ["no address", "status", { urls: [] }, 2],
    ["an address that is no URL", "status", { urls: ["entry-1"] }, 2],
    ["no key", "status", { key: "" }, 2],
    ["nobody there", "status", { urls: ["DEAD"] }, 4],
    ["no such file", "note publish /nowhere/note.yaml", {}, 2],
    ["no reason for a recall", "note recall version assist v2", {}, 2],
    [
      "a wrong recall",
      "note recall constructor x",
      { flags: { reason: "x" } },
      2,
    ],
    ["a number that is none", "note show three", {}, 2],
    [
      "a request that no instance remembers",
      "explain 6a1f0c9e-6f0c-4a36-9f0e-0d1c2b3a4f5e",
      {},
      1,
    ],
    ["two instances to drain", "drain", { urls: ["ADMIN", "ADMIN"] }, 2],
  ] as const)("for %s", async (_title, line, options, exitCode) => {
    const given: RunOptions = options;
    const urls = given.urls?.map((name) =>
      name === "DEAD" ? deadUrl : name === "ADMIN" ? url : name,
    );
    const result = await run(line, urls ? { ...given, urls } : given);
    expect(result.exitCode).toBe(exitCode);
    expect(result.output).toBe("");
    const [first = ""] = result.errors.split("\n\n");
    expect(first).toMatchSnapshot();
  });

  it.each([
    [401, "wrong_key", "failed", 2],
    [404, "unknown_note", "failed", 1],
    [409, "conflict", "failed", 3],
    [422, "bad_note", "failed", 2],
    [503, "store_unavailable", "not_run", 4],
    [504, "publish_unknown", "outcome_unknown", 5],
  ])("for %s %s", async (httpStatus, code, outcome, exitCode) => {
    replies.set("POST /v1/notes", refusal(httpStatus, code, outcome));
    const file = writeFile(
      "note.yaml",
      `supersedes: 3\npublishId: publish-4\n${note}`,
    );
    const result = await run(`note publish ${file}`);
    expect(result.exitCode).toBe(exitCode);
    expect(result.errors).toMatchSnapshot();
  });

  // The instance takes a publish and is killed before it answers. Whether the
  // note is recorded is not known; "nothing was done" would be a lie.
  it("for a publish whose connection breaks", async () => {
    const file = writeFile(
      "note.yaml",
      `supersedes: 3\npublishId: publish-4\n${note}`,
    );
    const result = await run(`note publish ${file}`);
    expect(result.exitCode).toBe(5);
    expect(result.errors).toContain("publish id: publish-4");
  });

  it("for a note that is not in force in time", async () => {
    replies.set("GET /v1/notes/3/status", ok(noteStatus("accepted")));
    const result = await run("note wait 3", { flags: { timeout: 0.01 } });
    expect(result.exitCode).toBe(6);
    expect(result.errors).toContain("Not confirmed: engine-1");
  });
});

describe("amend", () => {
  const file = () => writeFile("amend.yaml", "reason: third\nadded: []\n");

  it("publishes on top of the note in use", async () => {
    const answer = { number: 4, phase: "recorded", repeated: false };
    replies.set("POST /v1/notes", { status: 201, body: answer });
    const { exitCode } = await run(`note amend ${file()}`);
    expect(exitCode).toBe(0);
    expect(received.at(-1)?.body).toMatchObject({ supersedes: 3 });
  });

  it("refuses a file that was written for another note", async () => {
    const old = writeFile("old.yaml", "supersedes: 1\nreason: third\n");
    const { exitCode, errors } = await run(`note amend ${old}`);
    expect(exitCode).toBe(2);
    expect(errors).toContain("old.yaml:1: supersedes:");
  });
});

describe("check", () => {
  it.each(["kanem", "bandari_tupu"])(
    "takes the examples of %s",
    async (name) => {
      const offline = { urls: [] };
      const settings = await run(`check ${examples}${name}.yaml`, offline);
      const note = await run(`check ${examples}${name}_note_1.yaml`, offline);
      expect([settings.exitCode, note.exitCode]).toEqual([0, 0]);
    },
  );

  it("names file, line and key of what is wrong", async () => {
    const file = writeFile("wrong.yaml", "deployment: x\nregoin: y\n");
    const { exitCode, output } = await run(`check ${file}`, { urls: [] });
    expect(exitCode).toBe(2);
    expect(output).toContain("wrong.yaml:2: regoin: unknown key");
  });

  it("asks whether a note could be published now", async () => {
    const { changes } = diff;
    const body = { valid: true, against: 3, problems: [], changes };
    replies.set("POST /v1/notes/check", ok(body));
    const file = writeFile("note.yaml", "supersedes: 3\nreason: x\n");
    const { exitCode, output } = await run(`check ${file}`);
    expect(exitCode).toBe(0);
    expect(output).toContain("could be published on note 3");
    expect(received.map(({ call }) => call)).toEqual([
      "GET /v1/status",
      "POST /v1/notes/check",
    ]);
  });
});

describe("report burn", () => {
  it("goes on without an instance, and says so", async () => {
    replies.set("GET /v1/service-levels", ok(levels));
    const page = join(folder, "burn.html");
    const { exitCode, output } = await run("report burn", {
      urls: [url, deadUrl],
      flags: { html: page },
    });
    expect(exitCode).toBe(0);
    expect(output).toContain("not in the sums: DEAD");
    expect(output).toContain("not in the sums: entry-2");
    expect(readFileSync(page, "utf8")).toContain("Not in these sums");
  });
});
