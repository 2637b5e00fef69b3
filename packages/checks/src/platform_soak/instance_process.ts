/** An instance as a separate process, which signals stop, freeze and kill. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream } from "node:fs";
import { PLATFORM_PROGRAM } from "../platform_program.ts";

export interface InstanceProcess {
  readonly name: string;
  readonly url: string;
  /** Whether it runs and was not asked to stop. */
  isUp(): boolean;
  /** Whether no process of it is left, be it stopping or frozen. */
  isGone(): boolean;
  start(): void;
  /** Asks it to stop, and waits until it has; gives its exit code. */
  stop(): Promise<number | null>;
  kill(): Promise<void>;
  freeze(): void;
  thaw(): void;
}

/** Creates an instance that is not started yet. */
export function createInstanceProcess(options: {
  readonly name: string;
  readonly url: string;
  readonly settingsFile: string;
  readonly logFile: string;
}): InstanceProcess {
  const log = createWriteStream(options.logFile, { flags: "a" });
  let child: ChildProcess | null = null;
  let running = 0;

  async function ended(signal: NodeJS.Signals): Promise<number | null> {
    const last = child;
    child = null;
    if (!last || last.exitCode !== null) return last?.exitCode ?? null;
    const exit = once(last, "exit");
    last.kill(signal);
    const [code] = (await exit) as [number | null];
    return code;
  }

  return {
    name: options.name,
    url: options.url,
    isUp: () => child !== null && child.exitCode === null,
    isGone: () => running === 0,
    start() {
      child = spawn(
        process.execPath,
        [PLATFORM_PROGRAM, "--settings", options.settingsFile],
        { stdio: ["ignore", "pipe", "pipe"] },
      );
      running += 1;
      child.once("exit", () => {
        running -= 1;
      });
      child.stdout?.pipe(log, { end: false });
      child.stderr?.pipe(log, { end: false });
    },
    stop: () => ended("SIGTERM"),
    async kill() {
      await ended("SIGKILL");
    },
    freeze() {
      child?.kill("SIGSTOP");
    },
    thaw() {
      child?.kill("SIGCONT");
    },
  };
}
