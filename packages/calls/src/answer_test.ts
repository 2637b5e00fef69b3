import type { AttemptStart, EngineFleet } from "@rosemarypin/backends";
import {
  type AttemptScript,
  createFixedNote,
  createScriptedEngines,
  giveEvents,
  type ScriptedEngines,
  scriptedAddress,
  scriptedState,
  serveVersions,
} from "@rosemarypin/fakes";
import type {
  AnswerRequest,
  EngineEvent,
  LostCause,
  Stage,
} from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { type AnswerDependencies, runAnswer } from "./answer.ts";
import type { AnswerEvent } from "./answer_event.ts";
import { createRecoveryLimiter } from "./answer_recovery_limiter.ts";

const STAGE_PORTS = [
  [11, 12],
  [21, 22],
] as const;
const QUICK = {
  startMs: 30,
  firstTokenMs: 20,
  shortestSilenceMs: 20,
  longestSilenceMs: 20,
  probeMs: 20,
  lostMessageMs: 60,
};

function note(number: number, versions: readonly string[]) {
  return serveVersions({ number, model: "assist", versions, layers: 8 });
}

function request(maxTokens = 3): AnswerRequest {
  return {
    requestId: "answer-1",
    organisation: "kano",
    weight: 1,
    model: "assist",
    adapter: undefined,
    promptTokens: ["the", "belt", "slips"],
    maxTokens,
    priority: "interactive",
    deadlineAt: Date.now() + 60_000,
  };
}

function token(attempt: number, index: number, isLast = false): EngineEvent {
  return {
    type: "token",
    attempt,
    index,
    text: `w${index}`,
    digest: `d${index}`,
    ...(isLast ? { ends: "length" as const } : {}),
  };
}

function lost(attempt: number, stage: number, cause: LostCause): EngineEvent {
  return { type: "stage_lost", attempt, stage, cause, reason: cause };
}

function cancelled(attempt: number, takenOver: boolean): EngineEvent {
  return { type: "cancelled", attempt, takenOver, reason: "test" };
}

/** Grants the first engine of each stage that is not avoided. */
function createPickingRouter(
  preferred: string[][],
  observeToken: () => void,
): AnswerDependencies["router"] {
  return {
    async acquire(need) {
      const { avoid, prefer, isRecovery } = need;
      preferred.push([...(prefer ?? [])]);
      // Like the real router, it waits for a recovery's engines.
      while (
        isRecovery &&
        [11, 12].every((port) => avoid.has(`engine-${port}`))
      )
        await new Promise((resolve) => setTimeout(resolve, 5));
      const stages = STAGE_PORTS.map((ports, index): Stage | undefined => {
        const free = ports.filter((port) => !avoid.has(`engine-${port}`));
        const port =
          free.find((one) => prefer?.has(`engine-${one}`)) ?? free[0];
        if (port === undefined) return undefined;
        const address = scriptedAddress(port);
        const layers = { from: index * 4, to: index * 4 + 4 };
        return { engine: `engine-${port}`, address, layers };
      });
      const whole = stages.filter((stage) => stage !== undefined);
      if (whole.length < STAGE_PORTS.length) {
        const code = "no_capacity";
        return { kind: "refused", code, retryAfterSeconds: 2 };
      }
      const grant = { stages: whole, observeToken, release() {} };
      return { kind: "granted", grant };
    },
    covers: () => true,
    stop() {},
  };
}

function createStillFleet(engines: ScriptedEngines): EngineFleet {
  return {
    engines: () =>
      STAGE_PORTS.flat().map((port) => ({
        settings: {
          id: `engine-${port}`,
          failureDomain: "domain-1",
          address: scriptedAddress(port),
          accelerator: "scripted",
          checksFencing: true,
          roles: [{ model: "assist", layers: { from: 0, to: 4 } }],
        },
        state: scriptedState(port, engines.incarnations.get(port) ?? 1),
        usable: true,
        inFlight: 0,
      })),
    observe() {},
    reportLost() {},
    occupy: () => () => {},
    stop() {},
  };
}

async function run(
  scripts: readonly AttemptScript[],
  options: {
    readonly maxTokens?: number;
    readonly prepare?: (engines: ScriptedEngines) => void;
    readonly keeper?: AnswerDependencies["keeper"];
    /** Called with each event before the next one is asked for. */
    readonly onEvent?: (event: AnswerEvent) => void;
  } = {},
) {
  const engines = createScriptedEngines(scripts);
  options.prepare?.(engines);
  const events: AnswerEvent[] = [];
  const preferred: string[][] = [];
  let observed = 0;
  const answer = runAnswer(request(options.maxTokens), {
    keeper: options.keeper ?? createFixedNote(note(1, ["v1"])),
    router: createPickingRouter(preferred, () => {
      observed += 1;
    }),
    fleet: createStillFleet(engines),
    engines,
    recoveries: createRecoveryLimiter(),
    liveness: QUICK,
    signal: new AbortController().signal,
  });
  for await (const event of answer) {
    events.push(event);
    options.onEvent?.(event);
  }
  const tokens = events.flatMap((event) =>
    event.type === "token" ? [event.text] : [],
  );
  const last = events.at(-1);
  const end =
    last?.type === "failed"
      ? `${last.failure.outcome}/${last.failure.code}`
      : last?.type;
  const { attempts } = engines;
  return { tokens: tokens.join(" "), end, attempts, preferred, observed };
}

const refused = (): AttemptStart => ({ kind: "refused", reason: "leaving" });
const notSent = (): AttemptStart => ({
  kind: "not_sent",
  detail: "refused",
  refused: true,
});
const broken = (): AttemptStart => ({ kind: "broken", detail: "reset" });
const whole: AttemptScript = ({ attempt, deliveredTokens }) =>
  giveEvents(
    [0, 1, 2]
      .slice(deliveredTokens.length)
      .map((index) => token(attempt, index, index === 2)),
  );

describe("answer", () => {
  /**
   * Under load, tokens come more slowly than the objective allows, yet the
   * router goes on admitting: each token was told to it twice, the second time
   * with no gap since the first, so that it saw half the true mean gap.
   */
  it("the router hears of each token once", async () => {
    const repeated: AttemptScript = ({ attempt }) =>
      giveEvents([0, 0, 1, 1, 2].map((at) => token(attempt, at, at === 2)));
    expect(await run([repeated])).toMatchObject({ end: "done", observed: 3 });
  });

  /**
   * A mechanic is told "not run", asks again elsewhere, and a first engine has
   * been at work on the question all along. `not_run` may be said only when
   * every engine that was asked refused it, or never got a byte of it.
   */
  describe("not_run is said only when nothing can have run", () => {
    const frozen: AttemptScript = (_attempt, signal) =>
      new Promise((resolve) => {
        signal.addEventListener("abort", () => resolve(broken()));
      });
    const rows: [string, AttemptScript[], string][] = [
      ["both refuse", [refused, refused], "not_run/no_capacity"],
      ["no connection", [notSent, notSent], "not_run/no_capacity"],
      [
        "refused, then no connection",
        [refused, notSent],
        "not_run/no_capacity",
      ],
    ];
    it.each(rows)("%s: %3$s", async (_name, scripts, end) => {
      expect((await run(scripts)).end).toBe(end);
    });

    const started: [string, AttemptScript][] = [
      ["reset after the request went out", broken],
      ["frozen at the start", frozen],
      ["stream breaks at once", () => giveEvents([])],
    ];
    it.each(started)("%s: failed, not not_run", async (_name, first) => {
      const later = Array.from({ length: 9 }, () => broken);
      const { end } = await run([first, ...later]);
      expect(end).toBe("failed/attempts_used_up");
    });
  });

  /**
   * A stage dies, or says something strange, in the middle of an answer. The
   * mechanic must see three tokens, each once, in order, and then the end;
   * each row is one way in which that went wrong or could.
   */
  describe("a caller gets the whole answer, once", () => {
    const rows: [string, AttemptScript[], number][] = [
      [
        "a later stage is lost",
        [() => giveEvents([token(1, 0), lost(1, 1, "unreachable")]), whole],
        2,
      ],
      [
        "tokens come twice and out of order",
        [
          () =>
            giveEvents([
              token(1, 1),
              token(1, 1),
              token(1, 0),
              token(1, 2, true),
            ]),
        ],
        1,
      ],
      [
        "an older attempt speaks late",
        [
          () => giveEvents([token(1, 0), lost(1, 0, "unreachable")]),
          () =>
            giveEvents([
              cancelled(1, false),
              token(1, 1),
              token(2, 1),
              token(2, 2, true),
            ]),
        ],
        2,
      ],
      [
        "the stream breaks after the last token, before `done`",
        [
          () => giveEvents([token(1, 0), token(1, 1), token(1, 2, true)]),
          whole,
        ],
        1,
      ],
      [
        "a token is lost and the stream goes silent",
        [
          () => giveEvents([token(1, 0), token(1, 2, true)], { hang: true }),
          whole,
        ],
        2,
      ],
      ["the stream breaks", [() => giveEvents([token(1, 0)]), whole], 2],
    ];
    it.each(rows)("%s", async (_name, scripts, attempts) => {
      const result = await run(scripts);
      expect(result.tokens).toBe("w0 w1 w2");
      expect(result.end).toBe("done");
      expect(result.attempts).toHaveLength(attempts);
    });
  });

  /**
   * One of two stages dies. Built up again on both, the answer would hold up
   * the bay floor for twice as long as it must; the survivor still has its KV
   * cache, so the next attempt counts on it and on nothing else.
   */
  it("only the lost stage is replaced, and survivors keep their cache", async () => {
    const { attempts, preferred } = await run([
      () => giveEvents([token(1, 0), lost(1, 0, "unreachable")]),
      whole,
    ]);
    expect(preferred[1]).toEqual(["engine-21"]);
    const stages = attempts[1]?.stages;
    expect(stages).toMatchObject([
      { engine: "engine-12", incarnation: 1 },
      { engine: "engine-21", incarnation: 1, keptPositions: 3 },
    ]);
    expect(stages?.[0]?.keptPositions).toBeUndefined();
  });

  /**
   * The engine of the first stage dies and its stream breaks. Asked again at
   * once, it would cost the answer one attempt after the other.
   */
  it("an engine whose stream broke is not asked again", async () => {
    const first: AttemptScript = () => giveEvents([token(1, 0)]);
    const { attempts } = await run([first, whole]);
    expect(attempts[1]?.stages[0]?.engine).toBe("engine-12");
  });

  /**
   * A stage is restarted at the same address. It answers every probe, but its
   * memory is empty: the answer would wait for a token that nobody computes.
   * The incarnation in its state tells the two apart.
   */
  it("a stage that was restarted is lost, though it answers", async () => {
    const scripts: AttemptScript[] = [
      () => giveEvents([token(1, 0)], { hang: true }),
      whole,
    ];
    let reads = 0;
    const { attempts, end } = await run(scripts, {
      prepare: (engines) => {
        const { readState } = engines;
        engines.readState = async (address) => {
          reads += 1;
          if (address.port === 21) engines.incarnations.set(21, 2);
          return readState(address);
        };
      },
    });
    expect(reads).toBe(2);
    expect(end).toBe("done");
    expect(attempts[1]?.stages[1]?.engine).toBe("engine-22");
  });

  /**
   * Both engines of the first stage fail an answer, and one is restarted. The
   * router waits for engines that did not fail it, and there are none: the
   * mechanic would wait until the deadline beside an idle engine.
   */
  it("an engine that failed an answer may serve it again later", async () => {
    const { end, attempts } = await run([broken, broken, whole]);
    expect(end).toBe("done");
    expect(attempts[2]?.stages[0]?.engine).toBe("engine-11");
  });

  /**
   * An engine answers, but has dropped the cache that an attempt counts on.
   * It is healthy: given up, it would be one engine less in a bad moment.
   */
  it("an engine without the cache is used again, from the start", async () => {
    const { attempts, end } = await run([
      () => giveEvents([token(1, 0), lost(1, 0, "unreachable")]),
      () => giveEvents([lost(2, 1, "no_cache")]),
      whole,
    ]);
    expect(end).toBe("done");
    expect(attempts[2]?.stages[1]?.engine).toBe("engine-21");
    expect(attempts[2]?.stages[1]?.keptPositions).toBeUndefined();
  });

  /**
   * A caller reconnects through another instance while this one still reads
   * the old stream. Starting again here would end the other's attempt, which
   * would start again in turn: the two would fight until both give up.
   */
  it.each([
    ["told on the stream", () => giveEvents([token(1, 0), cancelled(1, true)])],
    [
      "told at the start",
      (): AttemptStart => ({ kind: "refused", reason: "", takenOver: true }),
    ],
  ])("an answer that was taken over is let go: %s", async (_name, script) => {
    const { end, attempts } = await run([script, whole]);
    expect(end).toBe("failed/taken_over");
    expect(attempts).toHaveLength(1);
  });

  /**
   * A batch is recalled while an answer waits for its first token, or in the
   * middle of it. The first is run again whole on an allowed version; the
   * second is cut, as versions never mix.
   */
  describe("a version is withdrawn", () => {
    it.each([
      [0, "done", ["v1", "v2"]],
      [1, "withdrawn/withdrawn", ["v1"]],
    ])("after %i tokens: %s", async (delivered, end, versions) => {
      const keeper = createFixedNote(note(1, ["v1"]));
      let wasCut = false;
      const first: AttemptScript = (_attempt, signal) => {
        async function* stream(): AsyncGenerator<EngineEvent> {
          if (delivered > 0) yield token(1, 0);
          keeper.set(note(2, ["v2"]));
          wasCut = signal.aborted;
        }
        return { kind: "started", events: stream() };
      };
      const result = await run([first, whole], { keeper });
      expect(wasCut).toBe(true);
      expect(result.end).toBe(end);
      expect(result.attempts.map(({ version }) => version)).toEqual(versions);
    });

    it("between two tokens that became ready together", async () => {
      // A token waits for an earlier one, and the caller is slow to take that
      // one: the version is withdrawn before the later one can be handed over.
      const keeper = createFixedNote(note(1, ["v1"]));
      const early = () => giveEvents([token(1, 1), token(1, 0), token(1, 2)]);
      const result = await run([early, whole], {
        keeper,
        onEvent: (event) => {
          if (event.type === "token") keeper.set(note(2, ["v2"]));
        },
      });
      expect(result.tokens).toBe("w0");
      expect(result.end).toBe("withdrawn/withdrawn");
    });
  });

  /**
   * Something breaks in our own code after an engine began. The caller must
   * not be told that nothing ran.
   */
  it("a fault of our own after the start is no not_run", async () => {
    const keeper = createFixedNote(note(1, ["v1"]));
    const broke = { ...keeper, fresh: () => keeper.fresh() };
    const { end } = await run(
      [
        () => {
          broke.fresh = () => {
            throw new Error("a fault of our own");
          };
          return giveEvents([token(1, 0)]);
        },
      ],
      { keeper: broke },
    );
    expect(end).toBe("failed/internal_error");
  });
});
