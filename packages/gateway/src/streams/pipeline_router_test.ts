import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import { type BackendFleet, createRequestLimits } from "../backends/mod.ts";
import type { Service } from "../configuration.ts";
import { createEngineUsage } from "./engine_usage.ts";
import { createPipelineRouter } from "./pipeline_router.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const LAYERS = 10;
const LAYER_MB = 100;
const TOKEN_LAYER_BYTES = 10_000;
/** Holds all layers and memory for 10,000 tokens. */
const MEMORY_MB = 2_000;
const CAPACITY_TOKENS = 10_000;

const service = {
  name: "model",
  engine: {
    model: {
      name: "m",
      layerCount: LAYERS,
      layerMb: LAYER_MB,
      tokenLayerBytes: TOKEN_LAYER_BYTES,
      stepMs: 1,
      prefillTokensPerMs: 100,
      meanPromptTokens: 700,
      meanAnswerTokens: 200,
      maxConcurrentAnswers: 100,
    },
    kinds: new Map([
      [
        "card",
        {
          name: "card",
          memoryMb: MEMORY_MB,
          stepFactor: 10,
          prefillFactor: 1,
        },
      ],
    ]),
  },
} as unknown as Service;

function engine(id: string, failureDomain: string): BackendServer {
  return {
    id,
    failureDomain,
    address: `${id}:1`,
    kind: "card",
    held: { from: 0, to: LAYERS },
  } as BackendServer;
}

/** An instance of domain `a` with three peers there and four in domain `b`. */
function setUp() {
  const servers = [engine("near", "a"), engine("far", "b")];
  const slowdowns = new Map<string, number>();
  const onCondition: ((id: string) => void)[] = [];
  const fleet = {
    onChanged: () => {},
    onCondition: (callback: (id: string) => void) => onCondition.push(callback),
    ofService: () => servers,
    get: (id: string) => servers.find((server) => server.id === id) ?? null,
    isUsable: () => true,
    reportedLoad: () => null,
    slowdownOf: (id: string) => slowdowns.get(id) ?? 1,
    limits: createRequestLimits({
      failureDomain: "a",
      countInstances: () => 1,
    }),
  } as unknown as BackendFleet;
  const usage = createEngineUsage();
  const router = createPipelineRouter({
    fleet,
    failureDomain: "a",
    usage,
    possibleSendersOf: (domain) =>
      domain === "a" ? ["a-1", "a-2", "a-3"] : ["b-1", "b-2", "b-3", "b-4"],
  });
  const size = { promptTokens: 700, answerTokens: 200 };
  const request = { service, size, avoided: new Set<string>(), maxLoad: 1 };
  const choose = () => router.choose(request)?.first.id ?? null;
  /** Applies a report of an engine, as the fleet does. */
  function reportSlowdown(id: string, slowdown: number): void {
    slowdowns.set(id, slowdown);
    for (const callback of onCondition) callback(id);
  }
  const parts = { fleet, servers, usage, slowdowns, router };
  return { ...parts, request, choose, reportSlowdown };
}

/** Loads of one engine that holds answers of `tokens` tokens. */
function loadsOf(engineId: string, tokens: number) {
  return new Map([[engineId, { held: tokens * LAYERS, unread: 0 }]]);
}

describe("choice between failure domains", () => {
  it("stays in the own domain while that has room", () => {
    const { usage, choose } = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      usage.recordPeerLoads(peer, new Map());
    usage.recordDomainLoads("b", new Map());
    expect([choose(), choose()]).toEqual(["near", "near"]);
  });

  // Guards against refusing callers of a domain whose engines are full while
  // other domains have free engines: with dozens of instances, those of other
  // domains don't report one by one, and used to count as heavy users.
  it("uses another domain that reports free engines once its own is full", () => {
    const { usage, choose } = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      usage.recordPeerLoads(peer, loadsOf("near", CAPACITY_TOKENS / 3));
    usage.recordDomainLoads("b", loadsOf("far", CAPACITY_TOKENS / 5));
    const chosen = Array.from({ length: 4 }, choose);
    expect(chosen).toEqual(["far", "far", "far", null]);
  });

  // Guards against late answers in every domain when all are short of engines.
  it.each([
    [0.4, "far"],
    [0.45, null],
    [1, null],
  ])("leaves a margin in another domain at load %d", (load, expected) => {
    const { usage, choose } = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      usage.recordPeerLoads(peer, loadsOf("near", CAPACITY_TOKENS / 3));
    usage.recordDomainLoads("b", loadsOf("far", CAPACITY_TOKENS * load));
    expect(choose()).toBe(expected);
  });

  it("fills engines of another domain whose instances report one by one", () => {
    const { usage, choose } = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      usage.recordPeerLoads(peer, loadsOf("near", CAPACITY_TOKENS / 3));
    for (const peer of ["b-1", "b-2", "b-3", "b-4"])
      usage.recordPeerLoads(peer, loadsOf("far", CAPACITY_TOKENS / 5));
    const chosen = Array.from({ length: 3 }, choose);
    expect(chosen).toEqual(["far", "far", null]);
  });

  it("counts answers of other domains on engines of its own", () => {
    const { usage, choose } = setUp();
    usage.recordDomainLoads("b", loadsOf("near", CAPACITY_TOKENS));
    expect(choose()).toBe("far");
  });

  it("assumes instances without a report to use engines as it does", () => {
    const { usage, choose } = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      usage.recordPeerLoads(peer, new Map());
    const chosen = Array.from({ length: 13 }, choose);
    expect(new Set(chosen.slice(0, 11))).toEqual(new Set(["near"]));
    expect(chosen.slice(11)).toEqual([null, null]);
  });

  it("avoids an engine that is slower than its kind", () => {
    const { usage, slowdowns, router, request, choose, reportSlowdown } =
      setUp();
    usage.recordDomainLoads("b", new Map());
    // The engines were known before the report.
    expect(router.hasPipeline(request)).toBe(true);
    reportSlowdown("near", 3);
    expect(choose()).toBe("far");
    slowdowns.delete("near");
    expect(choose()).toBe("near");
  });
});

describe("request limits of engines", () => {
  /** Reports of all others, so that their engines count as free. */
  function setUpFree() {
    const parts = setUp();
    for (const peer of ["a-1", "a-2", "a-3"])
      parts.usage.recordPeerLoads(peer, new Map());
    parts.usage.recordDomainLoads("b", new Map());
    const [near, far] = parts.servers;
    if (!near || !far) throw new Error("no engines");
    return { ...parts, near, far };
  }

  // Guards against requests beyond the limit of an engine, in every way in
  // which a request finds its pipeline.
  it("apply to each request, and others take what is beyond them", () => {
    const { fleet, near, far, choose } = setUpFree();
    fleet.limits.record(near, 1);
    expect([choose(), choose(), choose()]).toEqual(["near", "far", "far"]);
    fleet.limits.record(far, 1);
    expect([choose(), choose()]).toEqual(["far", null]);
  });

  it("are never passed by answers that accept full engines", () => {
    const { fleet, servers, router, request } = setUpFree();
    for (const server of servers) fleet.limits.record(server, 1);
    const { maxLoad: _, ...unbounded } = request;
    const chosen = [1, 2, 3].map(() => router.choose(unbounded)?.first.id);
    expect(chosen).toEqual(["near", "far", undefined]);
  });

  it("count as a lack of room, which may end soon", () => {
    const { fleet, servers, router, request, choose } = setUpFree();
    for (const server of servers) fleet.limits.record(server, 1);
    expect([choose(), choose(), choose()]).toEqual(["near", "far", null]);
    const { maxLoad: _, ...unbounded } = request;
    expect(router.hasPipeline(request)).toBe(false);
    expect(router.hasPipeline(unbounded)).toBe(true);
  });

  it("do not apply to later stages, which get no requests", () => {
    const { fleet, servers, near, far, choose } = setUpFree();
    servers.splice(
      0,
      2,
      { ...near, held: { from: 0, to: 5 } },
      {
        ...far,
        held: { from: 5, to: LAYERS },
      },
    );
    fleet.limits.record(far, 0);
    fleet.limits.take(far);
    expect([choose(), choose()]).toEqual(["near", "near"]);
  });
});

/**
 * Domain `a` has lost its second half. The only pipeline that stays in one
 * domain begins elsewhere and is slow.
 */
function setUpBrokenDomain(linkTokenMs: number | null = 0.1) {
  const { fleet, usage, slowdowns, servers } = setUp();
  const half = LAYERS / 2;
  const halves = [
    { id: "a-low", domain: "a", held: { from: 0, to: half } },
    { id: "b-low", domain: "b", held: { from: 0, to: half } },
    { id: "b-high", domain: "b", held: { from: half, to: LAYERS } },
  ];
  servers.length = 0;
  for (const { id, domain, held } of halves)
    servers.push({ ...engine(id, domain), held });
  slowdowns.set("b-low", 12);
  const router = createPipelineRouter({
    fleet,
    failureDomain: "a",
    usage,
    possibleSendersOf: (domain) => (domain === "a" ? ["a-1"] : ["b-1", "b-2"]),
  });
  for (const peer of ["a-1", "b-1", "b-2"])
    usage.recordPeerLoads(peer, new Map());
  const linkSpeed = linkTokenMs === null ? {} : { linkTokenMs };
  const model = { ...service.engine?.model, ...linkSpeed };
  const request = {
    service: { ...service, engine: { ...service.engine, model } } as Service,
    size: { promptTokens: 700, answerTokens: 200 },
    avoided: new Set<string>(),
  };
  const isCrossing = (ids: readonly string[] | undefined) =>
    ids?.includes("a-low") === true;
  const choose = (maxLoad?: number) => {
    const bounds = maxLoad === undefined ? {} : { maxLoad };
    const pipeline = router.choose({ ...request, ...bounds });
    // Their callers leave at once, which takes nothing off the link.
    pipeline?.release();
    return pipeline?.stages.map(({ engineId }) => engineId);
  };
  return { router, request, choose, isCrossing, servers };
}

describe("pipelines that cross failure domains", () => {
  // Guards against first events that wait behind all prompts on a link, once
  // more prompts cross it than it passes.
  it("get no more prompts than their link passes", () => {
    const { choose, isCrossing } = setUpBrokenDomain();
    const chosen = Array.from({ length: 20 }, () => choose(1));
    expect(chosen.filter(isCrossing).length).toBeLessThanOrEqual(2);
    expect(chosen.at(-1)).toEqual(["b-low", "b-high"]);
    vi.advanceTimersByTime(60_000);
    expect(isCrossing(choose(1))).toBe(true);
  });

  it("wait for their link if there is no other pipeline", () => {
    const { router, request, choose, servers } = setUpBrokenDomain();
    servers.splice(1, 1);
    expect(choose(1)).toEqual(["a-low", "b-high"]);
    expect(choose(1)).toBeUndefined();
    expect(router.hasPipeline({ ...request, maxLoad: 1 })).toBe(false);
    expect(router.hasPipeline(request)).toBe(true);
  });

  it("are the last resort of begun answers", () => {
    const { choose, servers } = setUpBrokenDomain();
    servers.splice(1, 1);
    for (let count = 0; count < 5; count += 1)
      expect(choose()).toEqual(["a-low", "b-high"]);
  });

  it("aren't bounded where the speed of links isn't known", () => {
    const { choose, isCrossing } = setUpBrokenDomain(null);
    const chosen = Array.from({ length: 20 }, () => choose(1));
    expect(chosen.every(isCrossing)).toBe(true);
  });
});
