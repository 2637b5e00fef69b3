/** Runs single steps of a scenario. */
import { setTimeout as pause } from "node:timers/promises";
import type { Deployment } from "@rosemarypin/launcher";
import { formatAddress } from "@rosemarypin/schemas";
import { request } from "undici";
import type { AdminCalls } from "./admin_calls.ts";
import type { Cuts } from "./cuts.ts";
import { endByStart } from "./fault_spans.ts";
import { publish, waitInForce } from "./note_steps.ts";
import type { Observations } from "./observations.ts";
import type {
  Scenario,
  SimpleStep,
  Step,
  TrafficSettings,
} from "./scenario_schema.ts";
import { startTraffic, type Traffic } from "./traffic.ts";

const POLL_MS = 100;
/** Longest wait for the instances that traffic goes to. */
const READY_SECONDS = 15;
/** How late a balancer hears that an instance is not ready any more. */
const BALANCER_LAG_MS = 300;

/** What the steps of one run share. */
export interface StepContext {
  readonly scenario: Scenario;
  readonly deployment: Deployment;
  readonly admin: AdminCalls;
  readonly seen: Observations;
  readonly clock: () => number;
  readonly seed: number;
  /** Numbers of published notes by their names. */
  readonly numbers: Map<string, number>;
  /** Publish ids by note: a note that is published again is the same one. */
  readonly publishIds: Map<string, string>;
  readonly traffic: Map<string, Traffic>;
  /** Instances in a planned stop: a balancer sends them nothing new. */
  readonly away: Set<string>;
  readonly cuts: Cuts;
  /** What was claimed of notes so far. */
  readonly claims: Set<string>;
}

/** Runs a step; throws when it cannot be carried out. */
export async function runStep(step: Step, context: StepContext): Promise<void> {
  context.seen.timeline.push({
    at: context.clock(),
    what: JSON.stringify(step),
  });
  if ("race" in step) {
    await Promise.all(step.race.map((one) => runSimple(one, context)));
    return;
  }
  await runSimple(step, context);
}

async function runSimple(
  step: SimpleStep,
  context: StepContext,
): Promise<void> {
  const { deployment, traffic } = context;
  const { processes } = deployment;
  if ("publish" in step) return publish(step.publish, context);
  if ("waitInForce" in step) {
    return waitInForce(step.waitInForce, {
      ...context,
      withinSeconds: step.withinSeconds,
    });
  }
  if ("startTraffic" in step) {
    const { startTraffic: settings } = step;
    await waitForReady(settings, context);
    traffic.set(settings.name, startTraffic(settings, context));
    return;
  }
  if ("stopTraffic" in step) {
    await traffic.get(step.stopTraffic)?.stop();
    traffic.delete(step.stopTraffic);
    return;
  }
  if ("wait" in step) return pause(step.wait * 1_000);
  if ("kill" in step) return kill(step.kill, context);
  if ("freeze" in step) return processes.signal(step.freeze, "SIGSTOP");
  if ("thaw" in step) return processes.signal(step.thaw, "SIGCONT");
  if ("stop" in step) return stopGracefully(step.stop, context);
  if ("start" in step) return start(step.start, context);
  if ("leave" in step) return leave(step.leave, context);
  if ("cut" in step) return cut(step, context);
  if ("heal" in step) return heal(step.heal, context);
  if ("linkMs" in step) {
    const { linkMs, of } = step;
    return setFaults(deployment, { standIn: of, faults: { linkMs } });
  }
  if ("storeDown" in step) return setStoreDown(step.storeDown, context);
  if ("storeDelayMs" in step) {
    return setStoreFaults(deployment, { delayMs: step.storeDelayMs });
  }
  if ("loseStoreReplies" in step) {
    return setStoreFaults(deployment, { loseReplies: step.loseStoreReplies });
  }
  return setFaults(deployment, {
    standIn: step.of,
    faults: { loseAnswers: step.loseServiceAnswers },
  });
}

/** As behind a balancer, callers come to an instance once it is ready. */
async function waitForReady(
  { instances }: TrafficSettings,
  { deployment, admin, clock }: StepContext,
): Promise<void> {
  const all = deployment.plan.daemons.map(({ instance }) => instance.id);
  const end = clock() + READY_SECONDS * 1_000;
  for (const instance of instances ?? all) {
    while (!(await admin.isReady(instance))) {
      if (clock() > end) throw new Error(`${instance} is not ready`);
      await pause(POLL_MS);
    }
  }
}

async function stopGracefully(
  name: string,
  { deployment, seen, clock, away }: StepContext,
): Promise<void> {
  deployment.processes.signal(name, "SIGTERM");
  setTimeout(() => away.add(name), BALANCER_LAG_MS);
  const code = await deployment.processes.waitForExit(name);
  seen.timeline.push({ at: clock(), what: `${name} exited with ${code}` });
  if (code !== 0) throw new Error(`${name} exited with ${code}, not 0`);
}

function kill(name: string, { deployment, seen, clock }: StepContext): void {
  deployment.processes.signal(name, "SIGKILL");
  const at = clock();
  seen.kills.push({ instance: name, at, startedAgainAt: Infinity });
}

async function setStoreDown(
  down: boolean,
  { deployment, seen, clock }: StepContext,
): Promise<void> {
  await setStoreFaults(deployment, { down });
  const last = seen.outages.at(-1);
  if (down) seen.outages.push({ at: clock(), endedAt: Infinity });
  else if (last) last.endedAt = clock();
}

function cut(
  step: Extract<SimpleStep, { readonly cut: unknown }>,
  { cuts, seen, clock }: StepContext,
): void {
  const { from, direction } = step;
  for (const instance of cuts.cut(step.cut, { from, direction })) {
    seen.cuts.push({ instance, from, at: clock(), healedAt: Infinity });
  }
}

function heal(
  names: readonly string[],
  { cuts, seen, clock }: StepContext,
): void {
  const healed = cuts.heal(names);
  for (const cut of seen.cuts) {
    const isHealed = healed.includes(cut.instance) && cut.healedAt === Infinity;
    if (isHealed) cut.healedAt = clock();
  }
}

/** Engines leave by a call of their own, servers by their health path. */
async function leave(name: string, context: StepContext): Promise<void> {
  const { deployment, seen, clock } = context;
  const engine = deployment.plan.engines.find(({ id }) => id === name);
  if (engine) {
    const url = `http://${formatAddress(engine.address)}/leave`;
    const response = await request(url, { method: "POST" });
    await response.body.dump();
  } else {
    const faults = { leaving: true };
    await setFaults(deployment, { standIn: name, faults });
  }
  seen.leavings.push({ server: name, at: clock(), startedAgainAt: Infinity });
}

function start(name: string, context: StepContext): void {
  const { deployment, seen, clock } = context;
  endByStart(name, { seen, at: clock() });
  const isInstance = deployment.plan.daemons.some(
    ({ instance }) => instance.id === name,
  );
  if (isInstance) startInstance(name, context);
  else deployment.startStandIn(name);
}

function startInstance(name: string, context: StepContext): void {
  const { deployment, admin, away } = context;
  deployment.startInstance(name);
  if (!away.has(name)) return;
  const timer = setInterval(async () => {
    if (!(await admin.isReady(name))) return;
    away.delete(name);
    clearInterval(timer);
  }, POLL_MS);
  timer.unref();
}

function setStoreFaults(
  deployment: Deployment,
  faults: unknown,
): Promise<void> {
  return setFaults(deployment, { standIn: "object-api", faults });
}

async function setFaults(
  deployment: Deployment,
  options: { readonly standIn: string; readonly faults: unknown },
): Promise<void> {
  const standIn = deployment.plan.standIns.find(
    ({ name }) => name === options.standIn,
  );
  if (!standIn) throw new Error(`the cast has no '${options.standIn}'`);
  const address = formatAddress(standIn.settings.address);
  const response = await request(`http://${address}/faults`, {
    method: "POST",
    body: JSON.stringify(options.faults),
  });
  await response.body.dump();
}
