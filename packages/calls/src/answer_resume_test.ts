import {
  createEngineClient,
  createEngineFleet,
  type EngineFleet,
} from "@rosemarypin/backends";
import { createFixedNote, serveVersions } from "@rosemarypin/fakes";
import { findFreePorts } from "@rosemarypin/launcher";
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
const never = new AbortController().signal;

let group: EngineGroup;
let fleets: EngineFleet[];
let keeper: ReturnType<typeof createFixedNote>;

beforeEach(async () => {
  const ports = await findFreePorts(2);
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

async function until(holds: () => boolean): Promise<void> {
  while (!holds()) await new Promise((resolve) => setTimeout(resolve, 5));
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

/** Reads the answer until its entry instance is gone. */
async function cutAfter(
  count: number,
  instance: ResumeDependencies,
): Promise<AnswerEvent[]> {
  const left = new AbortController();
  const events: AnswerEvent[] = [];
  const answer = runAnswer(request(), { ...instance, signal: left.signal });
  for await (const event of answer) {
    events.push(event);
    if (events.length === count) break;
  }
  left.abort();
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
    { ...instance, signal: never },
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

function texts(events: readonly AnswerEvent[]): string[] {
  return events.flatMap((event) =>
    event.type === "token" ? [event.text] : [],
  );
}

describe("resume", () => {
  /**
   * The entry instance dies after four tokens. The clerk's program reconnects
   * to another one and names the last event that it read: the rest must come,
   * no token lost or doubled, and the prompt must not be computed again.
   */
  it("another instance goes on after the last event", async () => {
    const before = await cutAfter(4, await startInstance());
    const after = await resumeAt(3);
    if (typeof after === "string") throw new Error(after);
    expect(texts([...before, ...after])).toEqual(expected.tokens);
    const last = after.at(-1);
    expect(last?.type === "done" && last.provenance.digest).toBe(
      expected.digest,
    );
    const prompts = group.journal.filter(({ position }) => position === 0);
    expect(prompts).toHaveLength(2);
  });

  /**
   * The engine had sent more tokens than the clerk's program got before the
   * connection broke; those in between must be sent again from what is kept.
   */
  it("tokens that got lost on the way are sent again", async () => {
    await cutAfter(6, await startInstance());
    const after = await resumeAt(1);
    if (typeof after === "string") throw new Error(after);
    expect(texts(after)).toEqual(expected.tokens.slice(2));
  });

  /** The last event was lost with its connection, after the answer's end. */
  it("an answer that ended is still there for a while", async () => {
    await cutAfter(expected.tokens.length, await startInstance());
    const after = await resumeAt(expected.tokens.length - 2);
    if (typeof after === "string") throw new Error(after);
    expect(texts(after)).toEqual(expected.tokens.slice(-1));
    expect(after.at(-1)?.type).toBe("done");
  });

  /**
   * Ids of requests turn up in logs and mails. Someone of another organisation
   * who sends one must not get the answer, nor learn that there is one.
   */
  it("another organisation gets nothing", async () => {
    await cutAfter(4, await startInstance());
    expect(await resumeAt(3, { organisation: "lagos" })).toBe("answer_lost");
  });

  /** The version is recalled between the cut and the caller's return. */
  it("the rest of a withdrawn answer is not given", async () => {
    await cutAfter(4, await startInstance());
    keeper.set(serve(2, ["v2"]));
    expect(await resumeAt(3)).toBe("withdrawn");
  });

  /**
   * The instance has lost store and peers for longer than it may serve. The
   * engine still has the answer, whose version may be withdrawn by now.
   */
  it("nothing is given by an instance whose note does not hold", async () => {
    await cutAfter(4, await startInstance());
    keeper.fresh = async () => null;
    expect(await resumeAt(2)).toBe("no_release_note");
  });

  /** The first engine was restarted, and the answer is gone with its memory. */
  it("an answer that is gone gets a clear end at once", async () => {
    await cutAfter(4, await startInstance());
    group.kill("engine-1-1");
    await group.restart("engine-1-1");
    expect(await resumeAt(3)).toBe("answer_lost");
  });

  /** A caller's program counts wrong. */
  it("an event id ahead of the answer is refused", async () => {
    await cutAfter(4, await startInstance());
    expect(await resumeAt(11)).toBe("bad_event_id");
  });
});

describe("running answer", () => {
  /**
   * A mechanic closes the page in the middle of an answer. From then on no
   * stage may spend time on it.
   */
  it("no stage works for a caller that left", async () => {
    await cutAfter(3, await startInstance());
    const watching = await startInstance();
    await until(() =>
      watching.fleet.engines().every(({ state }) => state?.load === 0),
    );
    const runs = group.journal.length;
    await new Promise((resolve) => setTimeout(resolve, 200));
    expect(group.journal.length).toBe(runs);
    expect(runs).toBeLessThan(2 * expected.tokens.length);
  });
});

describe("event id", () => {
  /** What is sent as an id must be read back as the same place. */
  it("event ids survive the way to the caller and back", () => {
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
