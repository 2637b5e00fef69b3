/**
 * `npm run bench -- recall`: the time from a recall to the last token of the
 * withdrawn version that any caller saw, with real processes under traffic.
 */
import {
  type Deployment,
  type DeploymentShape,
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { formatAddress } from "@rosemarypin/schemas";
import { build, type Histogram } from "hdr-histogram-js";
import meow from "meow";
import { request } from "undici";
import type { BenchCommand } from "../bench_command.ts";
import { publishFirst, type RecallRound, recallOnce } from "./recall_rounds.ts";
import {
  createVersionFinder,
  type SeenAnswer,
  startTraffic,
} from "./recall_traffic.ts";

const USAGE = `Usage: npm run bench -- recall [options]

  --recalls N        recalls in each scenario (200)
  --instances N      instances of the deployment (4)
  --callers N        callers of each instance (2)
  --no-watch-broken  leave out the scenario with a broken watch
`;
/** Traffic between two recalls, so that streams of the version run. */
const TRAFFIC_MS = 400;
/** More changes than a scenario makes: the watch tells of none. */
const EVERY_CHANGE = 1_000_000;
/** How long the store's calls are counted at rest. */
const REST_MS = 10_000;

interface RecallScenario {
  readonly title: string;
  readonly shape: DeploymentShape;
  readonly recalls: number;
  /** Callers of each instance. */
  readonly callers: number;
  /** Whether the store's watch tells of writes. */
  readonly watch: boolean;
}

/** What a scenario showed. */
interface RecallFigures {
  /** Calls to the store of all instances in a second at rest. */
  readonly storeCallsPerSecond: number;
  readonly lastToken: Histogram;
  readonly accepted: Histogram;
  readonly inForce: Histogram;
  readonly afterInForce: number;
  /** Answers whose tokens fit no version: none may be. */
  readonly wrong: number;
  readonly answers: number;
}

/** The measurement of recalls. */
export const recallCommand: BenchCommand = {
  summary: "time from a recall to the last token of what it withdraws",
  async run(words) {
    const { flags } = meow(USAGE, {
      importMeta: import.meta,
      argv: [...words],
      flags: {
        recalls: { type: "number", default: 200 },
        instances: { type: "number", default: 4 },
        callers: { type: "number", default: 2 },
        watchBroken: { type: "boolean", default: true },
      },
    });
    const shape = { ...kanemShape, instances: flags.instances };
    const { recalls, callers } = flags;
    const title = `${flags.instances} instances`;
    const sound = { title, shape, recalls, callers, watch: true };
    const broken = { ...sound, title: `${title}, watch broken`, watch: false };
    const scenarios = flags.watchBroken ? [broken, sound] : [sound];
    let failed = false;
    let last = "";
    for (const scenario of scenarios) {
      const figures = await measure(scenario);
      printDetails(scenario, figures);
      failed ||= figures.afterInForce > 0 || figures.wrong > 0;
      last = summary(figures);
    }
    console.log(last);
    return failed ? 1 : 0;
  },
};

async function measure(scenario: RecallScenario): Promise<RecallFigures> {
  const deployment = await startDeployment(
    await planDeployment(scenario.shape),
  );
  try {
    await publishFirst(deployment);
    const storeCallsPerSecond = await countAtRest(deployment);
    if (!scenario.watch) {
      const body = JSON.stringify({ skipChanges: EVERY_CHANGE });
      const url = `${deployment.plan.objectApi}/faults`;
      await request(url, { method: "POST", body });
    }
    const traffic = startTraffic({
      baseUrls: deployment.plan.daemons.map(
        ({ instance }) => `http://${formatAddress(instance.addresses.callers)}`,
      ),
      callers: scenario.callers,
      key: scenario.shape.organisations[0]?.key ?? "",
      model: scenario.shape.model,
    });
    const rounds: RecallRound[] = [];
    for (let number = 2; number < scenario.recalls + 2; number += 1) {
      await new Promise((resolve) => setTimeout(resolve, TRAFFIC_MS));
      rounds.push(await recallOnce(deployment, number));
    }
    const seen = await traffic.stop();
    const { model } = scenario.shape;
    return { storeCallsPerSecond, ...evaluate(rounds, { seen, model }) };
  } finally {
    await deployment.stop();
  }
}

async function countAtRest(deployment: Deployment): Promise<number> {
  const before = await countStoreCalls(deployment);
  await new Promise((resolve) => setTimeout(resolve, REST_MS));
  const after = await countStoreCalls(deployment);
  return ((after - before) * 1_000) / REST_MS;
}

async function countStoreCalls(deployment: Deployment): Promise<number> {
  const response = await request(`${deployment.plan.objectApi}/counts`);
  const counts = (await response.body.json()) as Record<string, number>;
  return Object.values(counts).reduce((sum, count) => sum + count, 0);
}

function evaluate(
  rounds: readonly RecallRound[],
  options: { readonly seen: readonly SeenAnswer[]; readonly model: string },
): Omit<RecallFigures, "storeCallsPerSecond"> {
  const versions = rounds.map(({ version }) => version);
  const findVersions = createVersionFinder(options.model, [
    ...versions,
    `v${versions.length + 1}`,
  ]);
  const lastSeen = new Map<string, number>();
  const inForceAt = new Map(
    rounds.map((round) => [round.version, round.inForceAt]),
  );
  let afterInForce = 0;
  let wrong = 0;
  const answered = options.seen.filter(({ tokenTimes }) => tokenTimes.length);
  for (const { answer, tokenTimes } of answered) {
    const lastAt = tokenTimes.at(-1) ?? 0;
    const fitting = findVersions(answer.tokens);
    if (fitting.length === 0) wrong += 1;
    // Few tokens may fit two versions; the one that was current is meant.
    const version = fitting.at(-1) ?? "";
    lastSeen.set(version, Math.max(lastAt, lastSeen.get(version) ?? 0));
    if (lastAt > (inForceAt.get(version) ?? Infinity)) afterInForce += 1;
  }
  const lastToken = createHistogram();
  const accepted = createHistogram();
  const inForce = createHistogram();
  for (const round of rounds) {
    const lastAt = lastSeen.get(round.version);
    if (lastAt !== undefined) record(lastToken, lastAt - round.sentAt);
    record(accepted, round.acceptedAt - round.recordedAt);
    record(inForce, round.inForceAt - round.recordedAt);
  }
  const answers = answered.length;
  return { lastToken, accepted, inForce, afterInForce, wrong, answers };
}

function createHistogram(): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000 });
}

function record(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.max(0, Math.round(durationMs)));
}

function printDetails(scenario: RecallScenario, figures: RecallFigures): void {
  const { lastToken, accepted, inForce, afterInForce } = figures;
  console.log(`${scenario.title}: ${figures.answers} answers`);
  const calls = figures.storeCallsPerSecond;
  const { instances } = scenario.shape;
  console.log(`  store calls at rest ${calls}/s of ${instances} instances`);
  console.log(`  last token of a recalled version ${describe(lastToken)}`);
  console.log(`  recorded to accepted ${describe(accepted)}`);
  console.log(`  recorded to in force ${describe(inForce)}`);
  console.log(`  answers with a token after in force ${afterInForce}`);
  console.log(`  answers of no version ${figures.wrong}`);
}

function describe(histogram: Histogram): string {
  const p50 = histogram.getValueAtPercentile(50);
  const p99 = histogram.getValueAtPercentile(99);
  const { totalCount, maxValue } = histogram;
  return `p50 ${p50} ms p99 ${p99} ms max ${maxValue} ms (${totalCount} recalls)`;
}

function summary({ lastToken, afterInForce }: RecallFigures): string {
  const p50 = lastToken.getValueAtPercentile(50);
  const p99 = lastToken.getValueAtPercentile(99);
  const { maxValue } = lastToken;
  return `recall p50 ${p50} ms p99 ${p99} ms max ${maxValue} ms after-in-force ${afterInForce}`;
}
