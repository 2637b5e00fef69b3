import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { createMetrics } from "./metrics.ts";

const page = readFileSync(
  fileURLToPath(new URL("../../../docs/OPERATIONS.md", import.meta.url)),
  "utf8",
);

describe("metrics in docs/OPERATIONS.md", () => {
  const metrics = createMetrics().registry.getMetricsAsArray();

  it.each(metrics.map(({ name }) => name))("include %s", (name) => {
    expect(page).toContain(`\`${name}\``);
  });

  it("include no metric that does not exist", () => {
    const names = new Set(metrics.map(({ name }) => name));
    const listed = [...page.matchAll(/^\| `(rosemarypin_\w+)`/gm)];
    for (const [, name = ""] of listed) expect(names).toContain(name);
  });
});

it("metrics have no label for the organisation", () => {
  // Such a label creates a series per organisation (6,400), model and
  // histogram. The metrics response grows to megabytes, and producing it
  // delays answers.
  for (const metric of createMetrics().registry.getMetricsAsArray()) {
    const { labelNames } = metric as unknown as { labelNames: string[] };
    expect(labelNames).not.toContain("organisation");
  }
});
