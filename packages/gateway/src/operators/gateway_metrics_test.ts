import { setTimeout as pause } from "node:timers/promises";
import { describe, expect, it } from "vitest";
import { createGatewayMetrics, type GatewayGauges } from "./gateway_metrics.ts";

const GAUGES: GatewayGauges = {
  inProgress: () => 0,
  bodyBytes: () => 0,
  bodyBudgetBytes: () => 0,
  requestBytes: () => 0,
  unparsedBytes: () => 0,
  requestsGivenUp: () => 0,
  waitingRequests: () => new Map(),
  configurationVersion: () => 1,
  configurationAgeSeconds: () => 0,
  serverListAgeSeconds: () => 0,
  servers: () => new Map(),
  cutOffServices: () => [],
  quarantinedPromptParts: () => 0,
  classLevels: () => new Map(),
  domains: () => new Map(),
  storeCalls: () => ({}),
  retries: () => new Map(),
  relayFollowers: () => 0,
  unusableInputs: () => new Map(),
  unexpectedErrors: () => 0,
};

describe("metrics of the gateway", () => {
  // Guards against an overload of which operators see no class: which one
  // waits, which one is admitted, and why another one is refused.
  it("show waiting, admitted and refused requests by priority", async () => {
    const { registry, admissions } = createGatewayMetrics({
      ...GAUGES,
      waitingRequests: () => new Map([[2, 7]]),
    });
    admissions.admitted(0, "returning", 150);
    admissions.refused(2, "too_late");
    const page = await registry.metrics();
    for (const line of [
      'rosemarypin_waiting_requests{priority="2"} 7',
      'rosemarypin_admitted_total{priority="0",arrival="returning"} 1',
      'rosemarypin_refused_total{priority="2",reason="too_late"} 1',
      'rosemarypin_admission_wait_seconds_bucket{le="0.1",priority="0"} 0',
      'rosemarypin_admission_wait_seconds_bucket{le="0.2",priority="0"} 1',
    ])
      expect(page).toContain(`${line}\n`);
  });

  // Guards against callers that are refused for want of retries, unseen.
  it("show retries that were taken and refused", async () => {
    const { registry } = createGatewayMetrics({
      ...GAUGES,
      retries: () => new Map([["shop", { taken: 5, refused: 2 }]]),
    });
    const page = await registry.metrics();
    expect(page.match(/^rosemarypin_retries_total.*$/gm)).toEqual([
      'rosemarypin_retries_total{service="shop",decision="taken"} 5',
      'rosemarypin_retries_total{service="shop",decision="refused"} 2',
    ]);
  });

  it("show limits and needs of failure domains as far as they are known", async () => {
    const { registry } = createGatewayMetrics({
      ...GAUGES,
      domains: () =>
        new Map([
          ["a", { loadLimit: null, needTokens: 6_000 }],
          ["b", { loadLimit: 0.6, needTokens: null }],
        ]),
    });
    const page = await registry.metrics();
    expect(page.match(/^rosemarypin_domain_.*$/gm)).toEqual([
      'rosemarypin_domain_load_limit{domain="b"} 0.6',
      'rosemarypin_domain_need_tokens{domain="a"} 6000',
    ]);
  });

  // Guards against a process that lags, and doesn't show whether others or its own
  // work make it late.
  it("show how busy the event loop was since the last reading", async () => {
    const { registry } = createGatewayMetrics(GAUGES);
    const busyRatio = async () => {
      const page = await registry.metrics();
      const [, ratio] =
        /^rosemarypin_event_loop_busy_ratio (\S+)$/m.exec(page) ?? [];
      return Number(ratio);
    };
    await busyRatio();
    await pause(100);
    const whenIdle = await busyRatio();
    const busyUntil = performance.now() + 100;
    while (performance.now() < busyUntil);
    expect(await busyRatio()).toBeGreaterThan(whenIdle);
  });
});
