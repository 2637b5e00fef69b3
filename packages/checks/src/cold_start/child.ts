/** A part of the deployment as a process of its own. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, readFileSync } from "node:fs";
import { setTimeout as pause } from "node:timers/promises";

export interface Child {
  start(): void;
  kill(): Promise<void>;
  /** Processor time of the process that runs now, in milliseconds. */
  processorMs(): number;
}

/** Ticks per second in which the kernel counts processor time. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 13;

/** Length of the intervals of which a limited process runs a part. */
const QUOTA_INTERVAL_MS = 100;

/**
 * Creates a process that is not started yet; it appends to the log file. With a
 * `coreShare` below 1 it is stopped for the rest of each interval, like a process
 * whose quota is used up.
 */
export function createChild(
  commandLine: readonly string[],
  { logFile, coreShare = 1 }: { logFile: string; coreShare?: number },
): Child {
  let child: ChildProcess | null = null;

  async function limit(limited: ChildProcess): Promise<void> {
    const isRunning = () =>
      limited.exitCode === null && limited.signalCode === null;
    await pause(Math.random() * QUOTA_INTERVAL_MS);
    while (isRunning()) {
      limited.kill("SIGSTOP");
      await pause(QUOTA_INTERVAL_MS * (1 - coreShare));
      if (!isRunning()) return;
      limited.kill("SIGCONT");
      await pause(QUOTA_INTERVAL_MS * coreShare);
    }
  }

  return {
    start() {
      const log = openSync(logFile, "a");
      child = spawn(process.execPath, commandLine, {
        stdio: ["ignore", log, log],
      });
      closeSync(log);
      if (coreShare < 1) void limit(child);
    },
    async kill() {
      const last = child;
      child = null;
      if (!last || last.exitCode !== null || last.signalCode !== null) return;
      const exit = once(last, "exit");
      last.kill("SIGKILL");
      await exit;
    },
    processorMs: () => (child?.pid ? readProcessorMs(child.pid) : 0),
  };
}

function readProcessorMs(pid: number): number {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    // The name in parentheses may contain spaces.
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const [user, system] = fields.slice(USER_TICKS_FIELD - 2).map(Number);
    return (1_000 * ((user ?? 0) + (system ?? 0))) / TICKS_PER_SECOND;
  } catch {
    return 0;
  }
}
