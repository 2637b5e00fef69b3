import {
  createEngineClient,
  createEngineFleet,
  type EngineFleet,
} from "@rosemarypin/backends";
import { createFixedNote, serveVersions } from "@rosemarypin/fakes";
import { claimPorts } from "@rosemarypin/ports";
import { createRouter } from "@rosemarypin/routing";
import { type AnswerRequest, settingsSchema } from "@rosemarypin/schemas";
import {
  type EngineGroup,
  expectedAnswer,
  startEngineGroup,
} from "@rosemarypin/stand_ins";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it } from "vitest";
import { runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";
import {
  formatEventId,
  parseEventId,
  type ResumeDependencies,
  resumeAnswer,
} from "./answer_resume.ts";

const SPEED = {
  batchMs: 2,
  layerMicros: 10,
  promptFactor: 0.1,
  linkMs: 0.1,
  batchSize: 8,
};
const neverAborted = new AbortController().signal;

let group: EngineGroup;
let fleets: EngineFleet[];
let keeper: ReturnType<typeof createFixedNote>;

beforeEach(async () => {
  const ports = await claimPorts(2);
  fleets = [];
  keeper = createFixedNote(serve(1, ["v1"]));
  group = await startEngineGroup({
    model: "assist",
    versions: ["v1"],
    stages: [
      { layers: { from: 0, to: 4 }, count: 1, speed: SPEED },
      { layers: { from: 4, to: 8 }, count: 1, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
  });
});

afterEach(() => {
  for (const fleet of fleets) fleet.stop();
  group.stop();
});

function serve(number: number, versions: readonly string[]) {
  return serveVersions({ number, model: "assist", versions, layers: 8 });
}

async function startInstance(): Promise<ResumeDependencies> {
  const engines = createEngineClient();
  const fleet = createEngineFleet({ engines: group.engines, client: engines });
  fleets.push(fleet);
  const limits = settingsSchema.shape.limits.parse(undefined);
  await until(() => fleet.engines().every(({ usable }) => usable));
  return {
    keeper,
    router: createRouter({
      fleet,
      failureDomain: "domain-1",
      limits,
      objectives: settingsSchema.shape.objectives.parse(undefined),
      seed: 1,
    }),
    fleet,
    engines,
    parked: engines,
    recoveries: createRecoveryLimiter(),
  };
}

async function until(isTrue: () => boolean): Promise<void> {
  while (!isTrue()) await new Promise((resolve) => setTimeout(resolve, 5));
}

function request(): AnswerRequest {
  return {
    requestId: "answer-1",
    organisation: "kano",
    weight: 1,
    model: "assist",
    adapter: undefined,
    promptTokens: ["stock", "in", "mtwara"],
    maxTokens: 12,
    priority: "standard",
    deadlineAt: Date.now() + 60_000,
  };
}

/** Reads `count` events of the answer, then aborts it like a lost instance. */
async function disconnectAfter(
  count: number,
  instance: ResumeDependencies,
): Promise<AnswerEvent[]> {
  const callerAbort = new AbortController();
  const events: AnswerEvent[] = [];
  const answer = runAnswer(request(), {
    ...instance,
    signal: callerAbort.signal,
  });
  for await (const event of answer) {
    events.push(event);
    if (events.length === count) break;
  }
  callerAbort.abort();
  return events;
}

async function resumeAt(
  index: number,
  options: { readonly organisation?: string } = {},
) {
  const last = { requestId: "answer-1", engine: "engine-1-1", index };
  const instance = await startInstance();
  const { organisation = "kano" } = options;
  const { deadlineAt } = request();
  const result = await resumeAnswer(
    { last, organisation, weight: 1, deadlineAt },
    { ...instance, signal: neverAborted },
  );
  if (result.kind === "failed") return result.failure.code;
  const events: AnswerEvent[] = [];
  for await (const event of result.events) events.push(event);
  return events;
}

const expected = expectedAnswer({
  weights: { model: "assist", version: "v1" },
  layers: 8,
  promptTokens: request().promptTokens,
  maxTokens: 12,
});

function tokenTexts(events: readonly AnswerEvent[]): string[] {
  return events.flatMap((event) =>
    event.type === "token" ? [event.text] : [],
  );
}

describe("resume", () => {
  /**
   * The entry instance fails after four tokens. The caller reconnects to
   * another one with the id of the last event that it read. It must get the
   * remaining tokens, none lost or repeated, and the prompt must not be
   * recomputed.
   */
  it("continues on another instance after the last event", async () => {
    const before = await disconnectAfter(4, await startInstance());
    const after = await resumeAt(3);
    if (typeof after === "string") throw new Error(after);
    expect(tokenTexts([...before, ...after])).toEqual(expected.tokens);
    const last = after.at(-1);
    expect(last?.type === "done" && last.provenance.digest).toBe(
      expected.digest,
    );
    const prompts = group.journal.filter(({ position }) => position === 0);
    expect(prompts).toHaveLength(2);
  });

  /**
   * The engine had sent more tokens than the caller received before the
   * connection broke. The missing ones must be replayed from the stored answer.
   */
  it("replays tokens that the caller did not receive", async () => {
    await disconnectAfter(6, await startInstance());
    const after = await resumeAt(1);
    if (typeof after === "string") throw new Error(after);
    expect(tokenTexts(after)).toEqual(expected.tokens.slice(2));
  });

  /** The connection broke before the caller received the end of the answer. */
  it("replays the end of a completed answer", async () => {
    await disconnectAfter(expected.tokens.length, await startInstance());
    const after = await resumeAt(expected.tokens.length - 2);
    if (typeof after === "string") throw new Error(after);
    expect(tokenTexts(after)).toEqual(expected.tokens.slice(-1));
    expect(after.at(-1)?.type).toBe("done");
  });

  /**
   * Request ids appear in logs and mails. A caller of another organisation that
   * sends one must not get the answer nor learn that it exists.
   */
  it("reports an answer of another organisation as lost", async () => {
    await disconnectAfter(4, await startInstance());
    expect(await resumeAt(3, { organisation: "lagos" })).toBe("answer_lost");
  });

  /** The version is recalled before the caller reconnects. */
  it("refuses an answer whose version was withdrawn", async () => {
    await disconnectAfter(4, await startInstance());
    keeper.set(serve(2, ["v2"]));
    expect(await resumeAt(3)).toBe("withdrawn");
  });

  /**
   * The instance has lost contact with the store and its peers for longer than
   * it may serve. The engine still has the answer, but its version may have
   * been withdrawn since.
   */
  it("refuses answers without a valid release note", async () => {
    await disconnectAfter(4, await startInstance());
    keeper.fresh = async () => null;
    expect(await resumeAt(2)).toBe("no_release_note");
  });

  /** The engine of the first stage restarted and lost the stored answer. */
  it("reports an answer as lost after its engine restarted", async () => {
    await disconnectAfter(4, await startInstance());
    group.kill("engine-1-1");
    await group.restart("engine-1-1");
    expect(await resumeAt(3)).toBe("answer_lost");
  });

  /** The id names a token that the answer does not have yet. */
  it("refuses an event id ahead of the answer", async () => {
    await disconnectAfter(4, await startInstance());
    expect(await resumeAt(11)).toBe("bad_event_id");
  });
});

describe("running answer", () => {
  /**
   * A caller disconnects during an answer. All stages must stop working on it.
   */
  it("stops on all stages when the caller disconnects", async () => {
    await disconnectAfter(3, await startInstance());
    const observer = await startInstance();
    await until(() =>
      observer.fleet.engines().every(({ state }) => state?.load === 0),
    );
    const runs = group.journal.length;
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(group.journal.length).toBe(runs);
    expect(runs).toBeLessThan(2 * expected.tokens.length);
  });
});

describe("event id", () => {
  /** A formatted id must be parsed back to the same position. */
  it("is parsed back to what was formatted", () => {
    const name = fc.stringMatching(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/);
    const ids = fc.record({
      requestId: fc.uuid(),
      engine: name,
      index: fc.integer({ min: 0, max: 4_096 }),
    });
    const property = fc.property(ids, (id) => {
      expect(parseEventId(formatEventId(id))).toEqual(id);
    });
    fc.assert(property, { seed: 20_262 });
  });
});
