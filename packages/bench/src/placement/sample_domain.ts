/** Engines and models of a failure domain, drawn by a seed. */
import type { Plan, PlanEngine, PlanModel } from "@rosemarypin/placement";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Three kinds of accelerator, the memory in megabytes. */
const ACCELERATORS = [
  { layerMs: 0.8, batchMs: 2, memoryMegabytes: 80_000 },
  { layerMs: 1.4, batchMs: 3, memoryMegabytes: 48_000 },
  { layerMs: 2.6, batchMs: 4, memoryMegabytes: 24_000 },
] as const;
/** Links that differ a hundredfold, in milliseconds a message. */
const LINK_MS = [0.25, 2.5, 25] as const;
const LAYERS = [32, 40, 48, 64] as const;
const LAYER_MEGABYTES = [600, 900, 1_200] as const;
const KV_MEGABYTES = 400;
const VERSIONS_AT_ONCE = 2;

/** Draws whole numbers from 0 up to, but without, `below`. */
export type Draw = (below: number) => number;

export function createDraw(seed: number): Draw {
  const generator = xoroshiro128plus(seed);
  return (below) => uniformInt(generator, 0, below - 1);
}

function pick<T>(values: readonly T[], draw: Draw): T {
  const value = values[draw(values.length)];
  if (value === undefined) throw new Error("nothing to pick from");
  return value;
}

/** Engines that hold nothing. */
export function drawEngines(count: number, draw: Draw): PlanEngine[] {
  return Array.from({ length: count }, (_, index) => {
    const { layerMs, batchMs, memoryMegabytes } = pick(ACCELERATORS, draw);
    const fixedMs = batchMs + pick(LINK_MS, draw);
    const id = `engine-${String(index).padStart(3, "0")}`;
    return { id, layerMs, fixedMs, memoryMegabytes, holds: [] };
  });
}

export function drawModels(count: number, draw: Draw): PlanModel[] {
  return Array.from({ length: count }, (_, index) => {
    const loadMegabytes = pick(LAYER_MEGABYTES, draw);
    return {
      model: `model-${index}`,
      layers: pick(LAYERS, draw),
      layerMegabytes: VERSIONS_AT_ONCE * loadMegabytes + KV_MEGABYTES,
      fixedMegabytes: 0,
      loadMegabytes,
      layerCost: loadMegabytes / (LAYER_MEGABYTES[0] ?? 1),
      weight: 1 + draw(3),
    };
  });
}

/** The engines after a plan was carried out; others hold what they held. */
export function carryOut(
  engines: readonly PlanEngine[],
  plan: Pick<Plan, "pipelines">,
): PlanEngine[] {
  return engines.map((engine) => {
    const holds = plan.pipelines.flatMap(({ model, stages }) =>
      stages
        .filter((stage) => stage.engine === engine.id)
        .map(({ from, to }) => ({ model, layers: { from, to } })),
    );
    return holds.length > 0 ? { ...engine, holds } : engine;
  });
}

/** Batches a millisecond, all pipelines together. */
export function rateOf({ pipelines }: Pick<Plan, "pipelines">): number {
  return pipelines.reduce((rate, { slowestMs }) => rate + 1 / slowestMs, 0);
}

/**
 * Rates of one plan against another's, the geometric mean of the models that
 * both answer: what plans are compared by as well.
 */
export function relativeRate(
  plan: Pick<Plan, "pipelines">,
  other: Pick<Plan, "pipelines">,
): number {
  const own = ratesByModel(plan);
  const logs = [...ratesByModel(other)].flatMap(([model, rate]) => {
    const found = own.get(model);
    return found === undefined ? [] : [Math.log(found / rate)];
  });
  const sum = logs.reduce((total, value) => total + value, 0);
  return logs.length === 0 ? 0 : Math.exp(sum / logs.length);
}

function ratesByModel({ pipelines }: Pick<Plan, "pipelines">) {
  const rates = new Map<string, number>();
  for (const { model, slowestMs } of pipelines) {
    rates.set(model, (rates.get(model) ?? 0) + 1 / slowestMs);
  }
  return rates;
}

/** The middle value. */
export function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}
