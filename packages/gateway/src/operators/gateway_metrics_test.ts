import { expect, it } from "vitest";
import { createGatewayMetrics } from "./gateway_metrics.ts";

// Guards against an overload of which operators see no class: which one waits,
// which one is admitted, and why another one is refused.
it("shows waiting, admitted and refused requests by priority", async () => {
  const { registry, admissions } = createGatewayMetrics({
    inProgress: () => 0,
    waitingRequests: () => new Map([[2, 7]]),
    configurationVersion: () => 1,
    configurationAgeSeconds: () => 0,
    serverListAgeSeconds: () => 0,
    servers: () => new Map(),
    cutOffServices: () => [],
    classLevels: () => new Map(),
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
