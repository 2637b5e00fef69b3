/** An instance as a separate process, which signals stop, freeze and kill. */
import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createWriteStream, readFileSync, writeFileSync } from "node:fs";
import { PLATFORM_PROGRAM } from "../platform_program.ts";

export interface InstanceProcess {
  readonly name: string;
  readonly url: string;
  /** Whether it runs and was not asked to stop. */
  isUp(): boolean;
  /** ID of its process; throws if none runs. */
  pid(): number;
  /** Whether no process of it is left, be it stopping or frozen. */
  isGone(): boolean;
  start(): void;
  /** Asks it to stop, and waits until it has; gives its exit code. */
  stop(): Promise<number | null>;
  kill(): Promise<void>;
  freeze(): void;
  thaw(): void;
  /**
   * Writes its settings file again, and tells it by SIGHUP once it has started.
   * No program can handle signals while its runtime starts.
   */
  reload(): void;
  /** How often its process ended without having been stopped or killed. */
  ownEnds(): number;
}

/** Creates an instance that is not started yet. */
export function createInstanceProcess(options: {
  readonly name: string;
  readonly url: string;
  readonly settingsFile: string;
  readonly logFile: string;
  /** Flags of Node.js. */
  readonly nodeFlags?: readonly string[];
}): InstanceProcess {
  const log = createWriteStream(options.logFile, { flags: "a" });
  let child: ChildProcess | null = null;
  let running = 0;
  let started: ChildProcess | null = null;
  let ownEnds = 0;

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
    pid() {
      if (child?.pid === undefined) throw new Error("no process runs");
      return child.pid;
    },
    isGone: () => running === 0,
    start() {
      const spawned = spawn(
        process.execPath,
        [
          ...(options.nodeFlags ?? []),
          PLATFORM_PROGRAM,
          "--settings",
          options.settingsFile,
        ],
        { stdio: ["ignore", "pipe", "pipe"] },
      );
      child = spawned;
      running += 1;
      spawned.once("exit", () => {
        running -= 1;
        if (child !== spawned) return;
        ownEnds += 1;
        child = null;
      });
      spawned.stdout?.on("data", (lines: Buffer) => {
        if (lines.includes(" event=started ")) started = spawned;
      });
      spawned.stdout?.pipe(log, { end: false });
      spawned.stderr?.pipe(log, { end: false });
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
    reload() {
      writeFileSync(
        options.settingsFile,
        readFileSync(options.settingsFile, "utf8"),
      );
      if (child === started) child?.kill("SIGHUP");
    },
    ownEnds: () => ownEnds,
  };
}
