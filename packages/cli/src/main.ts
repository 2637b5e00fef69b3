#!/usr/bin/env node
/** Entry of `rosemarypin`. */
import meow from "meow";
import { createOutput } from "./output.ts";
import { overview, runCommand } from "./run_command.ts";

const { input, flags } = meow(overview(), {
  importMeta: import.meta,
  autoHelp: false,
  allowUnknownFlags: false,
  booleanDefault: undefined,
  flags: {
    admin: { type: "string", default: process.env.ROSEMARYPIN_ADMIN ?? "" },
    json: { type: "boolean" },
    help: { type: "boolean" },
    reason: { type: "string" },
    publishId: { type: "string" },
    timeout: { type: "number" },
    adapter: { type: "string" },
    service: { type: "boolean" },
    html: { type: "string" },
    top: { type: "number" },
    outcomes: { type: "string" },
  },
});

const { reason, publishId, timeout, adapter, service, html, top, outcomes } =
  flags;

process.exitCode = await runCommand(input, {
  output: createOutput({ json: flags.json }),
  help: flags.help ?? false,
  adminUrls: flags.admin.split(",").filter((url) => url !== ""),
  key: process.env.ROSEMARYPIN_ADMIN_KEY ?? "",
  flags: { reason, publishId, timeout, adapter, service, html, top, outcomes },
});
