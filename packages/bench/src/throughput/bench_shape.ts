/** The deployment that throughput is measured on, with its stated speeds. */
import type { DeploymentShape, EngineGroup } from "@rosemarypin/launcher";
import { batchDurationMs, type EngineSpeed } from "@rosemarypin/stand_ins";

/** Layers of the measured model. */
export const BENCH_LAYERS = 24;
/** Words of each prompt. */
export const PROMPT_TOKENS = 24;
/** Most tokens of an answer. */
export const ANSWER_TOKENS = 48;
/** Mean tokens after which an answer ends by itself; see `layer_math`. */
export const STOP_EVERY = 199;
export const MEAN_TOKENS =
  STOP_EVERY * (1 - (1 - 1 / STOP_EVERY) ** ANSWER_TOKENS);

const speeds: Readonly<Record<string, EngineSpeed>> = {
  large: {
    batchMs: 4,
    layerMicros: 70,
    promptFactor: 0.05,
    linkMs: 0.5,
    batchSize: 16,
  },
  middle: {
    batchMs: 4,
    layerMicros: 100,
    promptFactor: 0.05,
    linkMs: 1,
    batchSize: 16,
  },
  small: {
    batchMs: 4,
    layerMicros: 175,
    promptFactor: 0.05,
    linkMs: 5,
    batchSize: 16,
  },
};

/** The split gives each stage nearly the same time for a full batch. */
const split = [
  { accelerator: "large", from: 0, to: 11 },
  { accelerator: "middle", from: 11, to: 19 },
  { accelerator: "small", from: 19, to: 24 },
] as const;

function groupOf(part: (typeof split)[number]): EngineGroup {
  const { accelerator, from, to } = part;
  const speed = speeds[accelerator];
  if (!speed) throw new Error(`no speed is stated for '${accelerator}'`);
  const layers = { from, to };
  return { accelerator, layers, checksFencing: true, speed, perDomain: 2 };
}

/** An organisation of the workload. */
export interface BenchOrganisation {
  readonly name: string;
  readonly key: string;
  readonly isLarge: boolean;
}

/** Two large organisations and eight small ones, all with one weight. */
export const benchOrganisations: readonly BenchOrganisation[] = Array.from(
  { length: 10 },
  (_, index) => ({
    name: `organisation-${index}`,
    key: `bench-key-${index}`,
    isLarge: index < 2,
  }),
);

/** Three failure domains, four instances, 18 engines: six pipelines. */
export const benchShape: DeploymentShape = {
  deployment: "bench",
  region: "pwani",
  domains: ["dar", "tanga", "mtwara"],
  instances: 4,
  model: "mshauri",
  engineGroups: split.map(groupOf),
  service: {
    name: "bohari",
    servers: 1,
    calls: [{ method: "GET", path: "/stock/*", idempotent: true }],
  },
  organisations: benchOrganisations.map(({ name, key }) => ({
    name,
    key,
    priority: "interactive",
    weight: 1,
  })),
  adminKey: "bench-admin-key",
};

/**
 * Tokens a second that the engines can give at most: for each stage the time
 * of one token in a full batch, with its share of the prompt's work.
 */
export function hardwareBound(
  shape: DeploymentShape,
  options: { readonly answerTokens: number },
): number {
  const perStage = shape.engineGroups.map((group) => {
    const { speed, layers, perDomain } = group;
    const width = layers.to - layers.from;
    const full = batchDurationMs(speed, {
      layers: width,
      decodeTokens: speed.batchSize,
      promptTokens: 0,
    });
    const promptMs =
      (PROMPT_TOKENS * speed.promptFactor * width * speed.layerMicros) / 1_000;
    const tokenMs = full / speed.batchSize + promptMs / options.answerTokens;
    return (1_000 / tokenMs) * perDomain * shape.domains.length;
  });
  return Math.min(...perStage);
}
