#!/usr/bin/env node
/** Entry of `npm run bench -- NAME`. */
import { benchCommands } from "./bench_command.ts";

const EXIT_USAGE = 2;

/** What runs when no name is given, as in `npm run bench -- --compare FILE`. */
const DEFAULT = "throughput";

const given = process.argv.slice(2);
const isNamed = given[0] !== undefined && !given[0].startsWith("-");
const [name = DEFAULT, ...words] = isNamed ? given : [DEFAULT, ...given];
const load = benchCommands[name];
if (load) {
  const command = await load();
  process.exitCode = await command.run(words);
} else {
  const names = Object.keys(benchCommands).join(", ");
  console.error(`say what to measure: npm run bench -- NAME (${names})`);
  process.exitCode = EXIT_USAGE;
}
