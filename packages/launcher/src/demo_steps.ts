/** The steps of the demo; each says what was seen and whether it held. */
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { formatAddress, type NoteStatus } from "@rosemarypin/schemas";
import { expectedAnswer } from "@rosemarypin/stand_ins";
import { request } from "undici";
import { stringify } from "yaml";
import { type StreamedAnswer, streamAnswer } from "./caller.ts";
import { type Deployment, waitForAnswer } from "./deployment.ts";
import { KANEM_LAYERS } from "./kanem.ts";

const cliScript = fileURLToPath(
  new URL("../../cli/dist/main.js", import.meta.url),
);

const TRAFFIC_BEFORE_MS = 500;
const TRAFFIC_AFTER_MS = 800;
const RESTART_WITHIN_MS = 10_000;
const POLL_MS = 100;

/** What a step saw. */
export interface StepResult {
  readonly held: boolean;
  readonly seen: string;
}

export interface DemoStep {
  readonly title: string;
  run(deployment: Deployment): Promise<StepResult>;
}

/** The steps in order. */
export const demoSteps: readonly DemoStep[] = [
  { title: "publish note 1", run: (d) => publishVersion(d, "v1") },
  { title: "stream an answer", run: streamOne },
  { title: "order a part", run: orderPart },
  { title: "publish note 2", run: (d) => publishVersion(d, "v2") },
  {
    title: "recall v2 under traffic",
    run: (d) => recallUnderTraffic(d, "v2"),
  },
  { title: "kill a stage mid-answer", run: killStage },
];

/** The steps of one more round: `round` counts from 2. */
export function roundSteps(round: number): readonly DemoStep[] {
  const version = `v${round + 1}`;
  return [
    {
      title: `round ${round}: publish ${version}`,
      run: (d) => publishVersion(d, version),
    },
    {
      title: `round ${round}: recall ${version} under traffic`,
      run: (d) => recallUnderTraffic(d, version),
    },
    { title: `round ${round}: kill a stage mid-answer`, run: killStage },
  ];
}

async function publishVersion(
  deployment: Deployment,
  version: string,
): Promise<StepResult> {
  const { folder, plan } = deployment;
  const current = await runCli(deployment, ["status"]);
  const supersedes = (JSON.parse(current.output) as { note: number }).note;
  const file = join(folder, `note-${version}.yaml`);
  const services =
    supersedes === 0
      ? [{ kind: "service", service: plan.shape.service.name }]
      : [];
  const layerSets = [
    { name: `base-${version}`, from: 0, to: 12 },
    { name: `top-${version}`, from: 12, to: KANEM_LAYERS },
  ];
  const added = {
    kind: "version",
    model: plan.shape.model,
    version,
    layers: KANEM_LAYERS,
    layerSets,
  };
  const note = {
    supersedes,
    reason: `version ${version}`,
    added: [added, ...services],
  };
  writeFileSync(file, stringify(note));
  const published = await runCli(deployment, ["note", "publish", file]);
  if (published.exitCode !== 0) return { held: false, seen: published.output };
  return waitInForce(deployment, supersedes + 1);
}

async function waitInForce(
  deployment: Deployment,
  number: number,
): Promise<StepResult> {
  const startedAt = performance.now();
  const waited = await runCli(deployment, [
    "note",
    "wait",
    String(number),
    "--timeout",
    "15",
  ]);
  const tookMs = Math.round(performance.now() - startedAt);
  if (waited.exitCode !== 0) return { held: false, seen: waited.output };
  const status = JSON.parse(waited.output) as NoteStatus;
  const { instances, engines } = status;
  const seen =
    `note ${number} in force after ${tookMs} ms on ` +
    `${instances.length} instances and ${engines.length} engines`;
  return { held: instances.length === 4, seen };
}

async function streamOne(deployment: Deployment): Promise<StepResult> {
  const prompt = "the combine stops when the header is raised";
  const answer = await ask(deployment, { prompt, maxTokens: 24 });
  return checkAnswer(answer, { prompt, maxTokens: 24 });
}

async function orderPart(deployment: Deployment): Promise<StepResult> {
  const send = () =>
    request(`${callersUrl(deployment, 0)}/services/dealer-app/orders`, {
      method: "POST",
      headers: {
        authorization: "Bearer kano-demo-key",
        "content-type": "application/json",
        "idempotency-key": "demo-order-1",
      },
      body: JSON.stringify({ part: "belt-22", quantity: 1 }),
    });
  const first = await send();
  const firstBody = await first.body.text();
  const second = await send();
  const secondBody = await second.body.text();
  const runs = await countRuns(deployment);
  const held =
    first.statusCode === 201 && firstBody === secondBody && runs === 1;
  const seen = `order sent twice with one key: ran ${runs} time, same answer ${firstBody === secondBody}`;
  return { held, seen };
}

async function countRuns(deployment: Deployment): Promise<number> {
  const journals = await Promise.all(
    deployment.plan.services.servers.map(async ({ address }) => {
      const url = `http://${formatAddress(address)}/journal`;
      const response = await request(url);
      return (await response.body.json()) as unknown[];
    }),
  );
  return journals.flat().length;
}

async function recallUnderTraffic(
  deployment: Deployment,
  version: string,
): Promise<StepResult> {
  const prompt = "hydraulic pressure is low";
  const stop = { now: false };
  const answers: StreamedAnswer[] = [];
  const startedAfter: StreamedAnswer[] = [];
  let inForce = false;
  const workers = [0, 1, 2, 3].map(async (instance) => {
    while (!stop.now) {
      const isAfter = inForce;
      const answer = await ask(deployment, { prompt, maxTokens: 24, instance });
      (isAfter ? startedAfter : answers).push(answer);
    }
  });
  await sleep(TRAFFIC_BEFORE_MS);
  const recalled = await runCli(deployment, [
    "note",
    "recall",
    "version",
    "assist",
    version,
    "--reason",
    "faulty batch",
  ]);
  const { number } = JSON.parse(recalled.output) as { number: number };
  const waited = await waitInForce(deployment, number);
  inForce = true;
  await sleep(TRAFFIC_AFTER_MS);
  stop.now = true;
  await Promise.all(workers);
  const wrong = startedAfter.filter(
    (answer) => answer.kind !== "whole" || answer.provenance.version !== "v1",
  );
  const broken = [...answers, ...startedAfter].filter(
    (answer) => !isTrue(answer, { prompt, maxTokens: 24 }),
  );
  const cut = answers.filter(
    (answer) => answer.kind === "failed" && answer.outcome === "withdrawn",
  );
  const held =
    waited.held &&
    wrong.length === 0 &&
    broken.length === 0 &&
    startedAfter.length > 0;
  const seen =
    `${waited.seen}; ${answers.length} answers before, ${cut.length} of them ` +
    `cut as withdrawn; ${startedAfter.length} after, ${wrong.length} of them ` +
    `not from v1; ${broken.length} broken`;
  return { held, seen };
}

async function killStage(deployment: Deployment): Promise<StepResult> {
  const prompt = "the unloading auger does not turn";
  const maxTokens = 60;
  let killed: string | null = null;
  const answer = await ask(deployment, {
    prompt,
    maxTokens,
    onToken: (index) => {
      if (index === 5) void killBusyStage();
    },
  });
  async function killBusyStage(): Promise<void> {
    for (const engine of deployment.plan.engines) {
      const isMiddle = engine.roles[0]?.layers.from === 10;
      if (!isMiddle || killed !== null) continue;
      const url = `http://${formatAddress(engine.address)}/state`;
      const response = await request(url);
      const { load } = (await response.body.json()) as { load: number };
      if (load === 0) continue;
      killed = engine.id;
      deployment.processes.signal(engine.id, "SIGKILL");
    }
  }
  const checked = checkAnswer(answer, { prompt, maxTokens });
  const attempts = answer.kind === "whole" ? answer.provenance.attempts : 0;
  const held = checked.held && killed !== null && attempts > 1;
  const isBack = killed === null || (await restartEngine(deployment, killed));
  const seen =
    `killed ${killed} after token 5; ${checked.seen}, ${attempts} attempts; ` +
    `${isBack ? "started again and holds its layers" : "did NOT come back"}`;
  return { held: held && isBack, seen };
}

/** Starts an engine again; resolves to whether it holds its layers in time. */
async function restartEngine(
  deployment: Deployment,
  id: string,
): Promise<boolean> {
  const engine = deployment.plan.engines.find((entry) => entry.id === id);
  if (!engine) return false;
  const url = `http://${formatAddress(engine.address)}/state`;
  deployment.startStandIn(id);
  await waitForAnswer(url);
  const end = Date.now() + RESTART_WITHIN_MS;
  while (Date.now() < end) {
    const response = await request(url);
    const { held } = (await response.body.json()) as { held: unknown[] };
    if (held.length > 0) return true;
    await sleep(POLL_MS);
  }
  return false;
}

interface Asked {
  readonly prompt: string;
  readonly maxTokens: number;
  readonly instance?: number;
  readonly onToken?: (index: number, text: string) => void;
}

function ask(deployment: Deployment, asked: Asked): Promise<StreamedAnswer> {
  return streamAnswer({
    baseUrl: callersUrl(deployment, asked.instance ?? 0),
    key: "kano-demo-key",
    model: deployment.plan.shape.model,
    ...asked,
  });
}

function checkAnswer(answer: StreamedAnswer, asked: Asked): StepResult {
  if (answer.kind !== "whole") {
    return { held: false, seen: JSON.stringify(answer) };
  }
  const held = isTrue(answer, asked);
  const { tokens, provenance } = answer;
  const seen =
    `${tokens.length} tokens of ${provenance.version} under note ` +
    `${provenance.noteNumber}, layer digest ${provenance.digest} ` +
    `${held ? "as computed" : "is WRONG"}`;
  return { held, seen };
}

/** Whether all that was delivered is what the layers must give. */
function isTrue(answer: StreamedAnswer, asked: Asked): boolean {
  if (answer.kind === "broken") return false;
  if (answer.kind === "failed") {
    return answer.outcome === "withdrawn" || answer.outcome === "not_run";
  }
  const { version, digest } = answer.provenance;
  const expected = expectedAnswer({
    weights: { model: "assist", version },
    layers: KANEM_LAYERS,
    promptTokens: asked.prompt.split(" "),
    maxTokens: asked.maxTokens,
  });
  return (
    digest === expected.digest &&
    answer.tokens.join(" ") === expected.tokens.join(" ")
  );
}

/** URL of one instance's callers' interface. */
export function callersUrl(deployment: Deployment, index: number): string {
  const daemon = deployment.plan.daemons[index];
  if (!daemon) throw new Error(`there is no instance ${index}`);
  return `http://${formatAddress(daemon.instance.addresses.callers)}`;
}

/** Addresses of all administration APIs, as `--admin` takes them. */
export function adminUrls(deployment: Deployment): string {
  return deployment.plan.daemons
    .map(({ instance }) => `http://${formatAddress(instance.addresses.admin)}`)
    .join(",");
}

function runCli(
  deployment: Deployment,
  words: readonly string[],
): Promise<{ readonly exitCode: number; readonly output: string }> {
  const env = {
    ...process.env,
    ROSEMARYPIN_ADMIN: adminUrls(deployment),
    ROSEMARYPIN_ADMIN_KEY: deployment.plan.shape.adminKey,
  };
  return new Promise((resolve) => {
    const args = [cliScript, ...words, "--json"];
    const child = execFile(
      process.execPath,
      args,
      { env },
      (_error, stdout, stderr) =>
        resolve({
          exitCode: child.exitCode ?? 1,
          output: stdout.trim() || stderr.trim(),
        }),
    );
  });
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
