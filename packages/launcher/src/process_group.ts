/** The processes of one deployment, each known by name. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync } from "node:fs";
import { join } from "node:path";

const STOP_WITHIN_MS = 5_000;
/** Lines of its log that describe the end of a process. */
const DESCRIBED_LINES = 20;

/** Starts, signals and ends processes; logs go to one file for each. */
export interface ProcessGroup {
  start(
    name: string,
    options: {
      readonly script: string;
      readonly args: readonly string[];
      /** Flags of Node.js. */
      readonly nodeFlags?: readonly string[];
    },
  ): void;
  /** Sends a signal to a process that this group started. */
  signal(name: string, signal: NodeJS.Signals): void;
  /** Whether a process was started and has not ended. */
  isRunning(name: string): boolean;
  /** Process id, to read what a process uses. */
  pid(name: string): number;
  /** Resolves to the exit code, or `null` after a signal. */
  waitForExit(name: string): Promise<number | null>;
  /**
   * Rejects when the process ends, with its name, its exit code or signal and
   * the last lines of its log.
   */
  rejectOnExit(name: string): Promise<never>;
  stopAll(): Promise<void>;
}

/** Creates a group whose logs go to `logFolder`. */
export function createProcessGroup(
  logFolder: string,
  options: {
    /** Hears of each process that starts or has ended. */
    readonly onRunning?: (name: string, isRunning: boolean) => void;
  } = {},
): ProcessGroup {
  const running = new Map<string, ChildProcess>();
  /** Resolve once the log of a process is complete. */
  const completeLogs = new Map<ChildProcess, Promise<unknown>>();

  // A launcher that breaks would leave its processes behind, and they would
  // go on to take processor time from whatever is measured next.
  process.once("exit", () => {
    for (const child of running.values()) child.kill("SIGKILL");
  });

  function find(name: string): ChildProcess {
    const child = running.get(name);
    if (!child) throw new Error(`no process was started as '${name}'`);
    return child;
  }

  function hasEnded(child: ChildProcess): boolean {
    return child.exitCode !== null || child.signalCode !== null;
  }

  function logFileOf(name: string): string {
    return join(logFolder, `${name}.log`);
  }

  async function stop(child: ChildProcess): Promise<void> {
    if (hasEnded(child)) return;
    const exited = once(child, "exit");
    child.kill("SIGCONT");
    child.kill("SIGTERM");
    const timer = setTimeout(() => child.kill("SIGKILL"), STOP_WITHIN_MS);
    await exited;
    clearTimeout(timer);
  }

  return {
    start(name, { script, args, nodeFlags = [] }) {
      const child = spawn(process.execPath, [...nodeFlags, script, ...args], {
        stdio: ["ignore", "pipe", "pipe"],
      });
      const log = createWriteStream(logFileOf(name), { flags: "a" });
      child.stdout.pipe(log, { end: false });
      child.stderr.pipe(log, { end: false });
      child.once("close", () => log.end());
      completeLogs.set(child, once(log, "finish"));
      running.set(name, child);
      options.onRunning?.(name, true);
      child.once("exit", () => {
        if (running.get(name) === child) options.onRunning?.(name, false);
      });
    },
    isRunning(name) {
      const child = running.get(name);
      return child !== undefined && !hasEnded(child);
    },
    signal(name, signal) {
      find(name).kill(signal);
    },
    pid(name) {
      const { pid } = find(name);
      if (pid === undefined) throw new Error(`'${name}' did not start`);
      return pid;
    },
    async waitForExit(name) {
      const child = find(name);
      if (!hasEnded(child)) await once(child, "exit");
      return child.exitCode;
    },
    async rejectOnExit(name) {
      const child = find(name);
      if (!hasEnded(child)) await once(child, "exit");
      await completeLogs.get(child);
      const how = child.signalCode ?? `exit code ${child.exitCode}`;
      const lines = readFileSync(logFileOf(name), "utf8").trim().split("\n");
      const lastLines = lines.slice(-DESCRIBED_LINES).join("\n");
      throw new Error(`${name} ended with ${how}:\n${lastLines}`);
    },
    async stopAll() {
      await Promise.all([...running.values()].map(stop));
    },
  };
}
