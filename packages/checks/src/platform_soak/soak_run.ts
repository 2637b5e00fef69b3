/** A run of the soak: real processes, random faults, promises judged. */
import { mkdtempSync, readdirSync, readFileSync } from "node:fs";
import { Agent } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  type CallerAnswer,
  call,
  type ServerLinks,
} from "@rosemarypin/platform/stand_in";
import {
  createSeededRandom,
  HIGHEST_SEED,
  type SeededRandom,
} from "../seeded_random.ts";
import {
  AHEAD_KINDS,
  type AheadConnection,
  openAheadConnection,
} from "./ahead_caller.ts";
import { runBurst } from "./burst.ts";
import { HABITS, idleMsOf } from "./caller_habits.ts";
import { sendCrowds } from "./crowds.ts";
import { judgeQuarantines, sendEndingPrompts } from "./ending_prompts.ts";
import {
  carryOut,
  FAULTS,
  type Fault,
  leaveUnframed,
  PLANNED,
} from "./faults.ts";
import type { InstanceProcess } from "./instance_process.ts";
import {
  judgeCalls,
  judgeEntry,
  judgeShares,
  type SoakCall,
} from "./judges.ts";
import {
  carryOutWork,
  isPlannedWork,
  PLANNED_WORK,
  type PlannedWork,
} from "./planned_work.ts";
import {
  callOptionsOf,
  drawRequest,
  type SoakRequest,
} from "./soak_request.ts";
import { startWorld, waitUntilServed } from "./soak_world.ts";
import { createStepLog } from "./step_log.ts";
import { sleep } from "./timing.ts";

const CALLERS = 6;
/** Callers that send requests ahead of their answers. */
const AHEAD_CALLERS = 2;
/** Faults overlap: an engine ends while an instance is replaced. */
const FAULTS_AT_ONCE = 2;
const DEADLINE_MS = 3_000;
/** Requests in flight at the end may take until their deadline. */
const SETTLE_MS = DEADLINE_MS + 500;
/** Bound on what is in progress at the end, for a step that hangs. */
const END_TIMEOUT_MS = 25_000;

/** What a run may do to the deployment. */
export type SoakFault =
  | Fault
  | PlannedWork
  | "burst"
  | "crowd"
  | "ending_prompts"
  | "one_entry"
  | "answers_unframed";
export const ALL_FAULTS: readonly [SoakFault, ...SoakFault[]] = [
  ...FAULTS,
  "burst",
  "crowd",
  "ending_prompts",
  "one_entry",
  "answers_unframed",
  ...PLANNED_WORK,
];

export interface SoakResult {
  readonly folder: string;
  readonly faults: readonly string[];
  readonly calls: readonly SoakCall[];
  /** Those that were sent ahead of their answers. */
  readonly ahead: readonly SoakCall[];
  /** Requests that an instance handed off to another one. */
  readonly handedOff: number;
  readonly broken: readonly string[];
}

interface SendOptions {
  readonly id: string;
  readonly attempt: number;
  readonly deadlineMs: number;
  readonly agent?: Agent;
  readonly bodyPauseMs?: number;
}

/**
 * Runs for a time; every random choice comes from `random`. Each sequence of
 * faults has a generator of its own.
 */
export async function runPlatformSoak(
  random: SeededRandom,
  durationMs: number,
  kinds: readonly [SoakFault, ...SoakFault[]] = ALL_FAULTS,
): Promise<SoakResult> {
  const folder = mkdtempSync(join(tmpdir(), "rosemarypin-soak-"));
  const world = await startWorld(folder);
  const calls: SoakCall[] = [];
  const ahead: SoakCall[] = [];
  const faults: string[] = [];
  /** Unplanned faults in progress, and the end of the last one. */
  let unplanned = 0;
  let unplannedAt = -Infinity;
  /** Instances that are being stopped, killed or frozen now. */
  const hurt = new Set<InstanceProcess>();
  /** Links of instances that are cut off from all servers now. */
  const cutLinks = new Set<ServerLinks>();
  /** The instance that gets all requests; `null` if they are spread. */
  let entry: InstanceProcess | null = null;
  let bursts = 0;
  const steps = createStepLog();
  // Drawn from the callers' choices, whose number depends on the speed of the
  // machine, the faults of a seed would differ from run to run.
  const faultSeeds = Array.from({ length: FAULTS_AT_ONCE }, () =>
    random.between(0, HIGHEST_SEED),
  );
  const aheadSeeds = Array.from({ length: AHEAD_CALLERS }, () =>
    random.between(0, HIGHEST_SEED),
  );
  await waitUntilServed(world);
  const endsAt = performance.now() + durationMs;
  const isOver = () => performance.now() >= endsAt;
  const callers = Array.from({ length: CALLERS }, (_, index) =>
    keepCalling(index),
  );
  const aheadCallers = aheadSeeds.map((seed, index) =>
    keepSendingAhead(`a${index}`, createSeededRandom(seed)),
  );
  const breakers = Array.from({ length: FAULTS_AT_ONCE }, (_, index) =>
    keepBreaking(createSeededRandom(faultSeeds[index] ?? 0)),
  );
  try {
    await steps.waitFor(
      Promise.all([...callers, ...aheadCallers, ...breakers]),
      durationMs + END_TIMEOUT_MS,
    );
  } catch (error) {
    await Promise.all(world.instances.map((instance) => instance.kill()));
    throw error;
  }
  await sleep(SETTLE_MS);
  await world.stop();
  const logs = readLogs(folder);
  const read = new Set(valuesIn(logs, / request=(\S+)/g));
  const handedOff = new Set(
    valuesIn(logs, / event=request_handed_off request=(\S+)/g),
  );
  const heldMs = readHeldTimes(logs);
  const traceOf = (id: string) => {
    return {
      runs: world.runsOf(id),
      wasRead: read.has(id),
      heldMs: heldMs.get(id) ?? 0,
    };
  };
  const broken = [
    ...judgeCalls([...calls, ...ahead], traceOf),
    ...judgeShares(calls),
    ...judgeEntry(calls),
    ...judgeQuarantines(logs),
    ...world.instances
      .filter((instance) => instance.ownEnds() > 0)
      .map(({ name }) => `${name} ended by itself`),
  ];
  return { folder, faults, calls, ahead, handedOff: handedOff.size, broken };

  async function keepBreaking(faultRandom: SeededRandom): Promise<void> {
    while (!isOver()) await breakSomething(faultRandom);
  }

  /**
   * Every other caller keeps its connections, and goes on to use them until
   * the process has exited, also while it stops.
   */
  async function keepCalling(index: number): Promise<void> {
    const keeps = index % 2 === 0;
    const habits = HABITS[index] ?? {};
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    const mayCall = (instance: InstanceProcess) =>
      keeps ? !instance.isGone() : instance.isUp();
    for (let count = 0; !isOver(); count += 1) {
      const request = { ...drawRequest(random), ...habits.request };
      const drawn = world.instances[random.between(0, 2)];
      const instance = entry ?? drawn;
      if (!instance || !mayCall(instance)) {
        await sleep(20);
        continue;
      }
      const { answer } = await send(instance, request, {
        id: `c${index}-${count}`,
        attempt: 1,
        deadlineMs: DEADLINE_MS,
        ...(keeps ? { agent } : {}),
        ...(habits.bodyPauseMs ? { bodyPauseMs: habits.bodyPauseMs } : {}),
      });
      if (habits.isSlowToReturn) await sleep(idleMsOf(answer));
    }
  }

  /** Sends two or three requests at a time, and uses connections to their end. */
  async function keepSendingAhead(
    name: string,
    aheadRandom: SeededRandom,
  ): Promise<void> {
    let connection: AheadConnection | null = null;
    for (let count = 0; !isOver(); count += 1) {
      if (!connection?.isOpen()) {
        const drawn = world.instances[aheadRandom.between(0, 2)];
        const instance = entry ?? drawn;
        if (!instance?.isUp()) {
          await sleep(20);
          continue;
        }
        connection = openAheadConnection(instance.url);
      }
      const requests = Array.from({ length: aheadRandom.between(2, 3) }, () =>
        drawRequest(aheadRandom, { kind: aheadRandom.pick(AHEAD_KINDS) }),
      );
      const sent = requests.map((request, index) => {
        const id = `${name}-${count}-${index}`;
        const complete = draft(request, {
          id,
          attempt: 1,
          deadlineMs: DEADLINE_MS,
        });
        const options = { ...callOptionsOf(request), id };
        return { complete, options: { ...options, deadlineMs: DEADLINE_MS } };
      });
      const answers = await steps.during(
        `ahead ${name}-${count}`,
        connection.send(
          sent.map(({ options }) => options),
          aheadRandom,
        ),
      );
      for (const [index, { answer, isBehindEnd }] of answers.entries()) {
        const complete = sent[index]?.complete;
        if (complete) ahead.push({ ...complete(answer), isBehindEnd });
      }
    }
    connection?.close();
  }

  async function send(
    instance: InstanceProcess,
    request: SoakRequest,
    { attempt, ...options }: SendOptions,
  ): Promise<SoakCall> {
    const { id, deadlineMs } = options;
    const complete = draft(request, { id, attempt, deadlineMs });
    const answering = call(instance.url, {
      ...options,
      ...callOptionsOf(request),
    });
    const answer = await steps.during(`${request.kind} ${id}`, answering);
    const sent = complete(answer);
    calls.push(sent);
    return sent;
  }

  /** Notes that a request is sent now; it is completed with its answer. */
  function draft(
    request: SoakRequest,
    sent: Pick<SoakCall, "id" | "attempt" | "deadlineMs">,
  ): (answer: CallerAnswer) => SoakCall {
    const startedAt = performance.now();
    const throughOneEntry = entry !== null;
    return (answer) => {
      const isCalm = unplannedAt < startedAt - SETTLE_MS;
      const onlyPlanned = unplanned === 0 && isCalm;
      return {
        ...request,
        ...sent,
        answer,
        onlyPlanned,
        throughOneEntry,
        allowed: world.versions.allowanceOf(request, {
          sentAt: startedAt,
          wasInTouch: onlyPlanned,
        }),
      };
    };
  }

  function burst(burstRandom: SeededRandom): Promise<void> {
    bursts += 1;
    return runBurst(`b${bursts}`, burstRandom, {
      isOver,
      deadlineMs: DEADLINE_MS,
      async send(request, options) {
        const up = world.instances.filter((instance) => instance.isUp());
        const instance = up[random.between(0, 2) % Math.max(1, up.length)];
        return instance ? send(instance, request, options) : null;
      },
    });
  }

  /** All callers use one instance, and another one once that is gone. */
  async function useOneEntry(entryRandom: SeededRandom): Promise<void> {
    const chosen = entryRandom.between(0, world.instances.length - 1);
    const entryEndsAt = performance.now() + entryRandom.between(2_000, 4_000);
    while (!isOver() && performance.now() < entryEndsAt) {
      const first = world.instances[chosen];
      entry = first?.isUp()
        ? first
        : (world.instances.find((instance) => instance.isUp()) ?? null);
      await sleep(20);
    }
    entry = null;
  }

  function begin(fault: SoakFault, faultRandom: SeededRandom): Promise<void> {
    const { engines } = world.deployment;
    const { instances } = world;
    const random = faultRandom;
    if (isPlannedWork(fault)) return carryOutWork(fault, { world, random });
    if (fault === "burst") return burst(random);
    if (fault === "crowd") return sendCrowds(instances, random);
    if (fault === "one_entry") return useOneEntry(random);
    if (fault === "answers_unframed") return leaveUnframed(engines, random);
    if (fault === "ending_prompts") {
      const deadlineMs = DEADLINE_MS;
      return sendEndingPrompts({ engines, instances, random, deadlineMs });
    }
    return carryOut(fault, { world, random, hurt, cutLinks });
  }

  async function breakSomething(faultRandom: SeededRandom): Promise<void> {
    const fault = faultRandom.pick(kinds);
    const isPlanned = PLANNED.has(fault) || isPlannedWork(fault);
    faults.push(fault);
    if (!isPlanned) unplanned += 1;
    await steps.during(fault, begin(fault, faultRandom));
    if (!isPlanned) {
      unplanned -= 1;
      unplannedAt = performance.now();
    }
    await sleep(faultRandom.between(50, 900));
  }
}

/** Texts of the logs of all instances. */
function readLogs(folder: string): string[] {
  return readdirSync(folder)
    .filter((name) => name.endsWith(".log"))
    .map((name) => readFileSync(join(folder, name), "utf8"));
}

/** Values of the first group of each match. */
function valuesIn(texts: readonly string[], pattern: RegExp): string[] {
  return texts.flatMap((text) =>
    [...text.matchAll(pattern)].map(([, value = ""]) => value),
  );
}

/** Longest time that an instance needed until a request's end, by its id. */
function readHeldTimes(texts: readonly string[]): Map<string, number> {
  const times = new Map<string, number>();
  const pattern = / event=request_ended request=(\S+) .*total_ms=(\d+)/g;
  for (const text of texts) {
    for (const [, id = "", time] of text.matchAll(pattern))
      times.set(id, Math.max(times.get(id) ?? 0, Number(time)));
  }
  return times;
}
