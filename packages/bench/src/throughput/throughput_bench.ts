/** `npm run bench -- throughput`: load, bound and baselines in one run. */
import { fileURLToPath } from "node:url";
import {
  type Deployment,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { formatAddress } from "@rosemarypin/schemas";
import meow from "meow";
import { request } from "undici";
import type { BenchCommand } from "../bench_command.ts";
import { baselineNames } from "./baseline_router.ts";
import { BENCH_LAYERS, benchShape, hardwareBound } from "./bench_shape.ts";
import { type Figures, figuresOf } from "./figures.ts";
import { runOpenLoop } from "./open_loop.ts";

const ANSWER_TOKENS = 48;
/** Answers stop by themselves at one token in so many; see `layer_math`. */
const STOP_EVERY = 199;
const MEAN_TOKENS = STOP_EVERY * (1 - (1 - 1 / STOP_EVERY) ** ANSWER_TOKENS);
const WARM_UP_MS = 3_000;
const MEASURED_MS = 6_000;

const baselineScript = fileURLToPath(
  new URL("./baseline_main.js", import.meta.url),
);

/** One row of the table. */
interface Row extends Figures {
  readonly policy: string;
  /** Load offered, over the bound. */
  readonly load: number;
  readonly seed: number;
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
        loads: { type: "string", default: "0.8,1,2" },
        seed: { type: "number", default: 1 },
      },
    });
    const bound = hardwareBound(benchShape, { answerTokens: MEAN_TOKENS });
    console.log(`bound ${Math.round(bound)} tokens/s, seed ${flags.seed}`);
    const rows: Row[] = [];
    for (const policy of flags.policies.split(",")) {
      const deployment = await startBench(policy);
      // New processes are slow until their code is compiled.
      await measure(deployment, { policy, load: 0.7, bound, seed: 0 });
      for (const load of flags.loads.split(",").map(Number)) {
        const row = await measure(deployment, {
          policy,
          load,
          bound,
          seed: flags.seed,
        });
        rows.push(row);
        printRow(row);
      }
      await deployment.stop();
    }
    return 0;
  },
};

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

async function publishFirstNote(deployment: Deployment): Promise<void> {
  const admin = deployment.plan.daemons[0]?.instance.addresses.admin;
  if (!admin) throw new Error("the deployment has no instance");
  const headers = {
    authorization: `Bearer ${benchShape.adminKey}`,
    "content-type": "application/json",
  };
  const base = `http://${formatAddress(admin)}/v1/notes`;
  const note = {
    supersedes: 0,
    publishId: "bench-first-note",
    reason: "bench",
    added: [
      {
        kind: "version",
        model: benchShape.model,
        version: "v1",
        layers: BENCH_LAYERS,
        layerSets: [{ name: "all", from: 0, to: BENCH_LAYERS }],
      },
    ],
  };
  const published = await request(base, {
    method: "POST",
    headers,
    body: JSON.stringify(note),
  });
  await published.body.dump();
  while (true) {
    const response = await request(`${base}/1/status`, { headers });
    const status = (await response.body.json()) as { phase: string };
    if (status.phase === "in_force") break;
    await new Promise((resolve) => setTimeout(resolve, 100));
  }
  await new Promise((resolve) => setTimeout(resolve, 1_000));
}

async function measure(
  deployment: Deployment,
  options: {
    readonly policy: string;
    readonly load: number;
    readonly bound: number;
    readonly seed: number;
  },
): Promise<Row> {
  const { policy, load, bound, seed } = options;
  const urls = deployment.plan.daemons.map(
    ({ instance }) => `http://${formatAddress(instance.addresses.callers)}`,
  );
  const startedAt = performance.now();
  const samples = await runOpenLoop({
    urls,
    model: benchShape.model,
    rate: (load * bound) / MEAN_TOKENS,
    durationMs: WARM_UP_MS + MEASURED_MS,
    answerTokens: ANSWER_TOKENS,
    seed,
  });
  const from = startedAt + WARM_UP_MS;
  const to = from + MEASURED_MS;
  const figures = figuresOf(samples, {
    bound,
    from,
    to,
    answerTokens: ANSWER_TOKENS,
  });
  return { policy, load, seed, ...figures };
}

function printRow(row: Row): void {
  const percent = (share: number) => `${(share * 100).toFixed(1)}%`;
  console.log(
    [
      row.policy.padEnd(16),
      `load ${row.load}`,
      `throughput ${percent(row.throughputShare)}`,
      `goodput ${percent(row.goodputShare)}`,
      `first p95 ${Math.round(row.firstTokenP95Ms)} ms`,
      `between p95 ${Math.round(row.betweenTokensP95Ms)} ms`,
      `fairness ${row.fairness.toFixed(3)}`,
      `small got ${percent(row.smallShare)}`,
      `refused ${percent(row.refusedShare)}`,
      `wasted ${percent(row.wastedShare)}`,
      `failed ${row.failed} of ${row.requests}`,
    ].join("  "),
  );
}
