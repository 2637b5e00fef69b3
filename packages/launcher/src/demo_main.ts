#!/usr/bin/env node
/** The demo: a whole deployment on this machine, one line for each step. */
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import meow from "meow";
import { stringify } from "yaml";
import {
  adminUrls,
  callersUrl,
  type DemoStep,
  demoSteps,
  roundSteps,
  type StepResult,
} from "./demo_steps.ts";
import { type Deployment, startDeployment } from "./deployment.ts";
import { planDeployment } from "./deployment_plan.ts";
import { kanemShape } from "./kanem.ts";

const { flags } = meow(
  `
  Usage
    $ npm run demo [-- --keep] [-- --repeat N]

  Options
    --keep      leave the deployment up, and print lines to paste
    --repeat N  go through the recall and the kill N times
`,
  {
    importMeta: import.meta,
    allowUnknownFlags: false,
    flags: {
      keep: { type: "boolean", default: false },
      repeat: { type: "number", default: 1 },
    },
  },
);

const startedAt = performance.now();
const deployment = await startDeployment(await planDeployment(kanemShape));
const { engines, daemons, standIns } = deployment.plan;
console.log(
  `started ${daemons.length} instances, ${engines.length} engines and ` +
    `${standIns.length - engines.length} other stand-ins`,
);

const steps = [...demoSteps, ...moreRounds(flags.repeat)];
const held = await runSteps(steps);
const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
console.log(
  held
    ? `all ${steps.length} steps held in ${seconds} s`
    : `a step did not hold; settings and logs are in ${deployment.folder}`,
);
process.exitCode = held ? 0 : 1;

if (flags.keep && held) {
  printHints(deployment);
  await new Promise<void>((resolve) => {
    process.once("SIGINT", () => resolve());
    process.once("SIGTERM", () => resolve());
  });
}
await deployment.stop({ keepFolder: !held });

/** Runs until a step does not hold. */
async function runSteps(list: readonly DemoStep[]): Promise<boolean> {
  for (const step of list) {
    const result = await step.run(deployment).catch(describeError);
    const word = result.held ? "held  " : "BROKEN";
    console.log(`${word}  ${step.title}: ${result.seen}`);
    if (!result.held) return false;
  }
  return true;
}

/** A step that throws must not leave the processes behind. */
function describeError(error: unknown): StepResult {
  const seen = error instanceof Error ? error.message : String(error);
  return { held: false, seen };
}

function moreRounds(count: number): DemoStep[] {
  const rounds = Array.from({ length: count - 1 }, (_, index) => index + 2);
  return rounds.flatMap((round) => [...roundSteps(round)]);
}

function printHints(running: Deployment): void {
  const url = callersUrl(running, 0);
  const service = { kind: "service", service: "parts-catalogue" };
  const note = { reason: "one more service", added: [service] };
  const noteFile = join(running.folder, "note-to-publish.yaml");
  writeFileSync(noteFile, stringify(note));
  console.log(`
The deployment stays up; end it with Ctrl-C. Logs: ${running.folder}

curl -N ${url}/v1/chat/completions -H 'authorization: Bearer kano-demo-key' \\
  -H 'content-type: application/json' \\
  -d '{"model":"assist","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"the header does not lift"}]}'

curl ${url}/services/dealer-app/orders -H 'authorization: Bearer kano-demo-key' \\
  -H 'content-type: application/json' -H 'idempotency-key: my-first-order' \\
  -d '{"part":"belt-22"}'

export ROSEMARYPIN_ADMIN=${adminUrls(running)}
export ROSEMARYPIN_ADMIN_KEY=${running.plan.shape.adminKey}
npx rosemarypin status
npx rosemarypin note history
npx rosemarypin explain assist
npx rosemarypin note amend ${noteFile}
npx rosemarypin note wait
npx rosemarypin report burn --html burn.html
`);
}
