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
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createLinkSpeeds } from "./answer_link_speeds.ts";
import { createTokenPace, defaultLiveness } from "./answer_liveness.ts";
import { createMigrator } from "./answer_migration.ts";
import { createProgress } from "./answer_progress.ts";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const SPEED = {
  batchMs: 2,
  layerMicros: 10,
  promptFactor: 0.1,
  linkMs: 0.1,
  batchSize: 8,
};
/** Long enough that a busy machine doesn't make a stage look lost. */
const LONG_TIMEOUTS = {
  startTimeoutMs: 10_000,
  firstTokenMs: 10_000,
  minSilenceMs: 10_000,
  maxSilenceMs: 10_000,
  probeMs: 10_000,
  lostMessageTimeoutMs: 10_000,
};
/** High enough that an import is always cheaper than recomputing. */
const PROMPT_MICROS = 1_000_000;
const LAYERS = 8;
const LEAVE_AT_TOKEN = 3;
const SLOW_MS = 20;

let group: EngineGroup;
let fleet: EngineFleet;
let doExportsFail: boolean;

async function startEngines(copies: number): Promise<void> {
  const ports = await claimPorts(2 * copies);
  group = await startEngineGroup({
    model: "assist",
    versions: ["v1"],
    stages: [
      { layers: { from: 0, to: 4 }, count: copies, speed: SPEED },
      { layers: { from: 4, to: 8 }, count: copies, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
    exportFault: async () => {
      if (doExportsFail) throw new Error("the export broke");
    },
  });
}

beforeEach(() => {
  doExportsFail = false;
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

/** A fleet whose engines report a high cost of recomputing prompts. */
function withExpensivePrompts(realFleet: EngineFleet): EngineFleet {
  const engines = () =>
    realFleet.engines().map((engine) => {
      const { state } = engine;
      if (!state) return engine;
      return { ...engine, state: { ...state, promptMicros: PROMPT_MICROS } };
    });
  return { ...realFleet, engines };
}

/** Runs an answer during which the engine of `stage` leaves or slows down. */
async function runAndMigrate(
  stage: number,
  options: { readonly minBenefitMs?: number; readonly linkMs?: number } = {},
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
    fleet: withExpensivePrompts(fleet),
    engines,
    liveness: LONG_TIMEOUTS,
    recoveries: createRecoveryLimiter(),
    linkSpeeds: createLinkSpeeds(),
    migrationLimits: {
      minBenefitMs: options.minBenefitMs ?? 0,
      slowLinkMs: SLOW_MS,
      checkIntervalMs: 1,
    },
    signal: new AbortController().signal,
  });
  for await (const event of answer) {
    events.push(event);
    if (event.type === "token" && event.index === LEAVE_AT_TOKEN) await leave();
  }
  return { ...summarize(events), leaving };

  async function leave(): Promise<void> {
    const from = stage * 4;
    const lastRun = group.journal.findLast((run) => run.from === from);
    leaving = lastRun?.engine ?? "";
    if (options.linkMs) return group.slowLink(leaving, options.linkMs);
    await group.leave(leaving);
    const leavingEngine = group.engines.find(({ id }) => id === leaving);
    const state =
      leavingEngine && (await engines.readState(leavingEngine.address));
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

/** Positions that an attempt ran on the layers from `from`, in order. */
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
   * An engine is drained while a long answer runs on it. The answer must
   * migrate with its KV cache, recompute no position and stay complete;
   * otherwise it would block the drain and be cut at the end of the grace
   * period.
   */
  it.each([0, 1])(
    "moves an answer off a leaving engine of stage %i",
    async (stage) => {
      await startEngines(2);
      const { leaving, ...answer } = await runAndMigrate(stage);
      expect(answer).toEqual(expected());
      const onLeaving = group.journal.filter(
        ({ engine }) => engine === leaving,
      );
      expect(new Set(onLeaving.map(({ attempt }) => attempt))).toEqual(
        new Set([1]),
      );
      const moved = group.journal.filter(({ imported }) => imported);
      expect(moved).toMatchObject([
        { attempt: 2, imported: { engine: leaving } },
      ]);
      const start = moved[0]?.position ?? 0;
      expect(start).toBeGreaterThan(LEAVE_AT_TOKEN);
      for (const from of [0, 4]) {
        const positions = positionsOf(2, from);
        expect(positions).toEqual(positions.map((_, index) => start + index));
      }
    },
  );

  /**
   * The cache transfer fails. The answer must not fail and must not retry the
   * same transfer: the next attempt recomputes.
   */
  it("recomputes when the cache transfer fails", async () => {
    await startEngines(2);
    doExportsFail = true;
    const { leaving, ...answer } = await runAndMigrate(1);
    expect(answer).toEqual(expected());
    expect(group.journal.filter(({ imported }) => imported)).toEqual([]);
    expect(positionsOf(3, 0)[0]).toBe(0);
    expect(group.journal.some(({ attempt }) => attempt > 3)).toBe(false);
    expect(leaving).not.toBe("");
  });

  /**
   * The only engine with some layers leaves. If the attempt ended before other
   * engines were acquired, the answer would fail, although the leaving engine
   * could still complete it.
   */
  it("keeps an answer in place if no other engine has its layers", async () => {
    await startEngines(1);
    const { leaving, ...answer } = await runAndMigrate(1);
    expect(answer).toEqual(expected());
    expect(new Set(group.journal.map(({ attempt }) => attempt))).toEqual(
      new Set([1]),
    );
    expect(leaving).not.toBe("");
  });

  it("keeps an answer in place that is about to end", async () => {
    await startEngines(2);
    const { digest } = await runAndMigrate(1, { minBenefitMs: 60_000 });
    expect(digest).toBe(expected().digest);
    expect(group.journal.every(({ attempt }) => attempt === 1)).toBe(true);
  });

  /**
   * The link of one engine degrades during an answer: each token takes 100 ms
   * longer, though all engines respond to probes. The answer must continue on
   * another engine and stay complete.
   */
  it("moves an answer off an engine with a slow link", async () => {
    await startEngines(2);
    const slowed = await runAndMigrate(1, { linkMs: 100 });
    const { leaving, ...answer } = slowed;
    expect(answer).toEqual(expected());
    const last = group.journal.findLast(({ from }) => from === 4);
    expect(last?.engine).not.toBe(leaving);
  });

  /**
   * Callers stop reading while their answers migrate. Each prepared migration
   * occupies one of eight recovery slots; without a time limit they would block
   * the recovery of all answers that lost a stage.
   */
  it("is released when the answer does not take it", async () => {
    await startEngines(1);
    const [first] = group.engines;
    if (!first) throw new Error("the group has no engine");
    const engines = createEngineClient();
    fleet = createEngineFleet({ engines: group.engines, client: engines });
    const state = await engines.readState(first.address);
    if (!state) throw new Error("the engine did not return its state");
    vi.useFakeTimers();
    const leaving = { ...state, leaving: true };
    const leavingEngine = {
      settings: first,
      usable: false,
      inFlight: 0,
      state: leaving,
    };
    const layers = { from: 0, to: 8 };
    const stage = { engine: first.id, address: first.address, layers };
    const released = vi.fn();
    const limiter = createRecoveryLimiter({ maxConcurrent: 1 });
    const progress = createProgress();
    progress.version =
      serveVersions({
        number: 1,
        model: "assist",
        versions: ["v1"],
        layers: LAYERS,
      }).catalogue.models.assist?.versions.v1 ?? null;
    const migrator = createMigrator({
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
      fleet: { engines: () => [leavingEngine] },
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
      migrationLimits: {
        minBenefitMs: 0,
        slowLinkMs: SLOW_MS,
        checkIntervalMs: 0,
      },
    });
    expect(migrator.takeMigration()).toBeNull();
    await vi.advanceTimersByTimeAsync(0);
    const next = limiter.acquireSlot(
      "interactive",
      new AbortController().signal,
    );
    await vi.advanceTimersByTimeAsync(1_000);
    expect(released).toHaveBeenCalledOnce();
    expect(await next).not.toBeNull();
  });
});
