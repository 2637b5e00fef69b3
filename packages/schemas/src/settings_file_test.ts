import { describe, expect, it } from "vitest";
import { z } from "zod";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const schema = z.strictObject({
  name: z.string(),
  ports: z.array(z.strictObject({ port: z.number() })),
});

function findProblems(text: string): string[] {
  const result = parseYamlFile(schema, { text, file: "a.yaml" });
  return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

describe("parsing of a settings file", () => {
  it("reports the file, line, key and expected value of an error", () => {
    const text = "name: x\nports:\n  - port: 1\n  - port: high\n";
    expect(findProblems(text)).toMatchInlineSnapshot(`
      [
        "a.yaml:4: ports[1].port: Invalid input: expected number, received string",
      ]
    `);
  });

  it("reports the line of a YAML syntax error", () => {
    expect(findProblems("name: [x\nports: 1\n")[0]).toMatch(/^a\.yaml:\d+: /);
  });

  it("reports an unknown key by its name", () => {
    const text = "name: x\nports: []\nprots: []\n";
    expect(findProblems(text)[0]).toContain("prots");
  });
});
