/**
 * Prints how many lines of TypeScript each package has, which share of them
 * are tests, and which share is the core: routing, limits, retries,
 * membership, state and recovery.
 */
import { execFileSync } from "node:child_process";
import { readFileSync } from "node:fs";

const CORE = new Set([
  "backends",
  "calls",
  "membership",
  "placement",
  "platform",
  "release",
  "routing",
]);

const files = execFileSync("git", ["ls-files", "packages/*.ts"], {
  encoding: "utf8",
})
  .trim()
  .split("\n");

const totals = new Map();
for (const file of files) {
  const name = file.split("/")[1] ?? "";
  const lines = readFileSync(file, "utf8").split("\n").length - 1;
  const total = totals.get(name) ?? { code: 0, tests: 0 };
  if (file.endsWith("_test.ts")) total.tests += lines;
  else total.code += lines;
  totals.set(name, total);
}

let code = 0;
let tests = 0;
let core = 0;
for (const [name, total] of totals) {
  code += total.code;
  tests += total.tests;
  if (CORE.has(name)) core += total.code;
  const mark = CORE.has(name) ? "core" : "";
  console.log(
    `${name.padEnd(12)} code ${String(total.code).padStart(6)}  tests ${String(total.tests).padStart(6)}  ${mark}`.trimEnd(),
  );
}
const percent = (part, whole) => `${((100 * part) / whole).toFixed(1)}%`;
console.log(`lines ${code + tests}: tests ${percent(tests, code + tests)}`);
console.log(`code ${code}: core ${percent(core, code)}`);
