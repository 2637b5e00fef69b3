#!/usr/bin/env node
/** Entry of `npm run check:cold-start`: a whole deployment starts anew. */
import meow from "meow";
import {
  type ColdStartReport,
  type Loss,
  runColdStart,
  servedShare,
} from "./cold_start/cold_start_run.ts";
import { planSite } from "./cold_start/site.ts";
import { PLATFORM_PROGRAM } from "./platform_program.ts";

const STORES = {
  usual: {},
  slow: { delayMs: 350 },
  down: { down: true },
  busy: { callsPerSecond: 40 },
  silent: { silent: true },
} as const;
type StoreState = keyof typeof STORES;

const command = meow(
  `
  Usage
    $ npm run check:cold-start -- --instances 143 --engines 93 --loss both
    $ npm run check:cold-start -- --store slow --store-seconds 5

  Ends all instances (--loss instances), all servers (servers) or both at once,
  and starts them again while callers go on. With --core-share 0.25 an instance
  runs a quarter of each tenth of a second. Prints a time line by phase and by
  second. --program is the command line of an instance, with its flags.

  Exit codes
    0  enough requests were served after the bound
    1  too few
`,
  {
    importMeta: import.meta,
    flags: {
      instances: { type: "number", default: 24 },
      engines: { type: "number", default: 30 },
      rate: { type: "number", default: 60 },
      events: { type: "number", default: 20 },
      serverProcesses: { type: "number", default: 12 },
      callerProcesses: { type: "number", default: 4 },
      loss: {
        type: "string",
        choices: ["instances", "servers", "both"],
        default: "both",
      },
      share: { type: "number", default: 1 },
      downSeconds: { type: "number", default: 2 },
      watchSeconds: { type: "number", default: 30 },
      boundSeconds: { type: "number", default: 15 },
      leastShare: { type: "number", default: 0.25 },
      store: {
        type: "string",
        choices: Object.keys(STORES),
        default: "usual",
      },
      storeSeconds: { type: "number", default: 5 },
      seed: { type: "number", default: 1 },
      coreShare: { type: "number", default: 1 },
      program: { type: "string", default: PLATFORM_PROGRAM },
    },
  },
);

const { flags } = command;
const report = await runColdStart({
  site: planSite({
    instances: flags.instances,
    engines: flags.engines,
    requestsPerSecond: flags.rate,
    events: flags.events,
    serverProcesses: flags.serverProcesses,
    callerProcesses: flags.callerProcesses,
  }),
  loss: flags.loss as Loss,
  share: flags.share,
  downMs: flags.downSeconds * 1_000,
  watchMs: flags.watchSeconds * 1_000,
  storeFaults: STORES[flags.store as StoreState],
  storeFaultMs: flags.storeSeconds * 1_000,
  seed: flags.seed,
  coreShare: flags.coreShare,
  program: flags.program.split(" "),
});
print(report);
const { boundSeconds, watchSeconds } = flags;
const share = servedShare(report, { from: boundSeconds, to: watchSeconds });
console.log(
  `served of those sent after ${boundSeconds} s: ${share.toFixed(3)}`,
);
process.exit(share < flags.leastShare ? 1 : 0);

function print({
  seconds,
  phases,
  processorMs,
  readyInstances,
  storeCalls,
  folder,
}: ColdStartReport): void {
  console.log(`logs in ${folder}`);
  console.log("phase count first quarter median nine_tenths last (ms)");
  for (const phase of phases) {
    const { name, count, firstMs, quarterMs, medianMs } = phase;
    const times = [firstMs, quarterMs, medianMs, phase.nineTenthsMs];
    const texts = [...times, phase.lastMs].map((ms) => ms.toFixed(0));
    console.log(`${name} ${count} ${texts.join(" ")}`);
  }
  console.log("second sent served at_once ready processor_s first_statuses");
  for (const each of seconds) {
    const { second, sent, served, servedAtOnce, firstStatuses } = each;
    const ready = readyInstances[second] ?? "-";
    const processor = ((processorMs[second] ?? 0) / 1_000).toFixed(1);
    const statuses = JSON.stringify(firstStatuses);
    console.log(
      `${second} ${sent} ${served} ${servedAtOnce} ${ready} ${processor} ${statuses}`,
    );
  }
  console.log(`store calls: ${JSON.stringify(storeCalls)}`);
}
