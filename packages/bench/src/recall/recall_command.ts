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
import meow from "meow";
import { request } from "undici";
import type { BenchCommand } from "../bench_command.ts";
import {
  describeFigures,
  evaluateRecalls,
  type RecallFigures,
  summarize,
} from "./recall_figures.ts";
import { publishFirst, type RecallRound, recallOnce } from "./recall_rounds.ts";
import { startTraffic } from "./recall_traffic.ts";

const USAGE = `Usage: npm run bench -- recall [options]

  --recalls N        recalls in each scenario (200)
  --instances N      instances of the deployment; may be given more than once
                     (4 and 64)
  --callers N        callers of each instance (2 up to 16 instances, else 1)
  --no-watch-broken  leave out the scenarios with a broken watch
`;
const SIZES = [4, 64];
/** Up to this size each instance has two callers; the engines are nine. */
const SMALL_FLEET = 16;
/**
 * Instances that start at one time, fewer than the cores of the machine: each
 * loads its code for a second and a half of a core, and those that run already
 * take their share.
 */
const START_AT_ONCE = 4;
/** On a machine with four times the load of its cores a start took 19 s. */
const READY_WITHIN_MS = 60_000;
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
  /** Whether the store's watch reports writes. */
  readonly watch: boolean;
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
        instances: { type: "number", isMultiple: true, default: SIZES },
        callers: { type: "number" },
        watchBroken: { type: "boolean", default: true },
      },
    });
    const all: RecallFigures[] = [];
    for (const scenario of listScenarios(flags)) {
      const figures = await measure(scenario);
      const { title, shape } = scenario;
      console.log(describeFigures(figures, { title, ...shape }));
      all.push(figures);
    }
    console.log(summarize(all));
    const isBroken = ({ afterInForce, wrong }: RecallFigures) =>
      afterInForce > 0 || wrong > 0;
    return all.some(isBroken) ? 1 : 0;
  },
};

function listScenarios(flags: {
  readonly recalls: number;
  readonly instances: readonly number[];
  readonly callers: number | undefined;
  readonly watchBroken: boolean;
}): readonly RecallScenario[] {
  const { recalls } = flags;
  return flags.instances.flatMap((instances) => {
    const shape = { ...kanemShape, instances };
    const callers = flags.callers ?? (instances <= SMALL_FLEET ? 2 : 1);
    const title = `${instances} instances`;
    const sound = { title, shape, recalls, callers, watch: true };
    const broken = { ...sound, title: `${title}, watch broken`, watch: false };
    return flags.watchBroken ? [broken, sound] : [sound];
  });
}

async function measure(scenario: RecallScenario): Promise<RecallFigures> {
  const deployment = await startDeployment(
    await planDeployment(scenario.shape),
    { startAtOnce: START_AT_ONCE, readyWithinMs: READY_WITHIN_MS },
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
    return { storeCallsPerSecond, ...evaluateRecalls(rounds, { seen, model }) };
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
