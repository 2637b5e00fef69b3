/** Runs the processes of a plan. */
import {
  existsSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { formatAddress } from "@rosemarypin/schemas";
import type { JournalEntry, RunEntry } from "@rosemarypin/stand_ins";
import { request } from "undici";
import { stringify } from "yaml";
import type { DeploymentPlan } from "./deployment_plan.ts";
import { createLinks, type Links } from "./links/links.ts";
import { relayPlan } from "./links/relayed_plan.ts";
import { startRelays } from "./links/relays.ts";
import { createProcessGroup, type ProcessGroup } from "./process_group.ts";

/** Time after which a process that neither answers nor ends counts as hung. */
const READY_WITHIN_MS = 50_000;
const POLL_MS = 50;

const daemonScript = scriptOf("daemon");
const standInScript = scriptOf("stand_ins");

/**
 * Timeout of four restarts in a row, for a process that hangs. Each takes seconds
 * of processor time.
 */
export const FOUR_RESTARTS_TIMEOUT_MS = 240_000;

/** A deployment whose processes run. */
export interface Deployment {
  readonly plan: DeploymentPlan;
  readonly processes: ProcessGroup;
  /** Links that can be cut; `null` unless relays were asked for. */
  readonly links: Links | null;
  /** Folder with settings and logs of each process. */
  readonly folder: string;
  /** Starts an instance again, after it was ended. */
  startInstance(id: string): void;
  startStandIn(name: string): void;
  /** What the service's servers ran, those that were killed included. */
  readJournals(): readonly JournalEntry[];
  /** What engines ran; empty unless `engineJournals` was asked for. */
  readEngineRuns(): readonly RunEntry[];
  /** Ends all processes; `keepFolder` leaves settings and logs. */
  stop(options?: { readonly keepFolder?: boolean }): Promise<void>;
}

/** What a measurement may run in the place of `rosemarypind`. */
export interface DeploymentOptions {
  readonly daemonScript?: string;
  /** Folder for that of the deployment; the system's temporary one if absent. */
  readonly parentFolder?: string;
  readonly daemonArgs?: readonly string[];
  /** Flags of Node.js for each instance. */
  readonly daemonNodeFlags?: readonly string[];
  /** Keeps what each engine runs in files, which costs it some time. */
  readonly engineJournals?: boolean;
  /**
   * Instances that start at one time; all by default. Each takes a second and
   * a half of a core to load its code, so that 64 at once on a busy machine
   * are all late together.
   */
  readonly startAtOnce?: number;
  /** Time for those to answer, in milliseconds. */
  readonly readyWithinMs?: number;
  /** Puts relays before all that instances reach, so that links can be cut. */
  readonly relays?: boolean;
}

/**
 * Starts the stand-ins of the plan, then its instances, and waits until each
 * listens. If one of them ends before, all are stopped, and the error says why
 * it ended.
 */
export async function startDeployment(
  direct: DeploymentPlan,
  options: DeploymentOptions = {},
): Promise<Deployment> {
  const folder = mkdtempSync(
    join(options.parentFolder ?? tmpdir(), "rosemarypin-"),
  );
  const links = options.relays ? createLinks() : null;
  const relayed = relayPlan(direct);
  const relays = links && (await startRelays(relayed, links));
  const plan = relays ? relayed.plan : direct;
  const processes = createProcessGroup(folder, {
    onRunning: (name, isRunning) => relays?.setRunning(name, isRunning),
  });

  function writeSettings(name: string, settings: unknown): string {
    const file = join(folder, `${name}.yaml`);
    writeFileSync(file, stringify(settings, { aliasDuplicateObjects: false }));
    return file;
  }

  function journalFileOf(name: string): string {
    return join(folder, `${name}.journal`);
  }

  /** Lines of the journals of all that are named. */
  function readLines(names: readonly string[]): unknown[] {
    return names
      .map(journalFileOf)
      .filter((file) => existsSync(file))
      .flatMap((file) => readFileSync(file, "utf8").split("\n"))
      .filter((line) => line !== "")
      .map((line) => JSON.parse(line) as unknown);
  }

  function readJournals(): readonly JournalEntry[] {
    const names = plan.services.servers.map(({ id }) => id);
    return readLines(names) as JournalEntry[];
  }

  function readEngineRuns(): readonly RunEntry[] {
    return readLines(plan.engines.map(({ id }) => id)) as RunEntry[];
  }

  function journalSettingsOf(name: string, kind: string): object {
    const file = journalFileOf(name);
    if (kind === "service") return { journalFile: file };
    const isWanted = kind === "engine" && options.engineJournals;
    return isWanted ? { journal: file } : {};
  }

  function startStandIn(name: string): void {
    const standIn = plan.standIns.find((entry) => entry.name === name);
    if (!standIn) throw new Error(`the plan has no stand-in '${name}'`);
    const journal = journalSettingsOf(name, standIn.settings.kind);
    const settings = writeSettings(name, { ...standIn.settings, ...journal });
    const args = ["--settings", settings];
    processes.start(name, { script: standInScript, args });
  }

  function startInstance(id: string): void {
    const settings = plan.daemons.find(({ instance }) => instance.id === id);
    const file = writeSettings(id, settings);
    const args = ["--settings", file, ...(options.daemonArgs ?? [])];
    const script = options.daemonScript ?? daemonScript;
    const nodeFlags = options.daemonNodeFlags ?? [];
    processes.start(id, { script, args, nodeFlags });
  }

  /** Waits until a process answers; rejects if it ends before. */
  async function waitForProcess(name: string, url: string): Promise<void> {
    const controller = new AbortController();
    const { signal } = controller;
    try {
      await Promise.race([
        waitForAnswer(url, { ...options, signal }),
        processes.rejectOnExit(name),
      ]);
    } finally {
      controller.abort();
    }
  }

  async function startAll(): Promise<void> {
    for (const { name } of plan.standIns) startStandIn(name);
    // Instances that start before the store take it for lost, and turn the
    // first release note away until they try it again.
    await Promise.all(
      plan.standIns.map(({ name, settings }) =>
        waitForProcess(name, `http://${formatAddress(settings.address)}/`),
      ),
    );
    const atOnce = options.startAtOnce ?? plan.daemons.length;
    for (let first = 0; first < plan.daemons.length; first += atOnce) {
      const group = plan.daemons.slice(first, first + atOnce);
      for (const { instance } of group) startInstance(instance.id);
      await Promise.all(
        group.map(({ instance: { id, addresses } }) =>
          waitForProcess(
            id,
            `http://${formatAddress(addresses.admin)}/healthz`,
          ),
        ),
      );
    }
  }

  async function stop({ keepFolder = false } = {}): Promise<void> {
    await processes.stopAll();
    relays?.close();
    if (!keepFolder) rmSync(folder, { recursive: true, force: true });
  }

  try {
    await startAll();
  } catch (error) {
    await stop();
    throw error;
  }

  return {
    plan,
    processes,
    links,
    folder,
    startInstance,
    startStandIn,
    readJournals,
    readEngineRuns,
    stop,
  };
}

/**
 * Waits until something answers at `url`, whatever the status, or the signal is
 * aborted. Rejects after `readyWithinMs`, 50 s by default.
 */
export async function waitForAnswer(
  url: string,
  options: {
    readonly readyWithinMs?: number;
    readonly signal?: AbortSignal;
  } = {},
): Promise<void> {
  const end = Date.now() + (options.readyWithinMs ?? READY_WITHIN_MS);
  while (!options.signal?.aborted) {
    try {
      const response = await request(url);
      await response.body.dump();
      return;
    } catch (error) {
      if (Date.now() > end) {
        throw new Error(`nothing answers at ${url}`, { cause: error });
      }
      await new Promise((resolve) => setTimeout(resolve, POLL_MS));
    }
  }
}

function scriptOf(packageName: string): string {
  return fileURLToPath(
    new URL(`../../${packageName}/dist/main.js`, import.meta.url),
  );
}
