#!/usr/bin/env node
/** Entry of `npm run check:bookings`: seeded histories of bookings. */
import meow from "meow";
import {
  type HistoryResult,
  type HistorySize,
  runHistory,
  sizeOf,
} from "./bookings/history.ts";
import { isBroken } from "./bookings/judge.ts";

const SEED_STRIDE = 1_000_003;
const LARGEST_SEED = 2 ** 31 - 1;
/** Seeds near a broken one that are tried for a shorter history. */
const SHRINK_SEEDS = 10;

const command = meow(
  `
  Usage
    $ npm run check:bookings -- --runs 1000 --seed 1

  Exit codes
    0  no booking ran twice and no not_run was untrue
    1  something broke; its shortest history is printed
`,
  {
    importMeta: import.meta,
    flags: {
      runs: { type: "number", default: 1_000 },
      seed: { type: "number", default: 1 },
    },
  },
);

const { runs, seed } = command.flags;
const total = {
  doubleRuns: 0,
  falseNotRun: 0,
  wrongAnswers: 0,
  stuck: 0,
  unresolved: 0,
};
let firstBroken: HistoryResult | null = null;
console.log(`seed: ${seed}, runs: ${runs}`);
for (let run = 0; run < runs; run++) {
  const result = await runHistory(sizeOf(seedOf(run)));
  total.doubleRuns += result.doubleRuns;
  total.falseNotRun += result.falseNotRun;
  total.wrongAnswers += result.wrongAnswers;
  total.stuck += result.stuck;
  total.unresolved += result.unresolved;
  if (isBroken(result)) firstBroken ??= result;
}
if (firstBroken) print(await shrink(firstBroken));
console.log(`wrong answers: ${total.wrongAnswers}, stuck: ${total.stuck}`);
console.log(
  `double runs: ${total.doubleRuns}, false not_run: ${total.falseNotRun}, unresolved: ${total.unresolved}`,
);
process.exitCode = firstBroken ? 1 : 0;

function seedOf(run: number): number {
  return (seed * SEED_STRIDE + run) % LARGEST_SEED;
}

/** Tries smaller histories, and keeps the shortest that still breaks. */
async function shrink(broken: HistoryResult): Promise<HistoryResult> {
  let shortest = broken;
  for (const size of smallerSizes(broken.size)) {
    const result = await runHistory(size);
    const isShorter = result.events.length < shortest.events.length;
    if (isBroken(result) && isShorter) shortest = result;
  }
  return shortest;
}

function* smallerSizes(size: HistorySize): Generator<HistorySize> {
  for (let shift = 0; shift < SHRINK_SEEDS; shift++) {
    for (let callsPerKey = 1; callsPerKey <= size.callsPerKey; callsPerKey++) {
      for (let faults = 0; faults <= size.faults; faults++) {
        const seed = (size.seed + shift) % LARGEST_SEED;
        yield { ...size, seed, instances: 2, keys: 1, callsPerKey, faults };
      }
    }
  }
}

function print({ size, events, ...verdict }: HistoryResult): void {
  console.log(`shortest history that broke: ${JSON.stringify(size)}`);
  for (const event of events) console.log(`  ${event}`);
  console.log(`  ${JSON.stringify(verdict)}`);
}
