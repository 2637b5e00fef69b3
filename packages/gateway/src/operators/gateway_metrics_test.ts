import { describe, expect, it } from "vitest";
import { createGatewayMetrics } from "./gateway_metrics.ts";

describe("metrics of the gateway", () => {
  it("show limits and needs of failure domains as far as they are known", async () => {
    const { registry } = createGatewayMetrics({
      inProgress: () => 0,
      configurationVersion: () => 0,
      configurationAgeSeconds: () => 0,
      serverListAgeSeconds: () => 0,
      servers: () => new Map(),
      cutOffServices: () => [],
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
});
