import { execFile } from "node:child_process";
import { once } from "node:events";
import { request, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import { fileURLToPath } from "node:url";
import { promisify } from "node:util";
import { createReturningCallers } from "@rosemarypin/admission";
import { createCallerMemories } from "@rosemarypin/connections";
import { pause } from "@rosemarypin/timing";
import { afterEach, expect, it } from "vitest";
import {
  type CallerListener,
  createCallerListener,
  createRetrySchedules,
} from "./callers/mod.ts";
import type { Configuration } from "./configuration.ts";
import { createConfigurationKeeper } from "./following/mod.ts";
import type { RequestCodec } from "./protocol.ts";
import { createUnexpectedErrors } from "./unexpected_errors.ts";

let listener: CallerListener | undefined;
afterEach(() => {
  listener?.server.closeAllConnections();
  listener?.server.close();
});

const configuration: Configuration = {
  version: 1,
  routes: [
    {
      name: "r",
      host: "127.0.0.1",
      pathPrefix: "/",
      kind: "non_idempotent",
      resumable: false,
      shares: [{ service: "s", weight: 1 }],
      timeoutMs: 2_000,
      objectiveMs: 500,
      pauseObjectiveMs: 0,
      maxAttempts: 1,
      priority: 0,
      isPublic: true,
    },
  ],
  services: new Map([["s", { name: "s", engine: null }]]),
  limits: {
    headerBytes: 4_096,
    bodyBytes: 4_096,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 3_000,
  },
  organisations: null,
};

const codec = {
  decodeRequest: () => ({ requestId: "1", deadlineMs: 2_000, key: null }),
  encodeRefusal: () => ({}),
} as unknown as RequestCodec;

/** Calls an instance whose parts fail with an error that nothing expects. */
async function callFailing(parts: {
  readonly forward?: (response: ServerResponse) => unknown;
  readonly warmUp?: () => Promise<void>;
}) {
  const keeper = createConfigurationKeeper();
  keeper.offer(configuration);
  const unexpectedErrors = createUnexpectedErrors();
  const ends: unknown[] = [];
  listener = createCallerListener({
    codec,
    retrySchedules: createRetrySchedules(),
    keeper,
    returningCallers: createReturningCallers(),
    async forward({ response }) {
      await parts.forward?.(response);
      throw new Error("unexpected");
    },
    warmUp: parts.warmUp ?? (async () => {}),
    stoppingForMs: () => null,
    hasOtherInstances: () => false,
    isIsolated: () => false,
    unexpectedErrors,
    memories: createCallerMemories({ bodyBudgetBytes: 1e6 }),
    maxConnections: 100,
    onEnded: (_call, end) => ends.push(end),
    onRefused: () => {},
    onClosed: () => {},
  });
  listener.server.listen(0, "127.0.0.1");
  await once(listener.server, "listening");
  const { port } = listener.server.address() as AddressInfo;
  const answer = await new Promise((resolve) => {
    const sent = request({ port, host: "127.0.0.1", agent: false }, (from) => {
      from.resume();
      from.on("error", () => {});
      from.once("close", () =>
        resolve({ status: from.statusCode, isWhole: from.complete }),
      );
    });
    sent.on("error", () => resolve("closed"));
    sent.end();
  });
  const inProgress = listener.inProgress();
  return { answer, ends, inProgress, errors: unexpectedErrors.total() };
}

// Guards against a closed connection, or an answer that looks complete, where
// the instance itself has failed.
it("a call that may have run gets an answer that promises nothing", async () => {
  expect(await callFailing({})).toMatchObject({
    answer: { status: 502, isWhole: true },
    ends: [{ status: 502, outcome: "unknown", reason: "internal_error" }],
    inProgress: 0,
    errors: 1,
  });
});

it("an answer that has begun is broken off", async () => {
  const forward = async (response: ServerResponse) => {
    response.writeHead(200);
    response.write("begun");
    await pause(50);
  };
  expect(await callFailing({ forward })).toMatchObject({
    answer: { status: 200, isWhole: false },
    ends: [{ outcome: "cut" }],
    errors: 1,
  });
});

it("an answer that has ended stays as it is", async () => {
  const forward = (response: ServerResponse) => response.end("whole");
  expect(await callFailing({ forward })).toMatchObject({
    answer: { status: 200, isWhole: true },
    errors: 1,
  });
});

it("a request that was not forwarded is refused as not run", async () => {
  const warmUp = () => Promise.reject(new Error("unexpected"));
  expect(await callFailing({ warmUp })).toMatchObject({
    answer: { status: 503, isWhole: true },
    ends: [],
    inProgress: 0,
    errors: 1,
  });
});

// Guards against instances that end, all at once if they have received the same
// input, for an error in a timer's callback or a forgotten promise.
it("an error that nothing catches is logged in one line, and the process goes on", async () => {
  const modules = fileURLToPath(new URL("../dist/mod.js", import.meta.url));
  const program = `
    const { createUnexpectedErrors, surviveUnexpectedErrors } =
      await import(process.argv[1]);
    const errors = createUnexpectedErrors();
    surviveUnexpectedErrors(errors);
    setTimeout(() => { throw new Error("in a timer"); }, 1);
    void Promise.reject(new Error("in a promise"));
    void Promise.reject(Object.create(null));
    setTimeout(() => console.log(errors.total()), 100);`;
  const { stdout, stderr } = await promisify(execFile)(
    process.execPath,
    ["--input-type=module", "--eval", program, modules],
    { env: { ...process.env, DEBUG: "rosemarypin:*" } },
  );
  expect(stdout).toBe("3\n");
  const lines = stderr.trim().split("\n");
  expect(lines).toHaveLength(3);
  expect(stderr).toMatch(/origin=exception reason="Error: in a timer\\n/);
  expect(stderr).toMatch(/origin=rejection reason="Error: in a promise\\n/);
});
