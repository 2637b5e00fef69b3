#!/usr/bin/env node
/** Entry of `npm run check:answers`. */
import meow from "meow";
import { runAnswers } from "./answer_run.ts";

const command = meow("Usage: check:answers -- [--runs N] [--seed N]", {
  importMeta: import.meta,
  flags: {
    runs: { type: "number", default: 500 },
    seed: { type: "number", default: 1 },
  },
});

const { runs, seed } = command.flags;
console.log(`seed ${seed}, ${runs} answers`);
const report = await runAnswers({ runs, seed });
const shortest = [...report.broken].sort(
  (a, b) => a.history.length - b.history.length,
)[0];
if (shortest) {
  console.log(`shortest broken answer: ${shortest.breaks.join("; ")}`);
  for (const line of shortest.history) console.log(`  ${line}`);
}
const { broken, recoveries, resumed, notRun, lost, faults, imports } = report;
console.log(
  `faults: ${faults}, imports: ${imports}, resumed: ${resumed}, ` +
    `lost with engine and connection: ${lost}, refused as not run: ${notRun}`,
);
console.log(`broken answers: ${broken.length}, recoveries: ${recoveries}`);
process.exit(broken.length === 0 ? 0 : 1);
