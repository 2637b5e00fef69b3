#!/usr/bin/env node
/** Entry of `npm run bench -- NAME`. */
import { benchCommands } from "./bench_command.ts";

const EXIT_USAGE = 2;

const [name = "", ...words] = process.argv.slice(2);
const load = benchCommands[name];
if (load) {
  const command = await load();
  process.exitCode = await command.run(words);
} else {
  const names = Object.keys(benchCommands).join(", ");
  console.error(`say what to measure: npm run bench -- NAME (${names})`);
  process.exitCode = EXIT_USAGE;
}
