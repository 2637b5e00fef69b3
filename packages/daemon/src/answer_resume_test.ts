import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import type { ParkedAnswerResult } from "@rosemarypin/backends";
import {
  createRecoveryLimiter,
  type ResumeDependencies,
} from "@rosemarypin/calls";
import {
  createFixedNote,
  createScriptedEngines,
  scriptedAddress,
  serveVersions,
} from "@rosemarypin/fakes";
import { request } from "undici";
import { afterEach, expect, test } from "vitest";
import { readResumePath, resume } from "./answer_resume.ts";
import { createRequestMemory } from "./request_memory.ts";

const ID = "0b7f3f7e-3a37-4d7a-9c3c-0d6b0a4c2f11";
const parked: ParkedAnswerResult = {
  kind: "found",
  answer: {
    request: {
      requestId: ID,
      organisation: "kano",
      attempt: 2,
      model: "assist",
      version: "v1",
      noteNumber: 1,
      stages: [],
      promptTokens: ["a"],
      deliveredTokens: [],
      maxTokens: 3,
      priority: "standard",
    },
    tokens: ["w0", "w1", "w2"],
    digest: "d2",
    ended: "length",
  },
};

let server: Server | undefined;
afterEach(() => {
  server?.closeAllConnections();
  server?.close();
});

async function ask(options: {
  readonly path: string;
  readonly lastEventId?: string;
  readonly organisation?: string;
}) {
  const { path, lastEventId, organisation: name = "kano" } = options;
  const engines = createScriptedEngines([]);
  const versions = ["v1"];
  const dependencies: ResumeDependencies = {
    keeper: createFixedNote(
      serveVersions({ number: 1, model: "assist", versions, layers: 8 }),
    ),
    router: {
      acquire: () => Promise.reject(new Error("no pipeline is needed")),
      covers: () => true,
      stop() {},
    },
    fleet: {
      engines: () => [
        {
          settings: {
            id: "engine-1",
            failureDomain: "domain-1",
            address: scriptedAddress(1),
            accelerator: "scripted",
            checksFencing: true,
            roles: [{ model: "assist", layers: { from: 0, to: 8 } }],
          },
          state: null,
          usable: true,
          inFlight: 0,
        },
      ],
      observe() {},
      reportLost() {},
      occupy: () => () => {},
      stop() {},
    },
    engines,
    parked: { readAnswer: async () => parked },
    recoveries: createRecoveryLimiter(),
  };
  const organisation = {
    name,
    keySha256: "",
    priority: "standard" as const,
    weight: 1,
  };
  server = createServer((incoming, response) => {
    const requestId = readResumePath(incoming);
    if (requestId === null) return response.writeHead(404).end();
    const exchange = {
      request: incoming,
      response,
      requestId,
      organisation,
      readerStallMs: 15_000,
    };
    const requests = createRequestMemory({ instance: "entry-1" });
    void resume(exchange, { ...dependencies, requests });
  });
  const listening = server;
  await new Promise<void>((resolve) => {
    listening.listen(0, "127.0.0.1", resolve);
  });
  const { port } = listening.address() as AddressInfo;
  const response = await request(`http://127.0.0.1:${port}${path}`, {
    headers: lastEventId === undefined ? {} : { "last-event-id": lastEventId },
  });
  return { status: response.statusCode, body: await response.body.text() };
}

/**
 * A clerk's connection breaks after the first token; the browser comes back
 * with the last id that it read. It gets the other two, and the end.
 */
test("the rest comes with ids to resume from again", async () => {
  const lastEventId = `${ID}@engine-1:0`;
  const { status, body } = await ask({
    path: `/v1/answers/${ID}`,
    lastEventId,
  });
  expect(status).toBe(200);
  const ids = body.split("\n").filter((line) => line.startsWith("id: "));
  expect(ids).toEqual([`id: ${ID}@engine-1:1`, `id: ${ID}@engine-1:2`]);
  expect(body).toContain('"digest":"d2"');
  expect(body).toContain("[DONE]");
});

/** What callers send by mistake, or by malice, gives a typed refusal. */
test.each([
  ["no id", undefined, "kano", 400, "bad_event_id"],
  ["not an id of ours", "17", "kano", 400, "bad_event_id"],
  ["an id of another answer", "other@engine-1:0", "kano", 400, "bad_event_id"],
  ["another organisation", `${ID}@engine-1:0`, "lagos", 502, "answer_lost"],
  ["an unknown engine", `${ID}@engine-9:0`, "kano", 502, "answer_lost"],
])("%s", async (_name, lastEventId, organisation, status, code) => {
  const path = `/v1/answers/${ID}`;
  const id = lastEventId === undefined ? {} : { lastEventId };
  const result = await ask({ path, organisation, ...id });
  expect(result.status).toBe(status);
  expect(result.body).toContain(code);
});
