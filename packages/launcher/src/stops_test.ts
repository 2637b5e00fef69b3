import { readFileSync } from "node:fs";
import { join } from "node:path";
import { claimPorts } from "@rosemarypin/ports";
import { formatAddress } from "@rosemarypin/schemas";
import {
  expectedAnswer,
  type JournalEntry,
  type PlainServiceFaults,
  type StandInSettings,
} from "@rosemarypin/stand_ins";
import { request } from "undici";
import { afterAll, afterEach, beforeAll, describe, expect, it } from "vitest";
import { streamAnswer } from "./caller.ts";
import {
  type Deployment,
  FOUR_RESTARTS_TIMEOUT_MS,
  startDeployment,
} from "./deployment.ts";
import { type DeploymentPlan, planDeployment } from "./deployment_plan.ts";
import { KANEM_LAYERS, kanemShape } from "./kanem.ts";

const KEY = "kano-demo-key";
const SHORT_ANSWER = 40;
/** Takes longer than an instance waits for the balancer to turn away. */
const LONG_ANSWER = 250;
/** Lines of each instance's log that a failed test shows. */
const SHOWN_LOG_LINES = 40;

/** Waits in progress; a test that times out names them. */
const waits = new Set<{ readonly step: string }>();
let deployment: Deployment;
let balancer: string;

beforeAll(async () => {
  const plan = await planDeployment({
    ...kanemShape,
    overrides: { balancerLagMs: 1_500 },
  });
  const [port = 0] = await claimPorts(1);
  const settings: StandInSettings = {
    kind: "balancer",
    address: { host: "127.0.0.1", port },
    instances: plan.daemons.map(({ instance }) => {
      const { callers, admin } = instance.addresses;
      return { callers, admin };
    }),
    checkEveryMs: 300,
  };
  balancer = `http://127.0.0.1:${port}`;
  deployment = await startDeployment(withBalancer(plan, settings));
  await publishFirstNote(deployment);
});
afterAll(() => deployment?.stop());

/** Ends the faults of a test, also of one that has failed. */
afterEach(async ({ task }) => {
  if (task.result?.state === "fail") console.error(describeState());
  waits.clear();
  const { daemons, objectApi } = deployment.plan;
  await postJson(`${objectApi}/faults`, { down: false, delayMs: 0 });
  await setServices({ delayMs: 0, leaving: false });
  for (const { instance } of daemons) {
    if (deployment.processes.isRunning(instance.id))
      deployment.processes.signal(instance.id, "SIGCONT");
    else deployment.startInstance(instance.id);
  }
  for (const { instance } of daemons)
    await waitUntilReady(`${urlOf(instance.addresses.admin)}/readyz`);
});

/** What the tests wait for, and what the instances logged last. */
function describeState(): string {
  const steps = [...waits].map(({ step }) => `waits for ${step}`);
  const logs = deployment.plan.daemons.map(({ instance: { id } }) => {
    const text = readFileSync(join(deployment.folder, `${id}.log`), "utf8");
    const lines = text.trim().split("\n").slice(-SHOWN_LOG_LINES);
    return `log of ${id}:\n${lines.join("\n")}`;
  });
  return [...steps, ...logs].join("\n");
}

describe("a planned stop under load", () => {
  it("loses no stream and no call when all instances restart", {
    timeout: FOUR_RESTARTS_TIMEOUT_MS,
  }, async () => {
    // Operators replace the four instances one after the other while callers
    // stream answers and place orders. The balancer goes on to send work to
    // an instance for a while after it became unready. Each answer must be
    // whole, and each order must have run once, at its caller's first try.
    const load = startLoad();
    for (const { instance } of deployment.plan.daemons) {
      deployment.processes.signal(instance.id, "SIGTERM");
      expect(await waitForExit(instance.id)).toBe(0);
      deployment.startInstance(instance.id);
      await waitUntilReady(`${urlOf(instance.addresses.admin)}/readyz`);
    }
    await load.stop();
    expect(load.broken).toEqual([]);
    expect(load.streams).toBeGreaterThan(20);
    expect(load.orders.length).toBeGreaterThan(20);
    const journal = await readJournals();
    const ran = journal.map((entry) => entry.idempotencyKey).sort();
    expect(ran).toEqual([...load.orders].sort());
  });

  it("ends work on a leaving server and gives it nothing new", async () => {
    // A server of the booking service is told to leave and says so, while it
    // still runs an order; the platform's list goes on to call it live. The
    // order ends undisturbed, and no later one goes there.
    const [server] = deployment.plan.services.servers;
    if (!server) throw new Error("the service has no server");
    const url = urlOf(server.address);
    const load = startLoad();
    await postJson(`${url}/faults`, { leaving: true, delayMs: 1_000 });
    await sleep(3_000);
    const before = await readJson<JournalEntry[]>(`${url}/journal`);
    await sleep(2_000);
    const after = await readJson<JournalEntry[]>(`${url}/journal`);
    await load.stop();
    expect(load.broken).toEqual([]);
    expect(after).toHaveLength(before.length);
  });
});

describe("a planned stop in an outage of the store", () => {
  it("leaves the ends of its orders to an instance that stays", async () => {
    // The store goes away after an order was claimed, and before its end is
    // recorded; then the instance is replaced. It must not wait for the store
    // and then stop as if it had cut work, nor take with it what became of
    // the order: another instance records that once the store is back.
    const key = "order-that-ends-in-an-outage";
    const { objectApi } = deployment.plan;
    await setServices({ delayMs: 800, leaving: false });
    const order = placeOrder(1, key);
    // An order that was refused, or that was recorded between two reads of
    // the store, is never seen as claimed.
    let hasEnded = false;
    const setEnded = () => {
      hasEnded = true;
    };
    void order.then(setEnded, setEnded);
    await waitFor(
      "the claim",
      async () => (await readLastClaim()) === "claimed" || hasEnded,
    );
    if (hasEnded)
      expect.fail(`ended before the outage: ${JSON.stringify(await order)}`);
    await postJson(`${objectApi}/faults`, { down: true });
    const answer = await during("the order", order);
    expect(answer).toMatchObject({ number: expect.any(Number) });
    deployment.processes.signal("entry-2", "SIGTERM");
    expect(await waitForExit("entry-2")).toBe(0);
    await postJson(`${objectApi}/faults`, { down: false });
    await waitFor(
      "the record of the answer",
      async () => (await readLastClaim()) === "answered",
    );
  });
});

describe("an unplanned stop of the instance that has an order", () => {
  it("frozen between claim and sending, runs the order once", async () => {
    // The instance is frozen while its claim is written, and the caller's
    // next try goes to another one. Were the key freed there, the order would
    // run twice: once there, and once when the first instance goes on.
    const key = "order-of-a-frozen-instance";
    const { objectApi } = deployment.plan;
    await postJson(`${objectApi}/faults`, { delayMs: 500 });
    const first = placeOrder(0, key);
    await sleep(250);
    deployment.processes.signal("entry-1", "SIGSTOP");
    await sleep(500);
    const second = await placeOrder(1, key);
    deployment.processes.signal("entry-1", "SIGCONT");
    expect(second).toMatchObject({ error: { outcome: "outcome_unknown" } });
    const answer = await first;
    expect(answer).toMatchObject({ number: expect.any(Number) });
    await postJson(`${objectApi}/faults`, { delayMs: 0 });
    expect(await placeOrder(2, key)).toEqual(answer);
    expect(await countRuns(key)).toBe(1);
  });

  it("killed while the order runs, leaves it to be looked up", async () => {
    // The instance dies after it sent the order. The claim stays, the answer
    // is lost; the service knows the order by its key.
    const key = "order-of-a-killed-instance";
    await setServices({ delayMs: 1_000, leaving: false });
    const first = placeOrder(3, key).catch(() => "broken");
    await sleep(500);
    deployment.processes.signal("entry-4", "SIGKILL");
    expect(await first).toBe("broken");
    await waitFor("the run", async () => (await countRuns(key)) > 0);
    await setServices({ delayMs: 0 });
    expect(await placeOrder(1, key)).toMatchObject({
      number: expect.any(Number),
    });
    expect(await countRuns(key)).toBe(1);
  });
});

async function placeOrder(instance: number, key: string): Promise<unknown> {
  const daemon = deployment.plan.daemons[instance];
  if (!daemon) throw new Error(`there is no instance ${instance}`);
  const url = urlOf(daemon.instance.addresses.callers);
  const response = await request(`${url}/services/dealer-app/orders`, {
    method: "POST",
    headers: { authorization: `Bearer ${KEY}`, "idempotency-key": key },
    body: JSON.stringify({ part: "belt-22" }),
  });
  return response.body.json();
}

/** What the store knows of the newest order. */
async function readLastClaim(): Promise<string | undefined> {
  const { objectApi, shape } = deployment.plan;
  const response = await request(`${objectApi}/everything`);
  const objects = (await response.body.json()) as {
    kind: string;
    spec: { claimedAt: number; state: { kind: string } };
  }[];
  const claims = objects
    .filter(({ kind }) => kind.startsWith(`${shape.deployment}-claims-`))
    .sort((one, other) => other.spec.claimedAt - one.spec.claimedAt);
  return claims[0]?.spec.state.kind;
}

async function countRuns(key: string): Promise<number> {
  const journal = await readJournals();
  return journal.filter((entry) => entry.idempotencyKey === key).length;
}

async function setServices(faults: Partial<PlainServiceFaults>) {
  for (const { address } of deployment.plan.services.servers) {
    await postJson(`${urlOf(address)}/faults`, faults);
  }
}

/** Callers that ask again as soon as they have their answer. */
function startLoad() {
  const broken: unknown[] = [];
  const orders: string[] = [];
  let streams = 0;
  let stopped = false;

  async function stream(maxTokens: number): Promise<void> {
    const prompt = findPrompt(maxTokens);
    const { model } = kanemShape;
    const asked = { baseUrl: balancer, key: KEY, model, prompt, maxTokens };
    const answer = await streamAnswer(asked);
    streams += 1;
    if (answer.kind !== "whole") return void broken.push(answer);
    const expected = compute(prompt, maxTokens);
    const isWhole = answer.tokens.join(" ") === expected.tokens.join(" ");
    const { digest } = answer.provenance;
    if (!isWhole || digest !== expected.digest) broken.push(answer);
  }

  async function order(): Promise<void> {
    const key = `order-${Date.now()}-${orders.length}`;
    orders.push(key);
    const response = await request(`${balancer}/services/dealer-app/orders`, {
      method: "POST",
      headers: { authorization: `Bearer ${KEY}`, "idempotency-key": key },
      body: JSON.stringify({ part: "belt-22" }),
    });
    const body = await response.body.text();
    if (response.statusCode !== 201) broken.push(body);
    await sleep(20);
  }

  async function lookUp(): Promise<void> {
    const response = await request(`${balancer}/services/dealer-app/stock/7`, {
      headers: { authorization: `Bearer ${KEY}` },
    });
    const body = await response.body.text();
    if (response.statusCode !== 200) broken.push(body);
    await sleep(20);
  }

  async function repeat(work: () => Promise<void>): Promise<void> {
    while (!stopped) {
      await work().catch((error: unknown) => void broken.push(String(error)));
    }
  }

  const short = () => stream(SHORT_ANSWER);
  const long = () => stream(LONG_ANSWER);
  const loops = [short, short, long, long, order, order, lookUp];
  const running = loops.map(repeat);
  return {
    broken,
    orders,
    get streams() {
      return streams;
    },
    async stop() {
      stopped = true;
      await Promise.all(running);
    },
  };
}

const prompts = new Map<number, string>();

/** Returns a prompt whose answer has exactly `tokens` tokens. */
function findPrompt(tokens: number): string {
  const known = prompts.get(tokens);
  if (known !== undefined) return known;
  for (let number = 0; ; number++) {
    const prompt = `the combine stops, case ${number}`;
    if (compute(prompt, tokens).tokens.length < tokens) continue;
    prompts.set(tokens, prompt);
    return prompt;
  }
}

function compute(prompt: string, maxTokens: number) {
  return expectedAnswer({
    weights: { model: kanemShape.model, version: "v1" },
    layers: KANEM_LAYERS,
    promptTokens: prompt.split(" "),
    maxTokens,
  });
}

function withBalancer(
  plan: DeploymentPlan,
  settings: StandInSettings,
): DeploymentPlan {
  return {
    ...plan,
    standIns: [...plan.standIns, { name: "balancer", settings }],
  };
}

async function publishFirstNote({ plan }: Deployment): Promise<void> {
  const [daemon] = plan.daemons;
  if (!daemon) throw new Error("the plan has no instance");
  const admin = urlOf(daemon.instance.addresses.admin);
  const model = plan.shape.model;
  const layerSets = [{ name: "base", from: 0, to: KANEM_LAYERS }];
  await postJson(`${admin}/v1/notes`, {
    supersedes: 0,
    publishId: "first-note",
    reason: "the first version",
    added: [
      {
        kind: "version",
        model,
        version: "v1",
        layers: KANEM_LAYERS,
        layerSets,
        serve: true,
      },
      { kind: "service", service: plan.services.name },
    ],
    changed: [],
    withdrawn: [],
  });
  await waitFor("the first note", async () => {
    const status = await readJson<{ phase: string }>(`${admin}/v1/status`);
    return status.phase === "in_force";
  });
  await waitUntilReady(`${balancer}/v1/models`);
  for (const { instance } of plan.daemons) {
    const baseUrl = urlOf(instance.addresses.callers);
    await waitFor(`an answer of ${baseUrl}`, () => canAnswer(baseUrl));
  }
}

/** An instance sees engines load a version half a second after the note. */
async function canAnswer(baseUrl: string): Promise<boolean> {
  const { model } = kanemShape;
  const asked = { baseUrl, key: KEY, model, prompt: "ready", maxTokens: 1 };
  return (await streamAnswer(asked)).kind === "whole";
}

async function readJournals(): Promise<JournalEntry[]> {
  const { servers } = deployment.plan.services;
  const journals = await Promise.all(
    servers.map(({ address }) =>
      readJson<JournalEntry[]>(`${urlOf(address)}/journal`),
    ),
  );
  return journals.flat();
}

const adminHeaders = {
  authorization: `Bearer ${kanemShape.adminKey}`,
  "content-type": "application/json",
};

interface NotRunAnswer {
  readonly error?: {
    readonly outcome?: string;
    readonly retryAfterSeconds?: number;
  };
}

/** Posts JSON, again when the answer says that nothing was done. */
async function postJson(url: string, body: unknown): Promise<void> {
  for (;;) {
    const response = await request(url, {
      method: "POST",
      headers: adminHeaders,
      body: JSON.stringify(body),
    });
    const text = await response.body.text();
    if (response.statusCode < 400) return;
    const { error } = JSON.parse(text) as NotRunAnswer;
    const seconds = error?.retryAfterSeconds;
    if (error?.outcome !== "not_run" || seconds === undefined)
      throw new Error(text);
    await sleep(1_000 * seconds);
  }
}

async function readJson<T>(url: string): Promise<T> {
  const response = await request(url, { headers: adminHeaders });
  return (await response.body.json()) as T;
}

function waitUntilReady(url: string): Promise<void> {
  const headers = { authorization: `Bearer ${KEY}` };
  return waitFor(`readiness at ${url}`, async () => {
    const response = await request(url, { headers });
    await response.body.dump();
    return response.statusCode === 200;
  });
}

function waitForExit(instance: string): Promise<number | null> {
  const exit = deployment.processes.waitForExit(instance);
  return during(`the end of ${instance}`, exit);
}

async function waitFor(
  step: string,
  isDone: () => Promise<boolean>,
): Promise<void> {
  await during(step, poll(isDone));
}

async function poll(isDone: () => Promise<boolean>): Promise<void> {
  while (!(await isDone().catch(() => false))) await sleep(50);
}

/** Counts `step` among the waits in progress until `work` has ended. */
async function during<T>(step: string, work: Promise<T>): Promise<T> {
  const wait = { step };
  waits.add(wait);
  try {
    return await work;
  } finally {
    waits.delete(wait);
  }
}

function urlOf(address: { host: string; port: number }): string {
  return `http://${formatAddress(address)}`;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
