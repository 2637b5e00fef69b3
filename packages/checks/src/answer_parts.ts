/** The real parts that seeded answers run on. */
import {
  createEngineClient,
  createEngineFleet,
  type EngineFleet,
} from "@rosemarypin/backends";
import {
  createLinkSpeeds,
  createRecoveryLimiter,
  type LivenessLimits,
  type ResumeDependencies,
} from "@rosemarypin/calls";
import { createFixedNote, serveVersions } from "@rosemarypin/fakes";
import { claimPorts } from "@rosemarypin/ports";
import { createRouter } from "@rosemarypin/routing";
import { settingsSchema } from "@rosemarypin/schemas";
import { startEngineGroup } from "@rosemarypin/stand_ins";
import {
  createExportFault,
  createFaultyClient,
  createLinkFault,
  USUAL_LINK_MS,
} from "./answer_faults.ts";
import type { SeededRandom } from "./seeded_random.ts";

export const MODEL = "assist";
export const VERSION = "v1";
export const LAYERS = 12;
const INSTANCES = 2;
const ENGINES_PER_STAGE = 3;
const SPEED = {
  batchMs: 1,
  layerMicros: 20,
  // Prompts cost enough for imports to be chosen beside recompute.
  promptFactor: 1,
  cacheBytes: 512,
  linkMs: USUAL_LINK_MS,
  batchSize: 32,
};
const LIVENESS: LivenessLimits = {
  startTimeoutMs: 400,
  firstTokenMs: 300,
  minSilenceMs: 80,
  maxSilenceMs: 400,
  probeMs: 200,
  lostMessageTimeoutMs: 600,
};
/** Answers here are short, so all that can be moved are. */
const LINK_SPEED_EXPIRY_MS = 500;
const MIGRATION_LIMITS = {
  minBenefitMs: 0,
  slowLinkMs: 20,
  checkIntervalMs: 5,
};

/** Starts three stages of engines and two instances that share them. */
export async function startParts(random: SeededRandom) {
  const ports = await claimPorts(3 * ENGINES_PER_STAGE);
  const group = await startEngineGroup({
    model: MODEL,
    versions: [VERSION],
    stages: [
      { layers: { from: 0, to: 5 }, count: ENGINES_PER_STAGE, speed: SPEED },
      { layers: { from: 5, to: 9 }, count: ENGINES_PER_STAGE, speed: SPEED },
      { layers: { from: 9, to: 12 }, count: ENGINES_PER_STAGE, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
    linkFault: createLinkFault(random),
    exportFault: createExportFault(random),
  });
  const fleets: EngineFleet[] = [];
  const instances = Array.from(
    { length: INSTANCES },
    (): ResumeDependencies => {
      const real = createEngineClient();
      const fleet = createEngineFleet({ engines: group.engines, client: real });
      fleets.push(fleet);
      const limits = settingsSchema.shape.limits.parse(undefined);
      return {
        keeper: createFixedNote(
          serveVersions({
            number: 1,
            model: MODEL,
            versions: [VERSION],
            layers: LAYERS,
          }),
        ),
        router: createRouter({
          fleet,
          failureDomain: "domain-1",
          limits,
          objectives: settingsSchema.shape.objectives.parse(undefined),
          seed: 1,
        }),
        fleet,
        engines: createFaultyClient(real, random),
        parked: real,
        recoveries: createRecoveryLimiter(),
        linkSpeeds: createLinkSpeeds({ expiryMs: LINK_SPEED_EXPIRY_MS }),
        migrationLimits: MIGRATION_LIMITS,
        liveness: LIVENESS,
      };
    },
  );
  await sleep(200);
  const stop = () => {
    for (const fleet of fleets) fleet.stop();
    group.stop();
  };
  return { group, instances, stop };
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
