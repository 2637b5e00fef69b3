import type { ClassDemand } from "@rosemarypin/admission";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { BackendServer } from "../backend_server.ts";
import { createBackendFleet } from "../backends/mod.ts";
import type { EngineShape, Service } from "../configuration.ts";
import { domainCapacities } from "./domain_capacity.ts";
import { createDomainLoadLimits } from "./domain_load_limits.ts";
import { createEngineUsage } from "./engine_usage.ts";
import { createPipelineRouter } from "./pipeline_router.ts";

const { logInfo } = vi.hoisted(() => ({ logInfo: vi.fn() }));

vi.mock("@rosemarypin/telemetry", async (importOriginal) => ({
  ...(await importOriginal<object>()),
  createLogger: () => ({ info: logInfo, warn: vi.fn(), detail: vi.fn() }),
}));

beforeEach(() => {
  vi.useFakeTimers();
  logInfo.mockClear();
});

afterEach(() => {
  vi.useRealTimers();
});

const LAYERS = 10;
/** Tokens for which an engine with all layers has memory. */
const CAPACITY = 10_000;

const engine: EngineShape = {
  model: {
    name: "m",
    layerCount: LAYERS,
    layerMb: 100,
    tokenLayerBytes: 10_000,
    stepMs: 1,
    prefillTokensPerMs: 100,
    meanPromptTokens: 700,
    meanAnswerTokens: 200,
    maxConcurrentAnswers: 100,
  },
  kinds: new Map([
    [
      "card",
      { name: "card", memoryMb: 2_000, stepFactor: 1, prefillFactor: 1 },
    ],
  ]),
};
const service = { name: "model", engine } as unknown as Service;

function server(
  id: string,
  failureDomain: string,
  held: BackendServer["held"] = { from: 0, to: LAYERS },
): BackendServer {
  const address = `${id}:1`;
  const state = { slots: 1, leaving: false, startedAt: 1, renewal: 1 };
  const facts = { kind: "card", model: "m", orderCount: 1, held };
  return { id, service: "model", address, failureDomain, ...state, ...facts };
}

/** Domain a with four engines, b with four. */
function setUp() {
  const fleet = createBackendFleet({
    engines: { report: async () => null } as never,
    canConnect: (async () => true) as never,
    failureDomain: "a",
    countInstances: () => 1,
    signal: new AbortController().signal,
  });
  for (const domain of ["a", "b"])
    for (const index of [1, 2, 3, 4])
      fleet.put(server(`${domain}-${index}`, domain));
  const demand = new Map<string, ReadonlyMap<number, ClassDemand>>();
  const limits = createDomainLoadLimits({
    fleet,
    failureDomain: "a",
    demand: { ofDomain: (_, domain) => demand.get(domain) ?? null },
  });
  const limitOf = () => limits.limitOf(service, "b");
  /** Decides every 100 ms, and returns the last limit. */
  function decideFor(ms: number): number {
    for (let waited = 0; waited < ms; waited += 100) {
      vi.advanceTimersByTime(100);
      limitOf();
    }
    return limitOf() ?? 0;
  }
  function need(domain: string, held: number): void {
    const rest = { waiting: 100, arrivingPerSecond: 400 };
    demand.set(domain, new Map([[0, { held: held - 200, ...rest }]]));
  }
  return { fleet, demand, limits, limitOf, decideFor, need };
}

describe("capacity of a failure domain", () => {
  it("is that of the layer with the least", () => {
    const servers = [
      server("x", "a"),
      server("y", "a", { from: 0, to: 5 }),
      server("z", "b", { from: 0, to: 5 }),
      server("w", "c", null),
    ];
    const capacities = domainCapacities(servers, engine);
    expect([...capacities]).toEqual([
      ["a", CAPACITY],
      ["b", 0],
      ["c", 0],
    ]);
  });
});

describe("load limits of domains", () => {
  it("stay at the constant while demand is unknown, as with older versions", () => {
    const { need, decideFor } = setUp();
    expect(decideFor(5_000)).toBe(0.5);
    need("a", 5 * CAPACITY);
    expect(decideFor(5_000)).toBe(0.5);
  });

  it("count waiting requests and the arrivals of a quarter of a second", () => {
    const { limits, need, decideFor } = setUp();
    need("a", 8_000);
    decideFor(100);
    expect(limits.readings().get("a")?.needTokens).toBe(8_000);
  });

  // Guards against a decision by engines that are gone.
  it("rise when the domain loses three fast engines for good", () => {
    const { fleet, need, decideFor, limitOf } = setUp();
    need("a", 2 * CAPACITY);
    need("b", 2 * CAPACITY);
    expect(decideFor(5_000)).toBe(0.5);
    for (const id of ["a-1", "a-2", "a-3"]) fleet.remove(id);
    // 0.5 of its own use, and 11,000 tokens that the domain a lacks.
    expect(decideFor(5_000)).toBeCloseTo(0.775);
    fleet.put(server("a-5", "a"));
    fleet.put(server("a-6", "a"));
    vi.advanceTimersByTime(100);
    expect(limitOf()).toBe(0.5);
  });

  it("are logged when they change by a tenth, once a second at most", () => {
    const { need, decideFor, demand } = setUp();
    need("a", 6 * CAPACITY);
    need("b", 2 * CAPACITY);
    decideFor(2_200);
    const logged = () =>
      logInfo.mock.calls.filter(([event]) => event === "domain_flow");
    expect(logged().map(([, { load_limit }]) => load_limit)).toEqual([
      "0.60",
      "0.70",
      "0.80",
    ]);
    demand.delete("b");
    decideFor(500);
    expect(logged()).toHaveLength(3);
    decideFor(600);
    expect(logged()).toHaveLength(4);
  });

  it("are shown to operators, with the needs", () => {
    const { limits, need, decideFor } = setUp();
    need("a", 6 * CAPACITY);
    decideFor(100);
    expect([...limits.readings()]).toEqual([
      ["a", { loadLimit: null, needTokens: 6 * CAPACITY }],
      ["b", { loadLimit: 0.5, needTokens: null }],
    ]);
  });

  it("let answers use a domain that helps beyond the constant", () => {
    const { fleet, limits, need, decideFor } = setUp();
    const usage = createEngineUsage();
    const router = createPipelineRouter({
      fleet,
      failureDomain: "a",
      usage,
      possibleSendersOf: () => [],
      domainLoadLimit: (domain, of) => limits.limitOf(of, domain),
    });
    const size = { promptTokens: 700, answerTokens: 200 };
    const request = { service, size, avoided: new Set<string>(), maxLoad: 1 };
    const held = { held: 0.6 * CAPACITY * LAYERS, unread: 0 };
    const full = { held: CAPACITY * LAYERS, unread: 0 };
    const indexes = [1, 2, 3, 4];
    const report = () => {
      usage.recordDomainLoads(
        "b",
        new Map([
          ...indexes.map((at) => [`b-${at}`, held] as const),
          ...indexes.map((at) => [`a-${at}`, full] as const),
        ]),
      );
    };
    report();
    expect(router.choose(request)).toBeNull();
    need("a", 6 * CAPACITY);
    need("b", 2 * CAPACITY);
    decideFor(5_000);
    report();
    expect(router.choose(request)?.first.failureDomain).toBe("b");
  });
});
