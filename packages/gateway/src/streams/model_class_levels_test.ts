import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import type { Configuration, Route, Service } from "../configuration.ts";
import { createDemandBoard } from "./demand_board.ts";
import { capacityTokensOf } from "./model_capacity.ts";
import { createModelClassLevels } from "./model_class_levels.ts";

const LAYERS = 10;
/** Engines have memory for 1,000 tokens of 5 layers besides these. */
const chat: Service = {
  name: "chat",
  engine: {
    model: {
      name: "chat",
      layerCount: LAYERS,
      layerMb: 100,
      tokenLayerBytes: 1_000,
      stepMs: 10,
      prefillTokensPerMs: 10,
      meanPromptTokens: 100,
      meanAnswerTokens: 100,
      maxConcurrentAnswers: 10,
    },
    kinds: new Map([
      [
        "fast",
        { name: "fast", memoryMb: 505, stepFactor: 1, prefillFactor: 1 },
      ],
    ]),
  },
};

function engine(id: string, from: number, more = {}): BackendServer {
  return {
    id,
    service: "chat",
    address: `${id}:1`,
    failureDomain: "a",
    slots: 10,
    leaving: false,
    startedAt: 1,
    renewal: 1,
    orderCount: null,
    kind: "fast",
    model: "chat",
    held: { from, to: from + 5 },
    ...more,
  };
}

function route(priority: number): Route {
  return {
    name: `chat-${priority}`,
    host: "h",
    pathPrefix: "/",
    kind: "stream",
    resumable: true,
    shares: [{ service: "chat", weight: 1 }],
    timeoutMs: 20_000,
    objectiveMs: 500,
    pauseObjectiveMs: 500,
    maxAttempts: 2,
    priority,
    isPublic: true,
  };
}

function configurationOf(...priorities: readonly number[]): Configuration {
  return {
    version: 1,
    routes: priorities.map(route),
    services: new Map([["chat", chat]]),
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    organisations: null,
  };
}

const { logged } = vi.hoisted(() => ({
  logged: [] as { event: string; fields: Readonly<Record<string, unknown>> }[],
}));

vi.mock(import("@rosemarypin/telemetry"), async (importOriginal) => {
  const write = (event: string, fields = {}) => {
    logged.push({ event, fields });
  };
  const logger = { info: write, warn: write, detail: write };
  return { ...(await importOriginal()), createLogger: () => logger };
});

const abortControllers: AbortController[] = [];

beforeEach(() => {
  logged.length = 0;
  vi.useFakeTimers();
});

afterEach(() => {
  for (const controller of abortControllers.splice(0)) controller.abort();
  vi.useRealTimers();
  vi.restoreAllMocks();
});

/** Levels over engines for 1,000 tokens of complete responses. */
function startLevels(configuration: Configuration) {
  const servers = [engine("e-1", 0), engine("e-2", 5)];
  const avoided = new Set<string>();
  const fleet = {
    ofService: () => servers,
    detector: { isAvoided: (id: string) => avoided.has(id) },
  } as unknown as Parameters<typeof createModelClassLevels>[0]["fleet"];
  const board = createDemandBoard({
    failureDomain: "a",
    liveOthers: () => [],
  });
  const abortController = new AbortController();
  abortControllers.push(abortController);
  let current = configuration;
  const levels = createModelClassLevels({
    board,
    fleet,
    configuration: () => current,
    signal: abortController.signal,
  });
  return {
    board,
    levels,
    fleet,
    servers,
    avoided,
    abort: () => abortController.abort(),
    apply(next: Configuration) {
      current = next;
    },
  };
}

describe("capacity of a model", () => {
  it("is the memory of usable engines over the model's layers", () => {
    const { fleet, servers, avoided } = startLevels(configurationOf(0));
    expect(capacityTokensOf(chat, fleet)).toBe(1_000);
    servers.push(
      engine("leaving", 0, { leaving: true }),
      engine("empty", 0, { held: null }),
      engine("unknown", 0, { kind: "other" }),
    );
    expect(capacityTokensOf(chat, fleet)).toBe(1_000);
    // Its layers have no other engine, and yet the rest of the memory counts.
    avoided.add("e-2");
    expect(capacityTokensOf(chat, fleet)).toBe(500);
  });
});

describe("class levels of models", () => {
  it("limit less urgent classes while an urgent request waits", () => {
    const { board, levels } = startLevels(configurationOf(0, 2));
    board.heldChanged("chat", 2, 600);
    board.waitingChanged("chat", 0, 200);
    vi.advanceTimersByTime(0);
    expect(levels.loadLimitOf("chat", 0)).toBe(1);
    expect(levels.loadLimitOf("chat", 2)).toBeCloseTo(0.8);
    expect(levels.loadLimitOf("other", 2)).toBe(1);
  });

  // Deployments with one class are served as without levels.
  it.each([
    ["one class", configurationOf(3, 3)],
    [
      "classes of plain services",
      {
        ...configurationOf(0, 2),
        services: new Map([["chat", { name: "chat", engine: null }]]),
      },
    ],
  ])("don't act with %s", (_, configuration) => {
    const { board, levels } = startLevels(configuration);
    board.heldChanged("chat", 3, 900);
    board.waitingChanged("chat", 0, 500);
    vi.advanceTimersByTime(1_000);
    expect(levels.loadLimitOf("chat", 3)).toBe(1);
    expect(levels.levels().size).toBe(0);
    expect(vi.getTimerCount()).toBe(0);
  });

  it("are recomputed at most every 50 ms", () => {
    const { board, levels } = startLevels(configurationOf(0, 2));
    const total = vi.spyOn(board, "total");
    board.heldChanged("chat", 2, 600);
    for (let count = 0; count < 1_000; count += 1) {
      board.waitingChanged("chat", 0, 1);
      vi.advanceTimersByTime(1);
    }
    expect(total.mock.calls.length).toBeLessThanOrEqual(21);
    expect(total.mock.calls.length).toBeGreaterThanOrEqual(19);
    expect(levels.loadLimitOf("chat", 2)).toBeLessThan(1);
  });

  it("return to 1 without further changes, and then need no timer", () => {
    const { board, levels } = startLevels(configurationOf(0, 2));
    let changes = 0;
    levels.onChanged(() => {
      changes += 1;
    });
    board.heldChanged("chat", 2, 500);
    board.waitingChanged("chat", 0, 200);
    vi.advanceTimersByTime(100);
    board.waitingChanged("chat", 0, -200);
    vi.advanceTimersByTime(3_000);
    expect(levels.loadLimitOf("chat", 2)).toBe(1);
    expect(changes).toBeGreaterThanOrEqual(2);
    expect(vi.getTimerCount()).toBe(0);
  });

  it("are logged when they change by 0.05, once a second at most", () => {
    const { board } = startLevels(configurationOf(0, 2));
    board.heldChanged("chat", 2, 600);
    board.waitingChanged("chat", 0, 40);
    vi.advanceTimersByTime(1_500);
    expect(logged).toEqual([]);
    for (let step = 0; step < 8; step += 1) {
      board.waitingChanged("chat", 0, 20);
      vi.advanceTimersByTime(100);
    }
    expect(logged).toHaveLength(1);
    expect(logged[0]).toEqual({
      event: "class_level",
      fields: {
        service: "chat",
        priority: 2,
        load_limit: "0.94",
        reserve: "0.06",
        waiting: 0,
        held: 600,
      },
    });
    // The limit that was not logged within the second follows.
    vi.advanceTimersByTime(1_000);
    expect(logged).toHaveLength(2);
    expect(logged[1]?.fields).toMatchObject({ load_limit: "0.80" });
  });

  it("rise with the capacity of engines that are back", () => {
    const { board, levels, avoided } = startLevels(configurationOf(0, 2));
    avoided.add("e-2");
    board.heldChanged("chat", 2, 400);
    board.waitingChanged("chat", 0, 100);
    vi.advanceTimersByTime(50);
    expect(levels.loadLimitOf("chat", 2)).toBeCloseTo(0.8);
    avoided.clear();
    vi.advanceTimersByTime(2_000);
    expect(levels.loadLimitOf("chat", 2)).toBeCloseTo(0.9);
  });

  it("follow a configuration with other classes", () => {
    const { board, levels, apply } = startLevels(configurationOf(0, 2));
    board.heldChanged("chat", 2, 600);
    board.waitingChanged("chat", 0, 200);
    vi.advanceTimersByTime(50);
    apply({ ...configurationOf(2), version: 2 });
    vi.advanceTimersByTime(250);
    expect(levels.loadLimitOf("chat", 2)).toBe(1);
  });

  it("stop with the instance", () => {
    const { board, abort } = startLevels(configurationOf(0, 2));
    board.waitingChanged("chat", 0, 200);
    abort();
    board.waitingChanged("chat", 0, 200);
    expect(vi.getTimerCount()).toBe(0);
  });
});
