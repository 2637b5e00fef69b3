import { expect, it } from "vitest";
import { createMetrics } from "./metrics.ts";

it("have no label that grows with the organisations", async () => {
  // A label of an organisation makes a series for each of 6,400, in each
  // histogram and for each model: the page grows to megabytes, and scraping
  // it holds up answers.
  const { registry } = createMetrics();
  for (const metric of registry.getMetricsAsArray()) {
    const { labelNames } = metric as unknown as { labelNames: string[] };
    expect(labelNames).not.toContain("organisation");
  }
});
