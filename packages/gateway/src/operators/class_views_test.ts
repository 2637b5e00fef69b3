import type { ClassLevel, DemandByClass } from "@rosemarypin/admission";
import { statusSchema } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { createAdministration } from "./administration.ts";
import { createGatewayMetrics } from "./gateway_metrics.ts";

type Levels = ReadonlyMap<string, readonly ClassLevel[]>;

const levels: Levels = new Map([
  [
    "chat",
    [
      { priority: 0, loadLimit: 1, reserve: 0 },
      { priority: 2, loadLimit: 0.8, reserve: 0.2 },
    ],
  ],
  ["code", [{ priority: 2, loadLimit: 0.9, reserve: 0.1 }]],
]);

const demandOfA: DemandByClass = new Map([
  [2, { arrivingPerSecond: 5, waiting: 10, held: 20 }],
]);

/** Status answer of an instance in domain `a` that knows one in `b`. */
function statusOf(classLevels: Levels, demand: DemandByClass): unknown {
  const administration = createAdministration({
    instance: "front-1",
    failureDomain: "a",
    keeper: {
      applied: () => ({ version: 1, services: new Map([["chat", {}]]) }),
    },
    fleet: { ofService: () => [] },
    presence: {
      others: () => [
        {
          instance: "front-2",
          failureDomain: "b",
          leaving: false,
          isLive: true,
          heardAgoMs: 1,
        },
      ],
    },
    classLevels: { levels: () => classLevels },
    demandBoard: {
      ofDomain: (_: string, domain: string) => (domain === "a" ? demand : null),
    },
    quarantine: { parts: () => [], release: () => false },
    inProgress: () => 0,
    isDraining: () => false,
  } as unknown as Parameters<typeof createAdministration>[0]);
  return administration.get(new URL("http://x/v1/status"))?.body;
}

describe("status", () => {
  it("shows levels and the demand of domains where it is known", () => {
    const status = statusSchema.parse(statusOf(levels, demandOfA));
    expect(status.classLevels).toEqual([
      { service: "chat", priority: 0, loadLimit: 1, reserve: 0 },
      { service: "chat", priority: 2, loadLimit: 0.8, reserve: 0.2 },
      { service: "code", priority: 2, loadLimit: 0.9, reserve: 0.1 },
    ]);
    expect(status.demand).toEqual([
      {
        service: "chat",
        failureDomain: "a",
        priority: 2,
        arrivingPerSecond: 5,
        waiting: 10,
        held: 20,
      },
    ]);
  });

  // Other deployments get the answer of the previous version.
  it("has no fields for classes where there are none", () => {
    const status = statusOf(new Map(), new Map());
    expect(status).not.toHaveProperty("classLevels");
    expect(status).not.toHaveProperty("demand");
  });
});

describe("metrics", () => {
  it("show the lowest limit of each class over all models", async () => {
    const { registry } = createGatewayMetrics({
      inProgress: () => 0,
      bodyBytes: () => 0,
      bodyBudgetBytes: () => 0,
      requestBytes: () => 0,
      unparsedBytes: () => 0,
      requestsGivenUp: () => 0,
      configurationVersion: () => 0,
      configurationAgeSeconds: () => 0,
      serverListAgeSeconds: () => 0,
      servers: () => new Map(),
      cutOffServices: () => [],
      quarantinedPromptParts: () => 0,
      domains: () => new Map(),
      storeCalls: () => ({}),
      relayFollowers: () => 0,
      retries: () => new Map(),
      unusableInputs: () => new Map(),
      unexpectedErrors: () => 0,
      waitingRequests: () => new Map(),
      classLevels: () => levels,
    });
    const text = await registry.metrics();
    expect(text.match(/^rosemarypin_class_load_limit.*$/gm)).toEqual([
      'rosemarypin_class_load_limit{priority="0"} 1',
      'rosemarypin_class_load_limit{priority="2"} 0.8',
    ]);
  });
});
