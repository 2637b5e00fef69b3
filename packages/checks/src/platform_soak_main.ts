#!/usr/bin/env node
/** Entry of `npm run soak:platform`: random faults on the real program. */
import { rmSync } from "node:fs";
import meow from "meow";
import { describeGroups } from "./platform_soak/judges.ts";
import {
  ALL_FAULTS,
  runPlatformSoak,
  type SoakFault,
} from "./platform_soak/soak_run.ts";
import { createSeededRandom } from "./seeded_random.ts";

const command = meow(
  `
  Usage
    $ npm run soak:platform -- --seeds 50 --first 1 --seconds 30
    $ npm run soak:platform -- --faults burst,stop_instance

  Exit codes
    0  every promise held, and each kind of request was answered
    1  a promise broke or was not shown; seed, faults and logs are named
`,
  {
    importMeta: import.meta,
    flags: {
      seeds: { type: "number", default: 1 },
      first: { type: "number", default: 1 },
      seconds: { type: "number", default: 30 },
      faults: { type: "string", default: ALL_FAULTS.join(",") },
    },
  },
);

const { seeds, first, seconds } = command.flags;
const names = command.flags.faults.split(",");
const [fault, ...more] = ALL_FAULTS.filter((name) => names.includes(name));
if (!fault || names.length !== more.length + 1) command.showHelp(1);
const faults: [SoakFault, ...SoakFault[]] = [fault ?? "burst", ...more];
for (let seed = first; seed < first + seeds; seed += 1) {
  const random = createSeededRandom(seed);
  const result = await runPlatformSoak(random, seconds * 1_000, faults);
  const answered = (kind: string) =>
    result.calls.filter(
      ({ kind: of, answer }) => of === kind && answer.status === 200,
    ).length;
  const kinds = ["stream", "order", "lookup"] as const;
  const counts = kinds.map((kind) => `${kind} ${answered(kind)}`).join(", ");
  const isShown = kinds.every((kind) => answered(kind) > 0);
  console.log(
    `seed ${seed}: ${result.faults.length} faults, ${result.calls.length} ` +
      `calls, ${result.ahead.length} ahead, answered ${counts}, handed off ${result.handedOff}, ` +
      `broken ${result.broken.length}`,
  );
  for (const line of describeGroups(result.calls)) console.log(`  ${line}`);
  if (result.broken.length === 0 && isShown) {
    rmSync(result.folder, { recursive: true });
    continue;
  }
  process.exitCode = 1;
  console.log(`  logs in ${result.folder}; faults: ${result.faults.join(" ")}`);
  for (const line of result.broken.slice(0, 10)) console.log(`  ${line}`);
}
// Stand-ins that were silenced may still hold connections open.
process.exit(process.exitCode ?? 0);
