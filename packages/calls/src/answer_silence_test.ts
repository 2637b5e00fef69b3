import {
  type AttemptScript,
  createFixedNote,
  createScriptedEngines,
  scriptedAddress,
  scriptedState,
  serveVersions,
} from "@rosemarypin/fakes";
import type { EngineEvent, Stage } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { type AnswerDependencies, runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const PORTS = [11, 21] as const;
const SILENCE_MS = 1_000;
const TOKENS = 6;
/** Bounds the wait for engines that can't be had. */
const DEADLINE_MS = 4_000;

const STAGES: readonly Stage[] = PORTS.map((port, index) => {
  const layers = { from: index * 4, to: index * 4 + 4 };
  return { engine: `engine-${port}`, address: scriptedAddress(port), layers };
});

function pause(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}

/**
 * Grants the only pipeline so many times, and not while `isSilent`; others wait
 * until their deadline.
 */
function createRouter(
  grants: number,
  isSilent: () => boolean,
): AnswerDependencies["router"] {
  let granted = 0;
  return {
    async acquire({ request, signal }) {
      while (!signal?.aborted && Date.now() < request.deadlineAt) {
        if (granted < grants && !isSilent()) {
          granted += 1;
          const grant = { stages: STAGES, observeToken() {}, release() {} };
          return { kind: "granted", grant };
        }
        await pause(20);
      }
      return { kind: "refused", code: "no_capacity", retryAfterSeconds: 2 };
    },
    covers: () => true,
    stop() {},
  };
}

function createFleet(): AnswerDependencies["fleet"] {
  return {
    engines: () =>
      PORTS.map((port) => ({
        settings: {
          id: `engine-${port}`,
          failureDomain: "domain-1",
          address: scriptedAddress(port),
          accelerator: "scripted",
          checksFencing: true,
          roles: [{ model: "assist", layers: { from: 0, to: 4 } }],
        },
        state: scriptedState(port, 1),
        usable: true,
        inFlight: 0,
      })),
    observe() {},
    reportLost() {},
    occupy: () => () => {},
    stop() {},
  };
}

/** Runs an answer whose engines of `silentPorts` say nothing for a second. */
async function runBesideSilence(
  silentPorts: readonly number[],
  grants: number,
) {
  let silence: Promise<void> | null = null;
  const script: AttemptScript = ({ attempt, deliveredTokens }) => {
    async function* stream(): AsyncGenerator<EngineEvent> {
      for (let index = deliveredTokens.length; index < TOKENS; index += 1) {
        if (index === 2) silence ??= beSilent();
        await silence;
        await pause(20);
        const ends = index === TOKENS - 1 ? { ends: "length" as const } : {};
        const [text, digest] = [`w${index}`, `d${index}`];
        yield { type: "token", attempt, index, text, digest, ...ends };
      }
    }
    return { kind: "started", events: stream() };
  };
  const engines = createScriptedEngines([script, script, script, script]);

  async function beSilent(): Promise<void> {
    for (const port of silentPorts) engines.silent.add(port);
    await pause(SILENCE_MS);
    engines.silent.clear();
  }

  const events: AnswerEvent[] = [];
  const answer = runAnswer(
    {
      requestId: "answer-1",
      organisation: "kano",
      weight: 1,
      model: "assist",
      adapter: undefined,
      promptTokens: ["the", "belt", "slips"],
      maxTokens: TOKENS,
      priority: "interactive",
      deadlineAt: Date.now() + DEADLINE_MS,
    },
    {
      keeper: createFixedNote(
        serveVersions({
          number: 1,
          model: "assist",
          versions: ["v1"],
          layers: 8,
        }),
      ),
      router: createRouter(grants, () => engines.silent.size > 0),
      fleet: createFleet(),
      engines,
      recoveries: createRecoveryLimiter(),
      signal: new AbortController().signal,
    },
  );
  for await (const event of answer) events.push(event);
  const tokens = events.filter(({ type }) => type === "token").length;
  return { tokens, end: events.at(-1)?.type };
}

// Guards against answers that end because an engine that is sound says nothing
// for a second, and no engines can be had for another attempt: others are full,
// or its own one is leaving and takes no new work.
describe("an answer comes to its end although an engine is silent for a second", () => {
  it.each([
    ["the first engine, and it takes a new attempt", [11], 4],
    ["all engines, and they take a new attempt", [11, 21], 4],
    ["the stream alone, and nothing else can be had", [], 1],
    ["the first engine, and nothing else can be had", [11], 1],
    ["a later engine, and nothing else can be had", [21], 1],
    ["all engines, and nothing else can be had", [11, 21], 1],
  ])(
    "%s",
    async (_name, silentPorts, grants) => {
      const result = await runBesideSilence(silentPorts, grants);
      expect(result).toEqual({ tokens: TOKENS, end: "done" });
    },
    15_000,
  );
});
