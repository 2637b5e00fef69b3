/** One engine stand-in in a process of its own, for measurements. */

import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import type { createProcessGroup } from "@rosemarypin/launcher";
import { claimPorts } from "@rosemarypin/ports";
import { type EngineSettings, formatAddress } from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";
import { request } from "undici";
import { MODEL, VERSION } from "./entry.ts";

const BATCH_SIZE = 10_000;
const ASK_AGAIN_MS = 50;

const standInScript = fileURLToPath(
  import.meta.resolve("@rosemarypin/stand_ins").replace("mod.js", "main.js"),
);

/** Where an engine process starts, and how fast it is. */
export interface EngineProcessOptions {
  readonly folder: string;
  readonly processes: ReturnType<typeof createProcessGroup>;
  readonly layers: number;
  /** One token for each stream in this time. */
  readonly batchMs: number;
}

/** Starts an engine that holds the whole model; resolves once it does. */
export async function startEngineProcess(
  id: string,
  options: EngineProcessOptions,
): Promise<EngineSettings> {
  const { folder, processes, batchMs } = options;
  const [port = 0] = await claimPorts(1);
  const layers = { from: 0, to: options.layers };
  const engine: EngineSettings = {
    id,
    failureDomain: "domain-1",
    address: { host: "127.0.0.1", port },
    accelerator: "stand-in",
    checksFencing: true,
    roles: [{ model: MODEL, layers }],
  };
  const speed = { batchMs, layerMicros: 0, batchSize: BATCH_SIZE };
  const file = join(folder, `${id}.yaml`);
  writeFileSync(file, JSON.stringify({ kind: "engine", ...engine, speed }));
  processes.start(id, { script: standInScript, args: ["--settings", file] });
  const hold = [{ model: MODEL, version: VERSION, layers }];
  const order = { fencingNumber: 1, noteNumber: 1, hold, adapters: [] };
  const url = `http://${formatAddress(engine.address)}/order`;
  while (true) {
    try {
      const body = JSON.stringify(order);
      const response = await request(url, { method: "POST", body });
      await response.body.dump();
      return engine;
    } catch {
      await pause(ASK_AGAIN_MS);
    }
  }
}
