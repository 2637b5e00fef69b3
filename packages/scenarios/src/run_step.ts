/** Runs single steps of a scenario. */
import { randomUUID } from "node:crypto";
import type { Deployment } from "@rosemarypin/launcher";
import { formatAddress } from "@rosemarypin/schemas";
import { request } from "undici";
import type { AdminCalls } from "./admin_calls.ts";
import type { Observations } from "./observations.ts";
import type {
  Scenario,
  SimpleStep,
  Step,
  TrafficSettings,
} from "./scenario_schema.ts";
import { standardNotes } from "./standard_notes.ts";
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
  if ("wait" in step) return sleep(step.wait * 1_000);
  if ("kill" in step) return kill(step.kill, context);
  if ("freeze" in step) return processes.signal(step.freeze, "SIGSTOP");
  if ("thaw" in step) return processes.signal(step.thaw, "SIGCONT");
  if ("stop" in step) return stopGracefully(step.stop, context);
  if ("start" in step) return start(step.start, context);
  if ("leave" in step) return leave(step.leave, context);
  if ("linkMs" in step) {
    const { linkMs, of } = step;
    return setFaults(deployment, { standIn: of, faults: { linkMs } });
  }
  if ("storeDown" in step)
    return setStoreFaults(deployment, { down: step.storeDown });
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
      await sleep(POLL_MS);
    }
  }
}

async function publish(name: string, context: StepContext): Promise<void> {
  const note = findNote(name, context.scenario);
  if (!note) throw new Error(`the scenario has no note '${name}'`);
  const supersedes = Math.max(0, ...context.numbers.values());
  const result = await context.admin.publish({
    ...note,
    supersedes,
    publishId: publishIdOf(name, context),
  });
  const what = "number" in result ? `is note ${result.number}` : result.code;
  context.seen.timeline.push({ at: context.clock(), what: `${name}: ${what}` });
  if ("number" in result) context.numbers.set(name, result.number);
}

function publishIdOf(name: string, { publishIds }: StepContext): string {
  const publishId = publishIds.get(name) ?? randomUUID();
  publishIds.set(name, publishId);
  return publishId;
}

function findNote(name: string, scenario: Scenario) {
  return scenario.notes[name] ?? standardNotes[name];
}

async function waitInForce(
  name: string,
  context: StepContext & { readonly withinSeconds: number },
): Promise<void> {
  const number = context.numbers.get(name);
  if (number === undefined) throw new Error(`note '${name}' was not recorded`);
  const end = context.clock() + context.withinSeconds * 1_000;
  while (context.clock() < end) {
    const status = await context.admin.noteStatus(number);
    if (status?.phase === "in_force") return reportInForce(name, context);
    await sleep(POLL_MS);
  }
  const status = await context.admin.noteStatus(number);
  throw new Error(`'${name}' is not in force: ${JSON.stringify(status)}`);
}

function reportInForce(name: string, context: StepContext): void {
  const { seen, scenario, clock } = context;
  const withdrawn = findNote(name, scenario)?.withdrawn ?? [];
  const withdrawnVersions = withdrawn.flatMap((line) =>
    line.kind === "version" ? [line.version] : [],
  );
  const at = clock();
  seen.inForce.push({ name, at, withdrawnVersions });
  seen.timeline.push({ at, what: `'${name}' is in force` });
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
  seen.leavings.push({ server: name, at: clock() });
}

function start(name: string, context: StepContext): void {
  const { deployment, seen, clock } = context;
  const kill = seen.kills.findLast(({ instance }) => instance === name);
  if (kill) kill.startedAgainAt = clock();
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

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
