/** Instances and engines of the measured shape, all in this process. */
import type { DeploymentShape } from "@rosemarypin/launcher";
import {
  createRouter,
  type Router,
  type RouterOptions,
} from "@rosemarypin/routing";
import type { Limits, ModelVersion } from "@rosemarypin/schemas";
import { BENCH_LAYERS, benchShape } from "../bench_shape.ts";
import { createRandom } from "../open_loop.ts";
import { createVirtualEngine, type VirtualEngine } from "./virtual_engine.ts";
import { createVirtualFleet } from "./virtual_fleet.ts";

const OBJECTIVES = { firstTokenMs: 830, betweenTokensMs: 79 };

/** The version that all virtual engines hold. */
export const virtualVersion: ModelVersion = {
  version: "v1",
  layers: BENCH_LAYERS,
  layerSets: [{ name: "all", from: 0, to: BENCH_LAYERS }],
  addedBy: 1,
};

/** Real routers over virtual engines. */
export interface VirtualDeployment {
  readonly engines: readonly VirtualEngine[];
  readonly routers: readonly Router[];
}

export interface VirtualDeploymentOptions {
  readonly seed: number;
  /** `benchShape` when left out. */
  readonly shape?: DeploymentShape;
  /** Longest time by which outputs of an engine are late, at random. */
  readonly latestMs?: number;
  /** Makes the router of an instance; today's when left out. */
  readonly makeRouter?: (options: RouterOptions) => Router;
}

/** Creates engines and routers. */
export function createVirtualDeployment(
  options: VirtualDeploymentOptions,
): VirtualDeployment {
  const { makeRouter = createRouter, seed, shape = benchShape } = options;
  const engines = createEngines(options);
  const routers = Array.from({ length: shape.instances }, (_, index) =>
    makeRouter({
      fleet: createVirtualFleet(engines, {
        model: shape.model,
        version: virtualVersion.version,
      }),
      failureDomain: shape.domains[index % shape.domains.length] ?? "",
      limits,
      objectives: OBJECTIVES,
      seed: seed * shape.instances + index,
    }),
  );
  return { engines, routers };
}

function createEngines({
  seed,
  shape = benchShape,
  latestMs = 0,
}: VirtualDeploymentOptions): VirtualEngine[] {
  const random = createRandom(seed);
  return shape.domains.flatMap((failureDomain) =>
    shape.engineGroups.flatMap((group) =>
      Array.from({ length: group.perDomain }, (_, index) =>
        createVirtualEngine({
          id: `${group.accelerator}-${failureDomain}-${index}`,
          failureDomain,
          layers: group.layers,
          speed: group.speed,
          lateness: () => random() * latestMs,
        }),
      ),
    ),
  );
}

const limits: Limits = {
  bodyBytes: 1,
  headerBytes: 1,
  headersTimeoutMs: 1,
  requestTimeoutMs: 1,
  readerStallMs: 1,
  connections: 1,
  requestsPerConnection: 1,
  bodiesBytes: 1,
  queueLength: 1_000,
  answersPerEngine: 256,
};
