#!/usr/bin/env node
/** Entry of `npm run scenario -- FILE --seed N`. */
import { readFileSync } from "node:fs";
import { formatProblem, parseYamlFile } from "@rosemarypin/schemas";
import meow from "meow";
import type { Verdict } from "./promises.ts";
import { hasHeld, runScenario, type ScenarioResult } from "./run_scenario.ts";
import { type Scenario, scenarioSchema } from "./scenario_schema.ts";

const EXIT_BROKEN = 1;
const EXIT_BAD_FILE = 2;

const { input, flags } = meow("Usage: npm run scenario -- FILE... [--seed N]", {
  importMeta: import.meta,
  flags: { seed: { type: "number", default: 1 } },
});

function readScenario(file: string): Scenario {
  const text = readFileSync(file, "utf8");
  const result = parseYamlFile(scenarioSchema, { text, file });
  if (result.kind === "valid") return result.value;
  for (const problem of result.problems) console.error(formatProblem(problem));
  process.exit(EXIT_BAD_FILE);
}

/** A promise about which a run saw nothing is not shown by it. */
function stateOf(
  verdict: Pick<Verdict, "broken" | "judged">,
): "held" | "BROKEN" | "NOT SHOWN" {
  if (verdict.broken !== null) return "BROKEN";
  return verdict.judged > 0 ? "held" : "NOT SHOWN";
}

function report(name: string, result: ScenarioResult): void {
  for (const { promise, broken, judged } of result.verdicts) {
    const state = stateOf({ broken, judged });
    console.log(
      `${state}  ${name}  ${promise}  judged ${judged}${broken ? `: ${broken}` : ""}`,
    );
  }
  if (result.stuck) console.log(`STUCK  ${name}  ${result.stuck}`);
  if (hasHeld(result)) return;
  console.log(`seed ${flags.seed}; logs in ${result.folder}; timeline:`);
  for (const { at, what } of result.seen.timeline) {
    console.log(`  ${Math.round(at)} ms  ${what}`);
  }
}

for (const file of input) {
  const scenario = readScenario(file);
  const result = await runScenario(scenario, { seed: flags.seed });
  report(scenario.name, result);
  if (!hasHeld(result)) process.exitCode = EXIT_BROKEN;
}
