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
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createLinkSpeeds } from "./answer_link_speeds.ts";
import { createTokenPace, defaultLiveness } from "./answer_liveness.ts";
import { createMover } from "./answer_migration.ts";
import { emptyProgress } from "./answer_progress.ts";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const SPEED = {
  batchMs: 2,
  layerMicros: 10,
  promptFactor: 0.1,
  linkMs: 0.1,
  batchSize: 8,
};
/** A busy machine must not look like a lost stage. */
const PATIENT = {
  startMs: 10_000,
  firstTokenMs: 10_000,
  shortestSilenceMs: 10_000,
  longestSilenceMs: 10_000,
  probeMs: 10_000,
  lostMessageMs: 10_000,
};
/** So dear that an import is the cheaper way, however busy the machine is. */
const PROMPT_MICROS = 1_000_000;
const LAYERS = 8;
const LEAVE_AT = 3;
const SLOW_MS = 20;

let group: EngineGroup;
let fleet: EngineFleet;
let exportBreaks: boolean;

async function startEngines(copies: number): Promise<void> {
  const ports = await findFreePorts(2 * copies);
  group = await startEngineGroup({
    model: "assist",
    versions: ["v1"],
    stages: [
      { layers: { from: 0, to: 4 }, count: copies, speed: SPEED },
      { layers: { from: 4, to: 8 }, count: copies, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
    exportFault: async () => {
      if (exportBreaks) throw new Error("the export broke");
    },
  });
}

beforeEach(() => {
  exportBreaks = false;
});

afterEach(() => {
  vi.useRealTimers();
  fleet?.stop();
  group?.stop();
});

function request(): AnswerRequest {
  return {
    requestId: "answer-1",
    organisation: "kano",
    weight: 1,
    model: "assist",
    adapter: undefined,
    promptTokens: ["plan", "for", "tanga"],
    maxTokens: 40,
    priority: "standard",
    deadlineAt: Date.now() + 60_000,
  };
}

/** A fleet whose engines say that prompts are dear. */
function withDearPrompts(real: EngineFleet): EngineFleet {
  const engines = () =>
    real.engines().map((known) => {
      const { state } = known;
      if (!state) return known;
      return { ...known, state: { ...state, promptMicros: PROMPT_MICROS } };
    });
  return { ...real, engines };
}

/** Runs an answer; the engine of `stage` leaves, or slows down, in it. */
async function runWhileLeaving(
  stage: number,
  options: { readonly restMs?: number; readonly linkMs?: number } = {},
) {
  const engines = createEngineClient();
  fleet = createEngineFleet({ engines: group.engines, client: engines });
  while (!fleet.engines().every(({ usable }) => usable)) await sleep(5);
  const events: AnswerEvent[] = [];
  let leaving = "";
  const answer = runAnswer(request(), {
    keeper: createFixedNote(
      serveVersions({
        number: 1,
        model: "assist",
        versions: ["v1"],
        layers: LAYERS,
      }),
    ),
    router: createRouter({
      fleet,
      failureDomain: "domain-1",
      limits: settingsSchema.shape.limits.parse(undefined),
      objectives: settingsSchema.shape.objectives.parse(undefined),
      seed: 1,
    }),
    fleet: withDearPrompts(fleet),
    engines,
    liveness: PATIENT,
    recoveries: createRecoveryLimiter(),
    links: createLinkSpeeds(),
    moves: { restMs: options.restMs ?? 0, slowMs: SLOW_MS, lookMs: 1 },
    signal: new AbortController().signal,
  });
  for await (const event of answer) {
    events.push(event);
    if (event.type === "token" && event.index === LEAVE_AT) await leave();
  }
  return { ...summarize(events), leaving };

  async function leave(): Promise<void> {
    const from = stage * 4;
    const run = group.journal.findLast((one) => one.from === from);
    leaving = run?.engine ?? "";
    if (options.linkMs) return group.slowLink(leaving, options.linkMs);
    await group.leave(leaving);
    const known = group.engines.find(({ id }) => id === leaving);
    const state = known && (await engines.readState(known.address));
    if (state) fleet.observe(state);
  }
}

function summarize(events: readonly AnswerEvent[]) {
  const last = events.at(-1);
  const tokens = events.flatMap((event) =>
    event.type === "token" ? [event.text] : [],
  );
  const digest = last?.type === "done" ? last.provenance.digest : last;
  return { tokens, digest };
}

function expected() {
  const { promptTokens, maxTokens } = request();
  const { tokens, digest } = expectedAnswer({
    weights: { model: "assist", version: "v1" },
    layers: LAYERS,
    promptTokens,
    maxTokens,
  });
  return { tokens, digest };
}

/** Positions that each attempt ran on layers of `from`, in order. */
function positionsOf(attempt: number, from: number): number[] {
  return group.journal
    .filter((run) => run.attempt === attempt && run.from === from)
    .flatMap(({ position, count }) =>
      Array.from({ length: count }, (_, offset) => position + offset),
    );
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

describe("migration", () => {
  /**
   * A planner's long draft runs on an engine that is to be replaced. Left there,
   * it holds the engine up until its grace ends and is cut then. So it moves on,
   * with its KV cache: no position runs again, and the planner sees one answer.
   */
  it.each([0, 1])("moves off a leaving engine of stage %i", async (stage) => {
    await startEngines(2);
    const { leaving, ...answer } = await runWhileLeaving(stage);
    expect(answer).toEqual(expected());
    const onLeaving = group.journal.filter(({ engine }) => engine === leaving);
    expect(new Set(onLeaving.map(({ attempt }) => attempt))).toEqual(
      new Set([1]),
    );
    const moved = group.journal.filter(({ imported }) => imported);
    expect(moved).toMatchObject([
      { attempt: 2, imported: { engine: leaving } },
    ]);
    const start = moved[0]?.position ?? 0;
    expect(start).toBeGreaterThan(LEAVE_AT);
    for (const from of [0, 4]) {
      const positions = positionsOf(2, from);
      expect(positions).toEqual(positions.map((_, index) => start + index));
    }
  });

  /**
   * The transfer breaks. The answer must neither be cut nor try the same again:
   * the next attempt recomputes.
   */
  it("recomputes when the transfer breaks", async () => {
    await startEngines(2);
    exportBreaks = true;
    const { leaving, ...answer } = await runWhileLeaving(1);
    expect(answer).toEqual(expected());
    expect(group.journal.filter(({ imported }) => imported)).toEqual([]);
    expect(positionsOf(3, 0)[0]).toBe(0);
    expect(group.journal.some(({ attempt }) => attempt > 3)).toBe(false);
    expect(leaving).not.toBe("");
  });

  /**
   * The only engine with its layers leaves. Given up before others are held, the
   * answer would be cut, though the engine would have served it to its end.
   */
  it("stays when no other engine has the layers", async () => {
    await startEngines(1);
    const { leaving, ...answer } = await runWhileLeaving(1);
    expect(answer).toEqual(expected());
    expect(new Set(group.journal.map(({ attempt }) => attempt))).toEqual(
      new Set([1]),
    );
    expect(leaving).not.toBe("");
  });

  it("stays when the answer is about to end", async () => {
    await startEngines(2);
    const { digest } = await runWhileLeaving(1, { restMs: 60_000 });
    expect(digest).toBe(expected().digest);
    expect(group.journal.every(({ attempt }) => attempt === 1)).toBe(true);
  });

  /**
   * The link of one engine degrades in the middle of an answer: each token comes
   * 100 ms later, though every engine answers its probes. The answer goes on
   * over another engine, whole.
   */
  it("moves off an engine whose link is slow", async () => {
    await startEngines(2);
    const slowed = await runWhileLeaving(1, { linkMs: 100 });
    const { leaving, ...answer } = slowed;
    expect(answer).toEqual(expected());
    const last = group.journal.findLast(({ from }) => from === 4);
    expect(last?.engine).not.toBe(leaving);
  });

  /**
   * Callers stop to read while their answers move off an engine. Each held move
   * has one of eight turns: kept, they would hold up every answer that has lost a
   * stage, for as long as those callers like.
   */
  it("a move that is not taken is given back", async () => {
    await startEngines(1);
    const [first] = group.engines;
    if (!first) throw new Error("there is an engine");
    const engines = createEngineClient();
    fleet = createEngineFleet({ engines: group.engines, client: engines });
    const state = await engines.readState(first.address);
    if (!state) throw new Error("the engine answers");
    vi.useFakeTimers();
    const leaving = { ...state, leaving: true };
    const known = {
      settings: first,
      usable: false,
      inFlight: 0,
      state: leaving,
    };
    const layers = { from: 0, to: 8 };
    const stage = { engine: first.id, address: first.address, layers };
    const released = vi.fn();
    const limiter = createRecoveryLimiter({ atOnce: 1 });
    const progress = emptyProgress();
    progress.version =
      serveVersions({
        number: 1,
        model: "assist",
        versions: ["v1"],
        layers: LAYERS,
      }).catalogue.models.assist?.versions.v1 ?? null;
    const mover = createMover({
      request: request(),
      attempt: {
        ...request(),
        promptTokens: [],
        attempt: 1,
        version: "v1",
        noteNumber: 1,
        stages: [stage],
        deliveredTokens: [],
      },
      progress,
      fleet: { engines: () => [known] },
      router: {
        async acquire() {
          const grant = {
            stages: [stage],
            observeToken() {},
            release: released,
          };
          return { kind: "granted", grant };
        },
      },
      recoveries: limiter,
      pace: createTokenPace(defaultLiveness),
      moves: { restMs: 0, slowMs: SLOW_MS, lookMs: 0 },
    });
    expect(mover.ready()).toBeNull();
    await vi.advanceTimersByTimeAsync(0);
    const next = limiter.takeTurn("interactive", new AbortController().signal);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(released).toHaveBeenCalledOnce();
    expect(await next).not.toBeNull();
  });
});
