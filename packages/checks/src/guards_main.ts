#!/usr/bin/env node
/** Entry of `npm run check:guards`: each guard must be held by its test. */
import { fileURLToPath } from "node:url";
import meow from "meow";
import { type Guard, readGuards, switchOff } from "./guards/guard_list.ts";
import { createScratchCopy, type ScratchCopy } from "./guards/scratch_copy.ts";

const root = fileURLToPath(new URL("../../..", import.meta.url));

const command = meow(
  `
  Usage
    $ npm run check:guards -- [--only PART_OF_FILE_OR_NAME]

  Exit codes
    0  each test passes with its guard and fails without it
    1  some guard is not held by its test
`,
  {
    importMeta: import.meta,
    flags: { only: { type: "string", default: "" } },
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
const copy = createScratchCopy(root);
process.once("SIGINT", () => process.exit(1));
process.once("exit", () => copy.remove());
let held = 0;
for (const guard of guards) {
  const finding = await tryGuard(guard, copy);
  if (finding === "held") held += 1;
  console.log(`${finding}  ${guard.name}  (${guard.testFile}: ${guard.test})`);
}
console.log(`guards: ${guards.length}, held by their tests: ${held}`);
process.exitCode = held === guards.length && held > 0 ? 0 : 1;
