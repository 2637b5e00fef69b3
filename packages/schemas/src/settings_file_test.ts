import { describe, expect, it } from "vitest";
import { z } from "zod";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const schema = z.strictObject({
  name: z.string(),
  ports: z.array(z.strictObject({ port: z.number() })),
});

function problemsOf(text: string): string[] {
  const result = parseYamlFile(schema, { text, file: "a.yaml" });
  return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

describe("errors in a settings file", () => {
  it("name file, line, key and what was expected", () => {
    const text = "name: x\nports:\n  - port: 1\n  - port: high\n";
    expect(problemsOf(text)).toMatchInlineSnapshot(`
      [
        "a.yaml:4: ports[1].port: Invalid input: expected number, received string",
      ]
    `);
  });

  it("name the line of broken YAML", () => {
    expect(problemsOf("name: [x\nports: 1\n")[0]).toMatch(/^a\.yaml:\d+: /);
  });

  it("name an unknown key", () => {
    const text = "name: x\nports: []\nprots: []\n";
    expect(problemsOf(text)[0]).toContain("prots");
  });
});
