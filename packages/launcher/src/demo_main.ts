#!/usr/bin/env node
/** The demo: a whole deployment on this machine, one line for each step. */
import meow from "meow";
import { adminUrls, callersUrl, demoSteps } from "./demo_steps.ts";
import { type Deployment, startDeployment } from "./deployment.ts";
import { planDeployment } from "./deployment_plan.ts";
import { kanemShape } from "./kanem.ts";

const { flags } = meow("Usage: npm run demo [-- --keep]", {
  importMeta: import.meta,
  flags: { keep: { type: "boolean", default: false } },
});

const deployment = await startDeployment(await planDeployment(kanemShape));
const { engines, daemons } = deployment.plan;
console.log(
  `started ${daemons.length} instances and ${engines.length} engines`,
);

let held = true;
for (const step of demoSteps) {
  if (!held) break;
  const result = await step.run(deployment);
  held = result.held;
  console.log(`${held ? "held  " : "BROKEN"}  ${step.title}: ${result.seen}`);
}
process.exitCode = held ? 0 : 1;

if (flags.keep && held) {
  printHints(deployment);
  await new Promise((resolve) => process.once("SIGINT", resolve));
}
await deployment.stop({ keepFolder: !held });
if (!held) console.log(`settings and logs are in ${deployment.folder}`);

function printHints(running: Deployment): void {
  const url = callersUrl(running, 0);
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
`);
}
