#!/usr/bin/env node
/** A daemon with a baseline in the place of today's router. */
import { readFileSync } from "node:fs";
import { startDaemon } from "@rosemarypin/daemon";
import { parseYamlFile, settingsSchema } from "@rosemarypin/schemas";
import meow from "meow";
import {
  type BaselineName,
  baselineNames,
  createBaselineRouter,
} from "./baseline_router.ts";

const { flags } = meow("Usage: baseline --settings FILE --policy NAME", {
  importMeta: import.meta,
  flags: {
    settings: { type: "string", isRequired: true },
    policy: { type: "string", isRequired: true, choices: [...baselineNames] },
  },
});

const file = flags.settings;
const text = readFileSync(file, "utf8");
const settings = parseYamlFile(settingsSchema, { text, file });
if (settings.kind === "invalid") throw new Error("the settings are not valid");
const daemon = await startDaemon(settings.value, {
  createRouter: ({ fleet }) =>
    createBaselineRouter(flags.policy as BaselineName, { fleet }),
});
process.on("SIGTERM", () => void daemon.stop().then(() => process.exit(0)));
