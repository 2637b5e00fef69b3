#!/usr/bin/env node
/** Entry of a stand-in process: `--settings FILE` says which one. */
import { readFileSync } from "node:fs";
import {
  type Address,
  formatProblem,
  parseYamlFile,
} from "@rosemarypin/schemas";
import meow from "meow";
import { startBalancer } from "./balancer.ts";
import { startEngine } from "./engine/engine.ts";
import { startInstanceList } from "./instance_list.ts";
import { startPlainService } from "./plain_service.ts";
import {
  type StandInSettings,
  standInSettingsSchema,
} from "./stand_in_settings.ts";
import { startWeightStore } from "./weight_store.ts";

const EXIT_BAD_SETTINGS = 2;

const command = meow("Usage: stand_in --settings FILE", {
  importMeta: import.meta,
  flags: { settings: { type: "string", isRequired: true } },
});

const file = command.flags.settings;
const text = readFileSync(file, "utf8");
const result = parseYamlFile(standInSettingsSchema, { text, file });
if (result.kind === "invalid") {
  for (const problem of result.problems) console.error(formatProblem(problem));
  process.exit(EXIT_BAD_SETTINGS);
}
await start(result.value);

/** Loaded on demand: no other stand-in needs the platform's protocols. */
async function startObjectApi(place: Address) {
  const { startStore } = await import("@rosemarypin/platform/stand_in");
  return startStore(place);
}

function start(settings: StandInSettings) {
  const { host, port } = settings.address;
  switch (settings.kind) {
    case "engine":
      return startEngine(settings);
    case "object_api":
      return startObjectApi(settings.address);
    case "instance_list": {
      const { lagMs, initial } = settings;
      return startInstanceList({ host, port, lagMs, initial });
    }
    case "weight_store": {
      const { megabytesPerSecond } = settings;
      return startWeightStore({ host, port, megabytesPerSecond });
    }
    case "balancer": {
      const { instances, checkEveryMs } = settings;
      return startBalancer({ host, port, instances, checkEveryMs });
    }
    case "service": {
      const { id, journalFile } = settings;
      return startPlainService({ host, port, id, journalFile });
    }
  }
}
