/** Runs a whole scenario against separate processes. */
import {
  type Deployment,
  KANEM_LAYERS,
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";
import { createAdminCalls } from "./admin_calls.ts";
import type { Observations, ObservedWork } from "./observations.ts";
import { judge, type Verdict } from "./promises.ts";
import { runStep, type StepContext } from "./run_step.ts";
import type { Scenario } from "./scenario_schema.ts";

const WATCH_NOTES_EVERY_MS = 250;

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
  const seen = emptyObservations();
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

function startCast({ cast }: Scenario): Promise<Deployment> {
  const shape = {
    ...kanemShape,
    instances: cast.instances,
    engineGroups: kanemShape.engineGroups.map((group) => ({
      ...group,
      perDomain: cast.enginesPerStage,
    })),
  };
  return planDeployment(shape).then((plan) =>
    startDeployment(plan, { engineJournals: true }),
  );
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

function emptyObservations(): Observations {
  return {
    model: kanemShape.model,
    layers: KANEM_LAYERS,
    answers: [],
    orders: [],
    notes: [],
    inForce: [],
    timeline: [],
    journal: [],
    leavings: [],
    kills: [],
    work: [],
  };
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
function watchNotes({ deployment, admin, seen }: StepContext): () => void {
  const timers = deployment.plan.daemons.map(({ instance }) =>
    setInterval(async () => {
      const status = await admin.statusOf(instance.id);
      if (!status) return;
      const incarnation = status.startedAt;
      seen.notes.push({
        instance: instance.id,
        incarnation,
        note: status.note,
      });
    }, WATCH_NOTES_EVERY_MS),
  );
  return () => {
    for (const timer of timers) clearInterval(timer);
  };
}
