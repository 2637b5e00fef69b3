/** Memory and processor time of daemons with nothing to do. */
import { readFileSync } from "node:fs";
import {
  type DeploymentShape,
  kanemShape,
  planDeployment,
  startDeployment,
} from "@rosemarypin/launcher";

const SETTLE_MS = 4_000;
const MEASURE_MS = 10_000;
/** Ticks of /proc/PID/stat; the same on all common Linux machines. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/** What one idle daemon uses, the middle one of a deployment. */
export interface IdleCost {
  readonly megabytes: number;
  readonly corePercent: number;
}

/** Runs a deployment whose settings name so many organisations. */
export async function measureIdleDaemons(
  organisations: number,
): Promise<IdleCost> {
  const names = Array.from({ length: organisations }, (_, index) => index);
  const shape: DeploymentShape = {
    ...kanemShape,
    organisations: names.map((index) => ({
      name: `organisation-${index}`,
      key: `key-of-organisation-${index}`,
      priority: "standard",
      weight: 1,
    })),
  };
  const deployment = await startDeployment(await planDeployment(shape));
  try {
    const pids = deployment.plan.daemons.map(({ instance }) =>
      deployment.processes.pid(instance.id),
    );
    await sleep(SETTLE_MS);
    const before = pids.map(readCpuSeconds);
    await sleep(MEASURE_MS);
    const used = pids.map((pid, index) => {
      const seconds = readCpuSeconds(pid) - (before[index] ?? 0);
      return (seconds / (MEASURE_MS / 1_000)) * 100;
    });
    const megabytes = pids.map(readMegabytes);
    return { megabytes: middle(megabytes), corePercent: middle(used) };
  } finally {
    await deployment.stop();
  }
}

function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks =
    Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks / TICKS_PER_SECOND;
}

function readMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = /VmRSS:\s+(\d+)/.exec(status)?.[1];
  return Number(kilobytes) / 1_024;
}

function middle(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? Number.NaN;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
