/** `npm run bench`: load, bound and baselines in one run. */
import { writeFileSync } from "node:fs";
import { fileURLToPath } from "node:url";
import {
  type Deployment,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { formatAddress } from "@rosemarypin/schemas";
import meow from "meow";
import type { BenchCommand } from "../bench_command.ts";
import { baselineNames } from "./baseline_router.ts";
import {
  ANSWER_TOKENS,
  benchShape,
  hardwareBound,
  MEAN_TOKENS,
} from "./bench_shape.ts";
import { measureEngineLoss } from "./engine_loss.ts";
import { figuresOf } from "./figures.ts";
import { publishFirstNote } from "./first_note.ts";
import { runOpenLoop } from "./open_loop.ts";
import { renderPlot } from "./plot.ts";
import {
  type RecoveryRow,
  type Results,
  type Row,
  readResults,
  renderComparison,
  renderRecoveries,
  renderTable,
  writeResults,
} from "./results.ts";

/** Load before the first that is measured: new processes are slow until
 * their code is compiled. */
const FIRST_LOAD = 0.7;
const FIRST_MS = 4_000;
/**
 * Loads follow each other without a pause. From idle, a load of 2 would start
 * nearly all of its answers in one second, and as they are nearly equally
 * long, no engine would be free again until they all end: the figures would
 * be of that start and not of the load.
 */
const SETTLE_MS = 2_000;
const MEASURED_MS = 3_000;
/** What a seed takes with the loss of an engine after it, as seen. */
const ROUND_MS = 36_000;
/** Load under which an engine is killed, over the bound before. */
const KILL_LOAD = 1;
/** The whole run ends within five minutes; the rest is for its last row. */
const LONGEST_MS = 270_000;
const OUTPUT = "bench-results/throughput";

const baselineScript = fileURLToPath(
  new URL("./baseline_main.js", import.meta.url),
);

interface RunOptions {
  readonly policies: readonly string[];
  readonly loads: readonly number[];
  readonly seeds: readonly number[];
  readonly bound: number;
}

export const throughputBench: BenchCommand = {
  summary: "goodput over the hardware's bound, beside baselines",
  async run(words) {
    const { flags } = meow("Usage: npm run bench -- throughput", {
      importMeta: import.meta,
      argv: [...words],
      flags: {
        policies: {
          type: "string",
          default: ["today", ...baselineNames].join(),
        },
        loads: { type: "string", default: "0.8,1.2,2" },
        seeds: { type: "string", default: "1,2" },
        compare: { type: "string" },
      },
    });
    const bound = hardwareBound(benchShape, { answerTokens: MEAN_TOKENS });
    console.log(`bound ${Math.round(bound)} tokens/s, seeds ${flags.seeds}`);
    const results = await runAll({
      policies: flags.policies.split(","),
      loads: flags.loads.split(",").map(Number),
      seeds: flags.seeds.split(",").map(Number),
      bound,
    });
    writeResults(`${OUTPUT}.json`, results);
    writeFileSync(`${OUTPUT}.svg`, renderPlot(results));
    console.log(renderTable(results));
    console.log(renderRecoveries(results));
    if (flags.compare) {
      console.log(renderComparison(readResults(flags.compare), results));
    }
    console.log(`written: ${OUTPUT}.json and ${OUTPUT}.svg`);
    return 0;
  },
};

async function runAll(options: RunOptions): Promise<Results> {
  const rows: Row[] = [];
  const recoveries: RecoveryRow[] = [];
  const startedAt = performance.now();
  for (const [index, policy] of options.policies.entries()) {
    const share = (index + 1) / options.policies.length;
    const endsAt = startedAt + LONGEST_MS * share;
    const deployment = await startBench(policy);
    try {
      for (const [turn, seed] of options.seeds.entries()) {
        if (turn > 0 && performance.now() + ROUND_MS > endsAt) {
          console.log(`not run for want of time: ${policy}, seed ${seed}`);
          continue;
        }
        const found = await measure(deployment, { ...options, policy, seed });
        rows.push(...found);
        // A run that is stopped early has shown what it found so far.
        console.log(renderTable({ ...options, rows: found, recoveries: [] }));
      }
      recoveries.push(await loseEngine(deployment, { ...options, policy }));
    } finally {
      await deployment.stop();
    }
  }
  return { bound: options.bound, rows, recoveries };
}

async function startBench(policy: string): Promise<Deployment> {
  const plan = await planDeployment(benchShape);
  const deployment = await startDeployment(
    plan,
    policy === "today"
      ? {}
      : { daemonScript: baselineScript, daemonArgs: ["--policy", policy] },
  );
  await publishFirstNote(deployment);
  return deployment;
}

/** Runs all loads in a row and gives the figures of each. */
async function measure(
  deployment: Deployment,
  options: RunOptions & { readonly policy: string; readonly seed: number },
): Promise<Row[]> {
  const { policy, loads, bound, seed } = options;
  const stepMs = SETTLE_MS + MEASURED_MS;
  const loadAt = (afterMs: number) =>
    loads[Math.floor((afterMs - FIRST_MS) / stepMs)] ?? FIRST_LOAD;
  const startedAt = performance.now();
  const samples = await runOpenLoop({
    ...loadOptions(deployment, { loadAt, bound, seed }),
    durationMs: FIRST_MS + loads.length * stepMs,
  });
  return loads.map((load, index) => {
    const from = startedAt + FIRST_MS + index * stepMs + SETTLE_MS;
    const to = from + MEASURED_MS;
    return { policy, load, seed, ...figuresOf(samples, { bound, from, to }) };
  });
}

async function loseEngine(
  deployment: Deployment,
  options: RunOptions & { readonly policy: string },
): Promise<RecoveryRow> {
  const { bound, policy, seeds } = options;
  const seed = seeds[0] ?? 0;
  const ofStage =
    deployment.plan.engines.length / benchShape.engineGroups.length;
  return measureEngineLoss(deployment, {
    ...loadOptions(deployment, { loadAt: () => KILL_LOAD, bound, seed }),
    policy,
    boundAfter: (bound * (ofStage - 1)) / ofStage,
  });
}

function loadOptions(
  deployment: Deployment,
  options: {
    readonly loadAt: (afterMs: number) => number;
    readonly bound: number;
    readonly seed: number;
  },
) {
  return {
    urls: deployment.plan.daemons.map(
      ({ instance }) => `http://${formatAddress(instance.addresses.callers)}`,
    ),
    model: benchShape.model,
    rateAt: (afterMs: number) =>
      (options.loadAt(afterMs) * options.bound) / MEAN_TOKENS,
    answerTokens: ANSWER_TOKENS,
    seed: options.seed,
  };
}
