import { readdirSync, readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { formatProblem, parseYamlFile } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { scenarioSchema } from "./scenario_schema.ts";

const FOLDER = fileURLToPath(new URL("../../../scenarios/", import.meta.url));

function problemsOf(text: string, file = "a.yaml"): string[] {
  const result = parseYamlFile(scenarioSchema, { text, file });
  return result.kind === "valid" ? [] : result.problems.map(formatProblem);
}

function scenarioWith(change: { steps?: string; promises?: string }): string {
  const { steps = "  - wait: 1", promises = "  - answers_true" } = change;
  return [
    "name: one",
    "story: told",
    "cast: {}",
    "steps:",
    steps,
    "promises:",
    promises,
    "",
  ].join("\n");
}

describe("the scenario language", () => {
  it.each(readdirSync(FOLDER))("reads %s", (file) => {
    const text = readFileSync(`${FOLDER}${file}`, "utf8");
    expect(problemsOf(text, file)).toEqual([]);
  });

  it("names file, line and key of each mistake", () => {
    const mistakes = {
      "an unknown step": scenarioWith({ steps: "  - explode: engine-1" }),
      "a wait that is no number": scenarioWith({ steps: "  - wait: long" }),
      "an unknown promise": scenarioWith({ promises: "  - all_is_well" }),
      "no promise at all": scenarioWith({ promises: "  []" }),
      "a race of one": scenarioWith({
        steps: "  - wait: 1\n  - race:\n      - wait: 1",
      }),
      "an unknown key": `${scenarioWith({})}colour: red\n`,
      "broken YAML": "name: [one\nstory: told\n",
    };
    const told = Object.entries(mistakes).map(([mistake, text]) => [
      mistake,
      ...problemsOf(text),
    ]);
    expect(told).toMatchSnapshot();
    for (const [mistake, first] of told) {
      expect(first, mistake).toMatch(/^a\.yaml:\d+: /);
    }
  });
});
