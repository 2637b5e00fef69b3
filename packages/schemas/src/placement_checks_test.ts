import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { settingsSchema } from "./settings.ts";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const example = fileURLToPath(
  new URL("../../../examples/kanem.yaml", import.meta.url),
);
const engine1 = `    accelerator: fast
    checksFencing: true
    roles: [{ model: assist, layers: { from: 0, to: 32 } }]`;
const withoutRoles = `    accelerator: fast
    checksFencing: true`;
const placement = `
placement:
  accelerators:
    - { name: fast, memoryMegabytes: 80000, batchMs: 2, layerMs: 0.8 }
  models:
    - { model: drafts, layerMegabytes: 900, kvMegabytes: 400 }
`;

/** Problems of the example with the first engine and a part put in. */
function problemsWith(engine: string, part: string): readonly string[] {
  const text = readFileSync(example, "utf8").replace(engine1, engine) + part;
  const result = parseYamlFile(settingsSchema, { text, file: "kanem.yaml" });
  if (result.kind === "valid") return [];
  return result.problems
    .map(formatProblem)
    .map((line) => line.replace(/^kanem.yaml:\d+: /, ""));
}

describe("settings of placement", () => {
  it("fit engines without roles, beside others with roles", () => {
    expect(problemsWith(withoutRoles, placement)).toEqual([]);
  });

  it("need a model for engines without roles", () => {
    expect(problemsWith(withoutRoles, "")).toEqual([
      "engines[0].roles: expected a role, or a model in placement.models",
    ]);
  });

  it("need engines without roles for a model", () => {
    expect(problemsWith(engine1, placement)).toEqual([
      "placement.models: expected an engine without roles for these models",
    ]);
  });

  it("need to know an accelerator that is placed on", () => {
    const other = withoutRoles.replace("fast", "slow");
    expect(problemsWith(other, placement)).toEqual([
      "engines[0].accelerator: expected one of placement.accelerators, not 'slow'",
    ]);
  });

  it("do not place a model that has fixed ranges", () => {
    const [first] = problemsWith(
      withoutRoles,
      placement.replace("drafts", "assist"),
    );
    expect(first).toBe(
      "engines[1].roles[0].model: expected a model that placement.models does not name, not 'assist'",
    );
  });

  it("name each accelerator and model once", () => {
    const twice = placement
      .replace(/( +- \{ name: fast.*\n)/, "$1$1")
      .replace(/( +- \{ model: drafts.*\n)/, "$1$1");
    expect(problemsWith(withoutRoles, twice)).toEqual([
      "placement.accelerators[1].name: expected a name that no other accelerator has",
      "placement.models[1].model: expected a model that is not placed already",
    ]);
  });

  it("refuse memory, times and shares that mean nothing", () => {
    const wrong = placement
      .replace("memoryMegabytes: 80000", "memoryMegabytes: 0")
      .replace("layerMs: 0.8", "layerMs: 0")
      .replace("kvMegabytes: 400", "kvMegabytes: -1, versionsAtOnce: 0");
    expect(problemsWith(withoutRoles, wrong)).toHaveLength(4);
  });
});
