/** How fast a plan is, against an equal split and exhaustive search. */
import {
  type PlanEngine,
  type PlanModel,
  planDomain,
  slowestStageMs,
  toSplitEngine,
} from "@rosemarypin/placement";
import {
  createDraw,
  drawEngines,
  drawModels,
  median,
  rateOf,
} from "./sample_domain.ts";

/** Small enough for every way to divide engines into pipelines. */
const SMALL = [4, 5, 6, 7, 8] as const;
const LARGE = 81;

/** Lines with the median and the worst over the seeds. */
export async function measureRates(
  seeds: readonly number[],
): Promise<readonly string[]> {
  const toBest: number[] = [];
  const toEqual: number[] = [];
  const slowest: number[] = [];
  for (const seed of seeds) {
    for (const count of SMALL) {
      const draw = createDraw(seed * 100 + count);
      const [model] = drawModels(1, draw);
      if (!model) continue;
      const engines = drawEngines(count, draw);
      const best = bestRate(engines, model);
      if (best === 0) continue;
      const plan = await planDomain({ engines, models: [model] });
      toBest.push(rateOf(plan) / best);
    }
    const draw = createDraw(seed);
    const [model] = drawModels(1, draw);
    if (!model) continue;
    const engines = drawEngines(LARGE, draw);
    const plan = await planDomain({ engines, models: [model] });
    const times = plan.pipelines.map((pipeline) => {
      const members = pipeline.stages.flatMap(
        ({ engine }) => engines.find(({ id }) => id === engine) ?? [],
      );
      return { own: pipeline.slowestMs, equal: equalMs(members, model) };
    });
    slowest.push(...times.map(({ own, equal }) => equal / own));
    const equalRate = times.reduce((sum, { equal }) => sum + 1 / equal, 0);
    toEqual.push(rateOf(plan) / equalRate);
  }
  return [
    describe("plan rate / exhaustive, 4 to 8 engines", toBest),
    describe("plan rate / equal split of the same pipelines, 81", toEqual),
    describe("slowest stage of an equal split / of the plan, 81", slowest),
  ];
}

function describe(name: string, values: readonly number[]): string {
  const least = Math.min(...values).toFixed(3);
  const most = Math.max(...values).toFixed(3);
  return `${name}: median ${median(values).toFixed(3)} least ${least} most ${most} cases ${values.length}`;
}

/** Slowest stage when each engine takes as many layers as its memory lets. */
function equalMs(engines: readonly PlanEngine[], model: PlanModel): number {
  const stages = engines.map((engine) => toSplitEngine(engine, model));
  const held = stages.map(() => 0);
  let left = model.layers;
  while (left > 0) {
    const free = stages.flatMap(({ maxLayers }, index) =>
      (held[index] ?? 0) < maxLayers ? [index] : [],
    );
    const least = free.reduce((a, b) =>
      (held[b] ?? 0) < (held[a] ?? 0) ? b : a,
    );
    held[least] = (held[least] ?? 0) + 1;
    left -= 1;
  }
  const times = stages.map(
    ({ fixedMs, layerMs }, index) => fixedMs + (held[index] ?? 0) * layerMs,
  );
  return Math.max(...times);
}

/** The best rate of all divisions with a spare, or else of all. */
function bestRate(engines: readonly PlanEngine[], model: PlanModel): number {
  const split = engines.map((engine) => toSplitEngine(engine, model));
  let spared = 0;
  let any = 0;
  for (const groups of divisions(split)) {
    const rates = groups.map(
      (group) => 1 / slowestStageMs(group, model.layers),
    );
    const rate = rates.reduce((sum, value) => sum + value, 0);
    any = Math.max(any, rate);
    const whole = rates.filter((value) => value > 0).length;
    if (whole > 1) spared = Math.max(spared, rate);
  }
  return spared > 0 ? spared : any;
}

/** Every way to divide values into groups. */
function* divisions<T>(values: readonly T[]): Generator<readonly T[][]> {
  const [first, ...rest] = values;
  if (first === undefined) {
    yield [];
    return;
  }
  for (const groups of divisions(rest)) {
    yield [[first], ...groups];
    for (let index = 0; index < groups.length; index++) {
      yield groups.map((group, at) =>
        at === index ? [first, ...group] : group,
      );
    }
  }
}
