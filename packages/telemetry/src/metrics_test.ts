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
