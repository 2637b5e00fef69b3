import { readFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import { describe, expect, it } from "vitest";
import { settingsSchema } from "./settings.ts";
import { formatProblem, parseYamlFile } from "./settings_file.ts";

const example = fileURLToPath(
  new URL("../../../examples/kanem.yaml", import.meta.url),
);
const firstEngine = `    accelerator: fast
    checksFencing: true
    roles: [{ model: assist, layers: { from: 0, to: 32 } }]`;
const firstEngineWithoutRoles = `    accelerator: fast
    checksFencing: true`;
const placementSection = `
placement:
  accelerators:
    - { name: fast, memoryMegabytes: 80000, batchMs: 2, layerMs: 0.8 }
  models:
    - { model: drafts, layerMegabytes: 900, kvMegabytes: 400 }
`;

/** Problems of the example with the first engine replaced and text appended. */
function problemsWith(
  engineText: string,
  appendedText: string,
): readonly string[] {
  const text =
    readFileSync(example, "utf8").replace(firstEngine, engineText) +
    appendedText;
  const result = parseYamlFile(settingsSchema, { text, file: "kanem.yaml" });
  if (result.kind === "valid") return [];
  return result.problems
    .map(formatProblem)
    .map((line) => line.replace(/^kanem.yaml:\d+: /, ""));
}

describe("placement checks", () => {
  it("accept engines without roles beside engines with roles", () => {
    expect(problemsWith(firstEngineWithoutRoles, placementSection)).toEqual([]);
  });

  it("refuse engines without roles when no model is placed", () => {
    expect(problemsWith(firstEngineWithoutRoles, "")).toEqual([
      "engines[0].roles: expected a role, or a model in placement.models",
    ]);
  });

  it("refuse a placed model when all engines have roles", () => {
    expect(problemsWith(firstEngine, placementSection)).toEqual([
      "placement.models: expected an engine without roles for these models",
    ]);
  });

  it("refuse an engine without roles whose accelerator is not listed", () => {
    const unknownAccelerator = firstEngineWithoutRoles.replace("fast", "slow");
    expect(problemsWith(unknownAccelerator, placementSection)).toEqual([
      "engines[0].accelerator: expected one of placement.accelerators, not 'slow'",
    ]);
  });

  it("refuse a placed model that has roles on an engine", () => {
    const [first] = problemsWith(
      firstEngineWithoutRoles,
      placementSection.replace("drafts", "assist"),
    );
    expect(first).toBe(
      "engines[1].roles[0].model: expected a model that placement.models does not name, not 'assist'",
    );
  });

  it("refuse a second accelerator or model of the same name", () => {
    const withDuplicates = placementSection
      .replace(/( +- \{ name: fast.*\n)/, "$1$1")
      .replace(/( +- \{ model: drafts.*\n)/, "$1$1");
    expect(problemsWith(firstEngineWithoutRoles, withDuplicates)).toEqual([
      "placement.accelerators[1].name: expected a name that no other accelerator has",
      "placement.models[1].model: expected a model that no other entry of placement.models has",
    ]);
  });

  it("refuse memory sizes, times and counts out of range", () => {
    const invalidSection = placementSection
      .replace("memoryMegabytes: 80000", "memoryMegabytes: 0")
      .replace("layerMs: 0.8", "layerMs: 0")
      .replace("kvMegabytes: 400", "kvMegabytes: -1, versionsAtOnce: 0");
    expect(problemsWith(firstEngineWithoutRoles, invalidSection)).toHaveLength(
      4,
    );
  });
});
