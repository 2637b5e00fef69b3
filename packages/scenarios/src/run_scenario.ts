/** Runs a whole scenario against separate processes. */
import {
  type Deployment,
  KANEM_LAYERS,
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { createAdminCalls } from "./admin_calls.ts";
import { createCuts, hasCuts } from "./cuts.ts";
import { reportUpTo } from "./note_steps.ts";
import {
  createObservations,
  type Observations,
  type ObservedWork,
} from "./observations.ts";
import { judge, type Verdict } from "./promises.ts";
import { runStep, type StepContext } from "./run_step.ts";
import type { Scenario } from "./scenario_schema.ts";

const WATCH_NOTES_EVERY_MS = 250;
/** Of the schema of settings, where a cast names no other. */
const DEFAULT_ALLOWANCE_SECONDS = 3_600;

/** How a scenario ended. */
export interface ScenarioResult {
  readonly verdicts: readonly Verdict[];
  /** A step that could not be carried out. */
  readonly stuck: string | null;
  readonly seen: Observations;
  /** Folder with settings and logs, kept after a failure. */
  readonly folder: string;
}

/** Whether all went as promised, and something was judged for each promise. */
export function hasHeld({ verdicts, stuck }: ScenarioResult): boolean {
  const isShown = verdicts.every(({ broken }) => broken === null);
  const isJudged = verdicts.every(({ judged }) => judged > 0);
  return stuck === null && isShown && isJudged;
}

/** Starts the cast, runs the steps, judges the promises. */
export async function runScenario(
  scenario: Scenario,
  options: { readonly seed: number },
): Promise<ScenarioResult> {
  const deployment = await startCast(scenario);
  const startedAt = performance.now();
  const seen = createObservations({
    model: kanemShape.model,
    layers: KANEM_LAYERS,
    allowanceMs: allowanceOf(scenario) * 1_000,
  });
  const context: StepContext = {
    scenario,
    deployment,
    admin: createAdminCalls(deployment),
    seen,
    clock: () => performance.now() - startedAt,
    seed: options.seed,
    numbers: new Map(),
    publishIds: new Map(),
    traffic: new Map(),
    away: new Set(),
    cuts: createCuts(deployment),
    claims: new Set(),
  };
  const stopWatching = watchNotes(context);
  const stuck = await runSteps(context);
  for (const traffic of context.traffic.values()) await traffic.stop();
  stopWatching();
  const journal = deployment.readJournals();
  seen.journal.push(...journal.map((entry) => entry.idempotencyKey));
  const startedAtEpoch = performance.timeOrigin + startedAt;
  seen.work.push(...readWork(deployment, startedAtEpoch));
  const verdicts = judge(scenario.promises, seen);
  const result = { verdicts, stuck, seen, folder: deployment.folder };
  await deployment.stop({ keepFolder: !hasHeld(result) });
  return result;
}

async function startCast(scenario: Scenario): Promise<Deployment> {
  const { cast } = scenario;
  const serveWithoutContactSeconds = allowanceOf(scenario);
  const shape = {
    ...kanemShape,
    domains: ["a", "b", "c", "d"]
      .slice(0, cast.failureDomains)
      .map((name) => `${kanemShape.region}-${name}`),
    overrides: {
      release: { serveWithoutContactSeconds, refusedConnectionShowsEnd: true },
    },
    instances: cast.instances,
    engineGroups: kanemShape.engineGroups.map((group) => ({
      ...group,
      perDomain: cast.enginesPerStage,
    })),
  };
  const plan = await planDeployment(shape);
  const relays = hasCuts(scenario);
  return startDeployment(plan, { engineJournals: true, relays });
}

async function runSteps(context: StepContext): Promise<string | null> {
  for (const step of context.scenario.steps) {
    try {
      await runStep(step, context);
    } catch (error) {
      const reason = error instanceof Error ? error.message : String(error);
      return `${JSON.stringify(step)}: ${reason}`;
    }
  }
  return null;
}

function allowanceOf({ cast }: Scenario): number {
  return cast.serveWithoutContactSeconds ?? DEFAULT_ALLOWANCE_SECONDS;
}

/** First work of each server for each request, by the run's clock. */
function readWork(
  deployment: Deployment,
  startedAtEpoch: number,
): readonly ObservedWork[] {
  const runs = [
    ...deployment
      .readEngineRuns()
      .map(({ engine, requestId, at }) => ({ server: engine, requestId, at })),
    ...deployment.readJournals(),
  ];
  const first = new Map<string, ObservedWork>();
  for (const { server, requestId, at } of runs) {
    const key = `${server}/${requestId}`;
    if (first.has(key)) continue;
    first.set(key, { server, requestId, at: at - startedAtEpoch });
  }
  return [...first.values()];
}

/** Asks each instance again and again which note it applies. */
function watchNotes(context: StepContext): () => void {
  const { deployment, admin, seen } = context;
  const timers = deployment.plan.daemons.map(({ instance: { id } }) => {
    let claimed = "";
    return setInterval(async () => {
      const status = await admin.statusOf(id);
      if (!status) return;
      const { startedAt: incarnation, note, phase } = status;
      seen.notes.push({ instance: id, incarnation, note });
      if (phase === "none" || phase === "recorded") return;
      // Tokens that were sent before the first report may still be unread.
      const claim = `${phase} ${note}`;
      if (claimed === claim) reportUpTo(note, { ...context, phase });
      claimed = claim;
    }, WATCH_NOTES_EVERY_MS);
  });
  return () => {
    for (const timer of timers) clearInterval(timer);
  };
}
