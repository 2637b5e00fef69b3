#!/usr/bin/env node
/** Entry of `rosemarypind`. */
import { readFileSync } from "node:fs";
import { formatProblem, type Settings } from "@rosemarypin/schemas";
import {
  createLogger,
  enableDefaultLogs,
  writeLogsToOutput,
} from "@rosemarypin/telemetry";
import meow from "meow";
import { startDaemon } from "./daemon.ts";
import { parseSettings } from "./settings_reader.ts";

const EXIT_NOT_STARTED = 1;
const EXIT_BAD_SETTINGS = 2;
const EXIT_WORK_CUT = 3;
/** One wrong habit in a file of 6,400 organisations fills no terminal. */
const LARGEST_PROBLEM_COUNT = 50;

/** Time for the last lines of the log when the process ends. */
const LAST_LINES_MS = 200;

const log = createLogger("daemon");

const command = meow(
  `
  Usage
    $ rosemarypind --settings FILE [--check]

  Options
    --settings FILE  settings in YAML
    --check          only check the settings

  Exit codes
    0  stopped with all work ended, or the settings are valid
    1  could not start, such as when one of instance.addresses is in use;
       the line not_started names it
    2  the settings are not valid, or a flag is unknown
    3  stopped, but the grace time cut work in progress
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      settings: { type: "string", isRequired: true },
      check: { type: "boolean", default: false },
    },
  },
);

async function readSettings(file: string): Promise<Settings> {
  const result = await parseSettings({ text: readText(file), file });
  if (result.kind === "valid") return result.value;
  for (const problem of result.problems.slice(0, LARGEST_PROBLEM_COUNT)) {
    console.error(formatProblem(problem));
  }
  const more = result.problems.length - LARGEST_PROBLEM_COUNT;
  if (more > 0) console.error(`${file}: ${more} more problems`);
  process.exit(EXIT_BAD_SETTINGS);
}

function readText(file: string): string {
  try {
    return readFileSync(file, "utf8");
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    console.error(`${file}:1: (whole file): cannot be read: ${reason}`);
    process.exit(EXIT_BAD_SETTINGS);
  }
}

const settings = await readSettings(command.flags.settings);
if (command.flags.check) {
  console.log(`${command.flags.settings}: valid`);
  process.exit(0);
}
enableDefaultLogs();
const output = writeLogsToOutput();
const daemon = await startDaemon(settings).catch(async (error: unknown) => {
  const reason = error instanceof Error ? error.message : String(error);
  log.warn("not_started", { reason });
  await output.flush(LAST_LINES_MS);
  process.exit(EXIT_NOT_STARTED);
});

let stopping = false;
for (const signal of ["SIGTERM", "SIGINT"] as const) {
  process.on(signal, () => {
    if (stopping) return;
    stopping = true;
    log.info("stopping", { signal });
    void daemon.stop().then(async (ended) => {
      await output.flush(LAST_LINES_MS);
      process.exit(ended ? 0 : EXIT_WORK_CUT);
    });
  });
}
