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
const SHORT_TIMEOUTS = {
  startTimeoutMs: 30,
  firstTokenMs: 20,
  minSilenceMs: 20,
  maxSilenceMs: 20,
  probeMs: 20,
  lostMessageTimeoutMs: 60,
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

/** Grants a preferred engine for each stage, else the first allowed one. */
function createFirstFitRouter(
  preferred: string[][],
  observeToken: () => void,
): AnswerDependencies["router"] {
  return {
    async acquire(need) {
      const { avoid, prefer, isRecovery } = need;
      preferred.push([...(prefer ?? [])]);
      // Like the real router, waits for available engines of a recovery.
      while (
        isRecovery &&
        [11, 12].every((port) => avoid.has(`engine-${port}`))
      )
        await new Promise((resolve) => setTimeout(resolve, 5));
      const stages = STAGE_PORTS.map((ports, index): Stage | undefined => {
        const free = ports.filter((port) => !avoid.has(`engine-${port}`));
        const port =
          free.find((candidate) => prefer?.has(`engine-${candidate}`)) ??
          free[0];
        if (port === undefined) return undefined;
        const address = scriptedAddress(port);
        const layers = { from: index * 4, to: index * 4 + 4 };
        return { engine: `engine-${port}`, address, layers };
      });
      const assignedStages = stages.filter((stage) => stage !== undefined);
      if (assignedStages.length < STAGE_PORTS.length) {
        const code = "no_capacity";
        return { kind: "refused", code, retryAfterSeconds: 2 };
      }
      const grant = { stages: assignedStages, observeToken, release() {} };
      return { kind: "granted", grant };
    },
    covers: () => true,
    stop() {},
  };
}

function createStaticFleet(engines: ScriptedEngines): EngineFleet {
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
    /** Called with each event before the next one is read. */
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
    router: createFirstFitRouter(preferred, () => {
      observed += 1;
    }),
    fleet: createStaticFleet(engines),
    engines,
    recoveries: createRecoveryLimiter(),
    liveness: SHORT_TIMEOUTS,
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
const completeAttempt: AttemptScript = ({ attempt, deliveredTokens }) =>
  giveEvents(
    [0, 1, 2]
      .slice(deliveredTokens.length)
      .map((index) => token(attempt, index, index === 2)),
  );

describe("answer", () => {
  /**
   * The router admits by the mean gap between tokens. If a repeated token were
   * reported twice, it would see half the true gap and keep admitting requests
   * under overload.
   */
  it("reports each token to the router once", async () => {
    const repeated: AttemptScript = ({ attempt }) =>
      giveEvents([0, 0, 1, 1, 2].map((at) => token(attempt, at, at === 2)));
    expect(await run([repeated])).toMatchObject({ end: "done", observed: 3 });
  });

  /**
   * A caller that gets `not_run` may retry elsewhere. If an engine were running
   * the request, it would run twice. `not_run` may be reported only if every
   * engine refused the request or received no byte of it.
   */
  describe("outcome when no engine completes it", () => {
    const frozen: AttemptScript = (_attempt, signal) =>
      new Promise((resolve) => {
        signal.addEventListener("abort", () => resolve(broken()));
      });
    const rows: [string, AttemptScript[], string][] = [
      ["both engines refuse", [refused, refused], "not_run/no_capacity"],
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
      ["connection reset after the request was sent", broken],
      ["engine frozen at the start", frozen],
      ["stream broken before the first token", () => giveEvents([])],
    ];
    it.each(started)("%s: failed instead of not_run", async (_name, first) => {
      const later = Array.from({ length: 9 }, () => broken);
      const { end } = await run([first, ...later]);
      expect(end).toBe("failed/attempts_used_up");
    });

    // Guards against a prompt that ends one engine after the other, each after
    // it has written a token.
    it("a token of each engine before it ends: failed", async () => {
      const scripts = Array.from(
        { length: 20 },
        (_, index): AttemptScript =>
          ({ attempt }) =>
            giveEvents([
              token(attempt, index),
              lost(attempt, 0, "unreachable"),
            ]),
      );
      const { end, attempts } = await run(scripts);
      expect(end).toBe("failed/attempts_used_up");
      expect(attempts).toHaveLength(8);
    });
  });

  /**
   * A stage fails or sends unexpected events during an answer. The caller must
   * get three tokens, each once and in order, and then the end. Each row is one
   * kind of fault.
   */
  describe("delivers every token once, in order, when", () => {
    const rows: [string, AttemptScript[], number][] = [
      [
        "a later stage is lost",
        [
          () => giveEvents([token(1, 0), lost(1, 1, "unreachable")]),
          completeAttempt,
        ],
        2,
      ],
      [
        "tokens arrive twice and out of order",
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
        "events of an older attempt arrive late",
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
          completeAttempt,
        ],
        1,
      ],
      [
        "a token is lost and the stream stalls",
        [
          () => giveEvents([token(1, 0), token(1, 2, true)], { hang: true }),
          completeAttempt,
        ],
        2,
      ],
      [
        "the stream breaks",
        [() => giveEvents([token(1, 0)]), completeAttempt],
        2,
      ],
    ];
    it.each(rows)("%s", async (_name, scripts, attempts) => {
      const result = await run(scripts);
      expect(result.tokens).toBe("w0 w1 w2");
      expect(result.end).toBe("done");
      expect(result.attempts).toHaveLength(attempts);
    });
  });

  /**
   * One of two stages is lost. Recomputing both would double the interruption;
   * the remaining engine still has its KV cache, which the next attempt reuses.
   */
  it("replaces only the lost stage and reuses the other caches", async () => {
    const { attempts, preferred } = await run([
      () => giveEvents([token(1, 0), lost(1, 0, "unreachable")]),
      completeAttempt,
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
   * The engine of the first stage fails and its stream breaks. If it weren't
   * avoided, the answer would spend one attempt after another on it.
   */
  it("avoids an engine whose stream broke", async () => {
    const first: AttemptScript = () => giveEvents([token(1, 0)]);
    const { attempts } = await run([first, completeAttempt]);
    expect(attempts[1]?.stages[0]?.engine).toBe("engine-12");
  });

  /**
   * A stage restarts at the same address. It responds to probes but has lost
   * the attempt, so its next token would never arrive. The incarnation in its
   * state shows the restart.
   */
  it("treats a restarted stage as lost although it responds", async () => {
    const scripts: AttemptScript[] = [
      () => giveEvents([token(1, 0)], { hang: true }),
      completeAttempt,
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
   * Both engines of the first stage fail an answer, and one restarts. If failed
   * engines were avoided for good, the answer would wait until its deadline
   * although an engine is idle.
   */
  it("retries an engine that failed it earlier", async () => {
    const { end, attempts } = await run([broken, broken, completeAttempt]);
    expect(end).toBe("done");
    expect(attempts[2]?.stages[0]?.engine).toBe("engine-11");
  });

  /**
   * An engine has dropped the cache that an attempt expects. The engine is
   * healthy; avoiding it would reduce capacity during a recovery.
   */
  it("recomputes on an engine that has dropped the cache", async () => {
    const { attempts, end } = await run([
      () => giveEvents([token(1, 0), lost(1, 0, "unreachable")]),
      () => giveEvents([lost(2, 1, "no_cache")]),
      completeAttempt,
    ]);
    expect(end).toBe("done");
    expect(attempts[2]?.stages[1]?.engine).toBe("engine-21");
    expect(attempts[2]?.stages[1]?.keptPositions).toBeUndefined();
  });

  /**
   * A caller reconnects through another instance while this one still reads the
   * old stream. A retry here would cancel the attempt of the other instance,
   * which would retry in turn, until both run out of attempts.
   */
  it.each([
    [
      "cancelled on the stream",
      () => giveEvents([token(1, 0), cancelled(1, true)]),
    ],
    [
      "refused at the start",
      (): AttemptStart => ({ kind: "refused", reason: "", takenOver: true }),
    ],
  ])(
    "ends without a retry when it was taken over: %s",
    async (_name, script) => {
      const { end, attempts } = await run([script, completeAttempt]);
      expect(end).toBe("failed/taken_over");
      expect(attempts).toHaveLength(1);
    },
  );

  /**
   * A version is recalled before the first token of an answer, or later.
   * Before, the answer runs from the start on an allowed version; later it
   * fails, since an answer never mixes versions.
   */
  describe("version withdrawn", () => {
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
      const result = await run([first, completeAttempt], { keeper });
      expect(wasCut).toBe(true);
      expect(result.end).toBe(end);
      expect(result.attempts.map(({ version }) => version)).toEqual(versions);
    });

    it("delivers no second token of two released together", async () => {
      // A token is buffered behind an earlier one. The version is withdrawn
      // while a slow caller reads the earlier one, before the later one is
      // delivered.
      const keeper = createFixedNote(note(1, ["v1"]));
      const early = () => giveEvents([token(1, 1), token(1, 0), token(1, 2)]);
      const result = await run([early, completeAttempt], {
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
   * An internal error occurs after an engine has started. The outcome must not
   * be `not_run`.
   */
  it("reports an internal error after the start as failed", async () => {
    const keeper = createFixedNote(note(1, ["v1"]));
    const failingKeeper = { ...keeper, fresh: () => keeper.fresh() };
    const { end } = await run(
      [
        () => {
          failingKeeper.fresh = () => {
            throw new Error("internal error");
          };
          return giveEvents([token(1, 0)]);
        },
      ],
      { keeper: failingKeeper },
    );
    expect(end).toBe("failed/internal_error");
  });
});
