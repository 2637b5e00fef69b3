#!/usr/bin/env node
/** Entry of `npm run check:guards`: each guard must be held by its test. */
import { fileURLToPath } from "node:url";
import meow from "meow";
import { type Guard, readGuards, switchOff } from "./guards/guard_list.ts";
import { createScratchCopy, type ScratchCopy } from "./guards/scratch_copy.ts";

/** Tests of a guard wait for times that a crowded machine would break. */
const MOST_JOBS = 4;

const root = fileURLToPath(new URL("../../..", import.meta.url));

const command = meow(
  `
  Usage
    $ npm run check:guards -- [--only PART_OF_FILE_OR_NAME] [--jobs N]

  Options
    --jobs N  guards that are tried at once, 1 to 4; 3 by default

  Exit codes
    0  each test passes with its guard and fails without it
    1  some guard is not held by its test
`,
  {
    importMeta: import.meta,
    flags: {
      only: { type: "string", default: "" },
      jobs: { type: "number", default: 3 },
    },
  },
);

type Finding = "held" | "test does not pass" | "NOT HELD";

async function tryGuard(guard: Guard, copy: ScratchCopy): Promise<Finding> {
  const { file, testFile, test } = guard;
  const source = copy.read(file);
  const without = switchOff(guard, source);
  const named = { file: testFile, name: test };
  const on = await copy.runTest(named);
  if (on.passed === 0 || on.failed > 0) return "test does not pass";
  copy.write(file, without);
  const off = await copy.runTest(named);
  copy.write(file, source);
  return off.failed > 0 ? "held" : "NOT HELD";
}

const guards = readGuards(`${root}packages/checks/guards.yaml`).filter(
  ({ name, file }) => `${file} ${name}`.includes(command.flags.only),
);
/** Tries guards from a common queue, one after the other. */
async function work(queue: Iterator<Guard>): Promise<readonly Finding[]> {
  const copy = createScratchCopy(root);
  process.once("exit", () => copy.remove());
  const findings: Finding[] = [];
  for (let next = queue.next(); !next.done; next = queue.next()) {
    const { name, testFile, test } = next.value;
    const finding = await tryGuard(next.value, copy);
    findings.push(finding);
    console.log(`${finding}  ${name}  (${testFile}: ${test})`);
  }
  return findings;
}

process.once("SIGINT", () => process.exit(1));
process.once("SIGTERM", () => process.exit(1));
const startedAt = performance.now();
const jobs = Math.min(MOST_JOBS, Math.max(1, command.flags.jobs));
const queue = guards.values();
const workers = Array.from({ length: jobs }, () => work(queue));
const findings = (await Promise.all(workers)).flat();
const held = findings.filter((finding) => finding === "held").length;
const seconds = Math.round((performance.now() - startedAt) / 1_000);
console.log(
  `guards: ${guards.length}, held by their tests: ${held}, ` +
    `not held: ${guards.length - held}, in ${seconds} s with ${jobs} at once`,
);
process.exitCode = held === guards.length && held > 0 ? 0 : 1;
