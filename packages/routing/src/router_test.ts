import type { EngineFleet, EngineSnapshot } from "@rosemarypin/backends";
import type { AnswerRequest, Priority } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createRouter, type GrantResult, type Router } from "./router.ts";

const version = {
  version: "v1",
  layers: 8,
  layerSets: [{ name: "all", from: 0, to: 8 }],
  addedBy: 1,
};

function createFleet() {
  const layers = { from: 0, to: 8 };
  const roles = [{ model: "assist", layers }];
  const settings = {
    id: "engine",
    failureDomain: "a",
    address: { host: "127.0.0.1", port: 1 },
    accelerator: "fast",
    checksFencing: true,
    roles,
  };
  const state = {
    engine: "engine",
    accelerator: "fast",
    failureDomain: "a",
    roles,
    fencingNumber: 1,
    noteNumber: 1,
    held: [{ model: "assist", version: "v1", layers }],
    adapters: [],
    running: [],
    leaving: false,
    load: 0,
  };
  let inFlight = 0;
  const health = { usable: true, inFlightOffset: 0 };
  const engine = (): EngineSnapshot => ({
    settings,
    state,
    usable: health.usable,
    inFlight: inFlight + health.inFlightOffset,
  });
  const fleet: EngineFleet = {
    engines: () => [engine()],
    observe: () => {},
    reportLost: () => {},
    occupy() {
      inFlight += 1;
      let ended = false;
      return () => {
        if (!ended) inFlight -= 1;
        ended = true;
      };
    },
    stop: () => {},
  };
  return { fleet, health };
}

function createTestRouter(queueLength = 100) {
  const { fleet, health } = createFleet();
  const router = createRouter({
    fleet,
    failureDomain: "a",
    limits: {
      bodyBytes: 1,
      headerBytes: 1,
      headersTimeoutMs: 1,
      requestTimeoutMs: 1,
      readerStallMs: 1,
      connections: 1,
      requestsPerConnection: 1,
      bodiesBytes: 1,
      queueLength,
      answersPerEngine: 4,
    },
    objectives: { firstTokenMs: 830, betweenTokensMs: 79 },
    seed: 1,
  });
  return { router, health };
}

interface RequestOptions {
  readonly organisation?: string;
  readonly priority?: Priority;
  readonly deadlineMs?: number;
  readonly isRecovery?: boolean;
  readonly adapter?: string;
  readonly signal?: AbortSignal;
}

function ask(
  router: Router,
  requestOptions: RequestOptions = {},
): Promise<GrantResult> {
  const request: AnswerRequest = {
    requestId: "request",
    organisation: requestOptions.organisation ?? "one",
    weight: 1,
    model: "assist",
    adapter: requestOptions.adapter,
    promptTokens: [],
    maxTokens: 10,
    priority: requestOptions.priority ?? "standard",
    deadlineAt: Date.now() + (requestOptions.deadlineMs ?? 60_000),
  };
  return router.acquire({
    request,
    version,
    avoid: new Set(),
    isRecovery: requestOptions.isRecovery ?? false,
    signal: requestOptions.signal ?? new AbortController().signal,
  });
}

async function fill(router: Router): Promise<GrantResult[]> {
  return Promise.all(Array.from({ length: 4 }, () => ask(router)));
}

function release(result: GrantResult | undefined): void {
  if (result?.kind === "granted") result.grant.release();
}

/** Returns the kind of each result, `waiting` for pending promises. */
async function kinds(
  results: readonly Promise<GrantResult>[],
): Promise<string[]> {
  await vi.advanceTimersByTimeAsync(0);
  const waiting = { kind: "waiting" } as const;
  return Promise.all(
    results.map(async (result) => {
      const settled = await Promise.race([result, Promise.resolve(waiting)]);
      return settled.kind;
    }),
  );
}

describe("router", () => {
  beforeEach(() => {
    vi.useFakeTimers();
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("grants immediately while engines have capacity", async () => {
    const { router } = createTestRouter();
    const results = await fill(router);
    expect(results.map(({ kind }) => kind)).toEqual(Array(4).fill("granted"));
  });

  it("grants to the next queued request when an answer ends", async () => {
    const { router } = createTestRouter();
    const [first] = await fill(router);
    const next = ask(router);
    expect(await kinds([next])).toEqual(["waiting"]);
    release(first);
    expect(await kinds([next])).toEqual(["granted"]);
  });

  it("refuses a queued request once its first token would be late", async () => {
    // The engines stay full. Once the first token of a request can no longer
    // be in time, its caller must get a refusal with a retry delay, long
    // before its own deadline.
    const { router } = createTestRouter();
    await fill(router);
    const next = ask(router, { deadlineMs: 60_000 });
    await vi.advanceTimersByTimeAsync(830);
    const result = await next;
    expect(result).toMatchObject({ kind: "refused", code: "too_late" });
    expect(result).toHaveProperty("retryAfterSeconds");
  });

  it("refuses on arrival a request that the observed rate cannot serve in time", async () => {
    // The queue drains at an observed rate. A request whose predicted wait is
    // too long is refused on arrival instead of after a useless wait.
    const { router } = createTestRouter();
    let [oldest, ...others] = await fill(router);
    const waiting: Promise<GrantResult>[] = [];
    for (let turn = 0; turn < 6; turn++) {
      waiting.push(ask(router));
      await vi.advanceTimersByTimeAsync(200);
      release(oldest);
      [oldest, ...others] = [...others, await waiting[turn]].filter(
        (result) => result !== undefined,
      );
    }
    const last = Array.from({ length: 10 }, () => ask(router));
    const seen = await kinds(last);
    expect(seen).toContain("waiting");
    expect(seen).toContain("refused");
  });

  it("refuses requests beyond the maximum queue length", async () => {
    const { router } = createTestRouter(2);
    await fill(router);
    void ask(router);
    void ask(router);
    const result = await ask(router);
    expect(result).toMatchObject({ kind: "refused", code: "queue_full" });
  });

  it("serves an answer that lost its engines before new requests", async () => {
    const { router } = createTestRouter();
    const [first] = await fill(router);
    const fresh = ask(router, { priority: "interactive" });
    const recovery = ask(router, { priority: "batch", isRecovery: true });
    release(first);
    expect(await kinds([fresh, recovery])).toEqual(["waiting", "granted"]);
  });

  it("removes a request whose caller aborted from the queue", async () => {
    const { router } = createTestRouter();
    const [first] = await fill(router);
    const controller = new AbortController();
    const aborted = ask(router, { signal: controller.signal });
    const next = ask(router);
    controller.abort();
    release(first);
    expect(await kinds([aborted, next])).toEqual(["refused", "granted"]);
  });

  it("does not leak engines to a request whose caller aborted", async () => {
    // A caller aborts after capacity was freed and before the queue is pumped.
    // Engines granted to it then would never be released, and each such abort
    // would lose a slot until none is left.
    const { router, health } = createTestRouter();
    const granted = await fill(router);
    const controller = new AbortController();
    const aborted = ask(router, { signal: controller.signal });
    health.inFlightOffset = -1;
    controller.abort();
    expect(await kinds([aborted])).toEqual(["refused"]);
    health.inFlightOffset = 0;
    for (const result of granted) release(result);
    const retries = Array.from({ length: 4 }, () => ask(router));
    expect(await kinds(retries)).toEqual(Array(4).fill("granted"));
  });

  it("refuses a request when no engine holds its layers in time", async () => {
    const { router, health } = createTestRouter();
    health.usable = false;
    const pending = ask(router);
    expect(await kinds([pending])).toEqual(["waiting"]);
    await vi.advanceTimersByTimeAsync(830);
    expect(await pending).toMatchObject({
      kind: "refused",
      code: "no_capacity",
    });
  });

  it("refuses a recovery immediately when other engines do not suffice", async () => {
    // An answer avoids the engine that failed it, and no other holds those
    // layers. If it waited here until its deadline, it could not retry the
    // engine after its recovery (seed 7 of check:answers, 7 broken of 100).
    const { router, health } = createTestRouter();
    health.usable = false;
    const result = await ask(router, { isRecovery: true });
    expect(result).toMatchObject({ kind: "refused", code: "no_capacity" });
  });

  it("waits for engines whose state has not been read yet", async () => {
    // A release note has come into force, and this instance has not yet read
    // the state of the engines that hold its version. A refusal now would reach
    // a caller after the release was reported to the operator as complete.
    const { router, health } = createTestRouter();
    health.usable = false;
    const pending = ask(router);
    await vi.advanceTimersByTimeAsync(200);
    health.usable = true;
    await vi.advanceTimersByTimeAsync(50);
    expect(await pending).toMatchObject({ kind: "granted" });
  });

  it("does not block others behind a request whose layers no engine holds", async () => {
    const { router } = createTestRouter();
    const [first] = await fill(router);
    const uncovered = ask(router, { adapter: "unheard" });
    const next = ask(router);
    release(first);
    expect(await kinds([uncovered, next])).toEqual(["waiting", "granted"]);
  });

  it("reports whether engines hold a version", () => {
    const { router, health } = createTestRouter();
    const coverRequest = { model: "assist", version, adapter: undefined };
    expect(router.covers(coverRequest)).toBe(true);
    health.usable = false;
    expect(router.covers(coverRequest)).toBe(false);
  });
});
