/** Kills an engine under full load and watches the tokens come back. */
import type { Deployment } from "@rosemarypin/launcher";
import { type LoadOptions, runOpenLoop, type Sample } from "./open_loop.ts";
import type { RecoveryRow } from "./results.ts";

const KILL_AFTER_MS = 3_000;
const WATCHED_MS = 5_000;
/** Throughput is judged over windows of this length. */
const WINDOW_MS = 500;
const STEP_MS = 50;
const WANTED_SHARE = 0.95;

export interface EngineLossOptions extends Omit<LoadOptions, "durationMs"> {
  readonly policy: string;
  /** Tokens a second that the engines can give without the killed one. */
  readonly boundAfter: number;
}

/** Loses one engine of a middle stage; starts it again afterwards. */
export async function measureEngineLoss(
  deployment: Deployment,
  options: EngineLossOptions,
): Promise<RecoveryRow> {
  const engine = deployment.plan.engines[1];
  if (!engine) throw new Error("the deployment has too few engines");
  let killedAt = 0;
  const timer = setTimeout(() => {
    killedAt = performance.now();
    deployment.processes.signal(engine.id, "SIGKILL");
  }, KILL_AFTER_MS);
  const samples = await runOpenLoop({
    ...options,
    durationMs: KILL_AFTER_MS + WATCHED_MS,
  });
  clearTimeout(timer);
  deployment.startStandIn(engine.id);
  return {
    policy: options.policy,
    seed: options.seed,
    recoveryMs: recoveryTime(samples, {
      killedAt,
      wanted: options.boundAfter * WANTED_SHARE,
    }),
    broken: samples.filter(({ end }) => end === "failed").length,
  };
}

/** Time from the kill to the start of the first window that is fast enough. */
function recoveryTime(
  samples: readonly Sample[],
  options: { readonly killedAt: number; readonly wanted: number },
): number | null {
  const { killedAt, wanted } = options;
  const times = samples.flatMap(({ tokenTimes }) => tokenTimes);
  const wantedInWindow = (wanted * WINDOW_MS) / 1_000;
  const lastStart = WATCHED_MS - WINDOW_MS;
  let fastAt: number | null = null;
  for (let start = 0; start <= lastStart; start += STEP_MS) {
    const from = killedAt + start;
    const count = times.filter(
      (time) => time >= from && time < from + WINDOW_MS,
    ).length;
    if (count < wantedInWindow) fastAt = null;
    else fastAt ??= start;
    if (fastAt !== null && start - fastAt >= WINDOW_MS) return fastAt;
  }
  return fastAt;
}
