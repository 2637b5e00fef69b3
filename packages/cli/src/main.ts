#!/usr/bin/env node
/** Entry of `rosemarypin`. */
import meow from "meow";
import { createOutput } from "./output.ts";
import { overview, runCommand } from "./run_command.ts";

const DEFAULT_WAIT_SECONDS = 60;

const { input, flags } = meow(overview(), {
  importMeta: import.meta,
  autoHelp: false,
  flags: {
    admin: { type: "string", default: process.env.ROSEMARYPIN_ADMIN ?? "" },
    json: { type: "boolean", default: false },
    help: { type: "boolean", default: false },
    reason: { type: "string" },
    publishId: { type: "string" },
    timeout: { type: "number", default: DEFAULT_WAIT_SECONDS },
  },
});

process.exitCode = await runCommand(input, {
  output: createOutput({ json: flags.json || !process.stdout.isTTY }),
  help: flags.help,
  adminUrls: flags.admin.split(",").filter((url) => url !== ""),
  key: process.env.ROSEMARYPIN_ADMIN_KEY ?? "",
  flags: {
    reason: flags.reason,
    publishId: flags.publishId,
    timeout: flags.timeout,
  },
});
