/** Load on one real instance whose output is read, or is not. */
import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  call,
  drawSettings,
  startDeployment,
  until,
  writeSettings,
} from "@rosemarypin/platform/stand_in";
import { pause } from "@rosemarypin/timing";
import { build } from "hdr-histogram-js";
import { PLATFORM_PROGRAM } from "../platform_program.ts";

const GRACE_MS = 5_000;
const START_WITHIN_MS = 15_000;
const SAMPLE_MS = 500;
const MICROSECONDS = 1_000;
const KILOBYTES_PER_MB = 1_024;

export interface LogPipeResult {
  readonly answered: number;
  readonly failed: number;
  /** In milliseconds. */
  readonly latency: { readonly p50: number; readonly p99: number };
  /** Of the instance, once it is ready, at the end, and at its most. */
  readonly residentMb: {
    readonly first: number;
    readonly last: number;
    readonly most: number;
  };
}

/** Runs callers for a time; each sends its next request at once. */
export async function runLogPipe(options: {
  /** Minimum duration; longer if `leastAnswered` is not reached by then. */
  readonly durationMs: number;
  readonly leastAnswered: number;
  readonly callers: number;
  /** Whether anybody reads what the instance writes. */
  readonly readsOutput: boolean;
}): Promise<LogPipeResult> {
  const folder = mkdtempSync(join(tmpdir(), "rosemarypin-log-pipe-"));
  const deployment = await startDeployment({
    plainServers: ["a", "a"],
    instances: [],
  });
  const settings = await drawSettings("i-0", {
    domain: "a",
    storeAddress: deployment.store.address,
    graceMs: GRACE_MS,
  });
  const settingsFile = join(folder, "settings.json");
  writeSettings(settingsFile, settings);
  const child = spawn(
    process.execPath,
    [PLATFORM_PROGRAM, "--settings", settingsFile],
    {
      stdio: ["ignore", "pipe", "inherit"],
    },
  );
  // Without a reader the pipe fills up after 64 KB and takes nothing more.
  if (options.readsOutput) child.stdout.resume();
  const url = `http://${settings.callers.host}:${settings.callers.port}`;
  const look = { method: "GET", path: "/look/1" };
  await until(
    async () => (await call(url, look)).status === 200,
    START_WITHIN_MS,
  );

  const latency = build();
  const resident: number[] = [residentMbOf(child)];
  let answered = 0;
  let failed = 0;
  const endsAt = performance.now() + options.durationMs;
  const isOver = () =>
    performance.now() >= endsAt && answered >= options.leastAnswered;

  async function keepCalling(): Promise<void> {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver()) {
      const answer = await call(url, { ...look, agent });
      latency.recordValue(Math.round(answer.tookMs * MICROSECONDS));
      if (answer.status === 200 && answer.whole) answered += 1;
      else failed += 1;
    }
    agent.destroy();
  }

  async function keepSampling(): Promise<void> {
    while (!isOver()) {
      await pause(SAMPLE_MS);
      resident.push(residentMbOf(child));
    }
  }

  const callers = Array.from({ length: options.callers }, keepCalling);
  await Promise.all([...callers, keepSampling()]);
  child.kill("SIGKILL");
  await deployment.stop();
  rmSync(folder, { recursive: true });
  const millisecondsAt = (percentile: number) =>
    latency.getValueAtPercentile(percentile) / MICROSECONDS;
  return {
    answered,
    failed,
    latency: { p50: millisecondsAt(50), p99: millisecondsAt(99) },
    residentMb: {
      first: resident[0] ?? 0,
      last: resident.at(-1) ?? 0,
      most: Math.max(...resident),
    },
  };
}

/** Resident memory of a process, as the system counts it. */
function residentMbOf({ pid }: ChildProcess): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return Math.round(kilobytes / KILOBYTES_PER_MB);
}
