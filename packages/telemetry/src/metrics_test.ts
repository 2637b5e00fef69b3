import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { createMetrics } from "./metrics.ts";

const page = readFileSync(
  fileURLToPath(new URL("../../../docs/OPERATIONS.md", import.meta.url)),
  "utf8",
);

describe("docs/OPERATIONS.md", () => {
  const metrics = createMetrics().registry.getMetricsAsArray();

  it.each(metrics.map(({ name }) => name))("lists %s", (name) => {
    expect(page).toContain(`\`${name}\``);
  });

  it("lists no metric that is not there", () => {
    const names = new Set(metrics.map(({ name }) => name));
    const listed = [...page.matchAll(/^\| `(rosemarypin_\w+)`/gm)];
    for (const [, name = ""] of listed) expect(names).toContain(name);
  });
});

it("no metric has a label that grows with the organisations", () => {
  // A label of an organisation makes a series for each of 6,400, in each
  // histogram and for each model: the page grows to megabytes, and scraping
  // it holds up answers.
  for (const metric of createMetrics().registry.getMetricsAsArray()) {
    const { labelNames } = metric as unknown as { labelNames: string[] };
    expect(labelNames).not.toContain("organisation");
  }
});
