/** Runs seeded answers on real engine code under faults. */
import {
  createEngineClient,
  createEngineFleet,
  type EngineFleet,
} from "@rosemarypin/backends";
import {
  type AnswerEvent,
  createRecoveryLimiter,
  formatEventId,
  type LivenessLimits,
  parseEventId,
  type ResumeDependencies,
  resumeAnswer,
  runAnswer,
} from "@rosemarypin/calls";
import { createFixedNote, serveVersions } from "@rosemarypin/fakes";
import { findFreePorts } from "@rosemarypin/launcher";
import { createRouter } from "@rosemarypin/routing";
import { type AnswerRequest, settingsSchema } from "@rosemarypin/schemas";
import { type EngineGroup, startEngineGroup } from "@rosemarypin/stand_ins";
import {
  breakEngines,
  createFaultyClient,
  createLinkFault,
} from "./answer_faults.ts";
import { findBreaks, type ReceivedAnswer } from "./answer_rule.ts";
import { createSeededRandom, type SeededRandom } from "./seeded_random.ts";

const MODEL = "assist";
const VERSION = "v1";
const LAYERS = 12;
const WORKERS = 24;
const INSTANCES = 2;
const ENGINES_PER_STAGE = 3;
const CONNECTION_LOST = 0.15;
const DEADLINE_MS = 60_000;
const SPEED = {
  batchMs: 1,
  layerMicros: 20,
  promptFactor: 0.1,
  linkMs: 0.2,
  batchSize: 32,
};
const LIVENESS: LivenessLimits = {
  startMs: 400,
  firstTokenMs: 300,
  shortestSilenceMs: 80,
  longestSilenceMs: 400,
  probeMs: 200,
  lostMessageMs: 600,
};

/** What a whole run found. */
export interface AnswersReport {
  readonly broken: readonly BrokenAnswer[];
  readonly recoveries: number;
  readonly resumed: number;
  readonly notRun: number;
  /** Answers whose first engine died with their connection. */
  readonly lost: number;
  readonly faults: number;
}

export interface BrokenAnswer {
  readonly breaks: readonly string[];
  /** What happened to the answer, in order. */
  readonly history: readonly string[];
}

interface Served extends ReceivedAnswer {
  readonly resumed: number;
  readonly lost: boolean;
}

/** Runs `runs` answers; the seed decides requests and faults. */
export async function runAnswers(options: {
  readonly runs: number;
  readonly seed: number;
}): Promise<AnswersReport> {
  const random = createSeededRandom(options.seed);
  const { group, instances, stop } = await startParts(random);
  const served: Served[] = [];
  const faults: string[] = [];
  const ended = new AbortController();
  const breaking = breakEngines(group, {
    random,
    signal: ended.signal,
    onFault: (what) => faults.push(what),
  });
  let next = 0;
  const workers = Array.from({ length: WORKERS }, async () => {
    while (next < options.runs) {
      next += 1;
      const request = drawRequest(random, next);
      served.push(await serve(request, { instances, random }));
    }
  });
  await Promise.all(workers);
  ended.abort();
  await breaking;
  stop();
  return report(served, { group, faults: faults.length });
}

async function startParts(random: SeededRandom) {
  const ports = await findFreePorts(3 * ENGINES_PER_STAGE);
  const group = await startEngineGroup({
    model: MODEL,
    versions: [VERSION],
    stages: [
      { layers: { from: 0, to: 5 }, count: ENGINES_PER_STAGE, speed: SPEED },
      { layers: { from: 5, to: 9 }, count: ENGINES_PER_STAGE, speed: SPEED },
      { layers: { from: 9, to: 12 }, count: ENGINES_PER_STAGE, speed: SPEED },
    ],
    nextAddress: () => ({ host: "127.0.0.1", port: ports.shift() ?? 0 }),
    linkFault: createLinkFault(random),
  });
  const fleets: EngineFleet[] = [];
  const instances = Array.from(
    { length: INSTANCES },
    (): ResumeDependencies => {
      const real = createEngineClient();
      const fleet = createEngineFleet({ engines: group.engines, client: real });
      fleets.push(fleet);
      const limits = settingsSchema.shape.limits.parse(undefined);
      return {
        keeper: createFixedNote(
          serveVersions({
            number: 1,
            model: MODEL,
            versions: [VERSION],
            layers: LAYERS,
          }),
        ),
        router: createRouter({
          fleet,
          failureDomain: "domain-1",
          limits,
          objectives: settingsSchema.shape.objectives.parse(undefined),
          seed: 1,
        }),
        fleet,
        engines: createFaultyClient(real, random),
        parked: real,
        recoveries: createRecoveryLimiter(),
        liveness: LIVENESS,
      };
    },
  );
  await sleep(200);
  const stop = () => {
    for (const fleet of fleets) fleet.stop();
    group.stop();
  };
  return { group, instances, stop };
}

function drawRequest(random: SeededRandom, number: number): AnswerRequest {
  const words = random.between(2, 40);
  return {
    requestId: `answer-${number}`,
    organisation: "kano",
    weight: 1,
    model: MODEL,
    adapter: undefined,
    promptTokens: Array.from(
      { length: words },
      () => `word${random.between(0, 999)}`,
    ),
    maxTokens: random.between(4, 32),
    priority: random.pick(["interactive", "standard", "batch"]),
    deadlineAt: Date.now() + DEADLINE_MS,
  };
}

/** One caller, who comes back to the other instance when it is cut off. */
async function serve(
  request: AnswerRequest,
  options: {
    readonly instances: readonly ResumeDependencies[];
    readonly random: SeededRandom;
  },
): Promise<Served> {
  const { instances, random } = options;
  const received: AnswerEvent[] = [];
  let resumed = 0;
  let lost = false;
  let turn = random.between(0, INSTANCES - 1);
  while (true) {
    const instance = instances[turn % INSTANCES];
    if (!instance) throw new Error("there is no instance");
    const left = new AbortController();
    const cutAfter = random.chance(CONNECTION_LOST)
      ? random.between(1, 10)
      : Number.POSITIVE_INFINITY;
    const events = await open(instance, left.signal);
    if (!events) {
      lost = true;
      break;
    }
    let count = 0;
    for await (const event of events) {
      received.push(event);
      if (event.type === "token") count += 1;
      if (count >= cutAfter) break;
    }
    const isFinal = received.at(-1)?.type !== "token";
    if (isFinal) break;
    left.abort();
    turn += 1;
    resumed += 1;
  }
  return { request, events: received, resumed, lost };

  async function open(instance: ResumeDependencies, signal: AbortSignal) {
    const last = received.findLast((event) => event.type === "token");
    if (!last) return runAnswer(request, { ...instance, signal });
    const id = formatEventId({ ...last, requestId: request.requestId });
    const parsed = parseEventId(id);
    if (!parsed) throw new Error(`${id} cannot be read back`);
    const { organisation, deadlineAt } = request;
    const resume = { last: parsed, organisation, weight: 1, deadlineAt };
    const result = await resumeAnswer(resume, { ...instance, signal });
    return result.kind === "resumed" ? result.events : null;
  }
}

function report(
  served: readonly Served[],
  options: { readonly group: EngineGroup; readonly faults: number },
): AnswersReport {
  const { journal } = options.group;
  const broken = served.flatMap((answer): BrokenAnswer[] => {
    const rule = { journal, version: VERSION, layers: LAYERS };
    const breaks = answer.lost
      ? findBreaks(withLostEnd(answer), rule)
      : [...findBreaks(answer, rule), ...findGivenUp(answer)];
    if (breaks.length === 0) return [];
    return [{ breaks, history: tellHistory(answer, options.group) }];
  });
  const attempts = served.map(({ request: { requestId } }) => {
    const runs = journal.filter((run) => run.requestId === requestId);
    return new Set(runs.map(({ attempt }) => attempt)).size;
  });
  return {
    broken,
    recoveries: attempts.reduce(
      (sum, count) => sum + Math.max(0, count - 1),
      0,
    ),
    resumed: served.reduce((sum, answer) => sum + answer.resumed, 0),
    notRun: served.filter(isNotRun).length,
    lost: served.filter(({ lost }) => lost).length,
    faults: options.faults,
  };
}

/** What a caller has whose answer is gone must still be true. */
function withLostEnd({ request, events }: Served): ReceivedAnswer {
  const failure = {
    outcome: "failed",
    code: "answer_lost",
    message: "",
    status: 502,
  } as const;
  return { request, events: [...events, { type: "failed", failure }] };
}

function isNotRun({ events }: Served): boolean {
  const last = events.at(-1);
  return last?.type === "failed" && last.failure.outcome === "not_run";
}

/** With engines that come back, an answer that began must come to its end. */
function findGivenUp({ events }: Served): string[] {
  const last = events.at(-1);
  return last?.type === "failed" && last.failure.outcome !== "not_run"
    ? [`given up: ${last.failure.code}`]
    : [];
}

function tellHistory(answer: Served, group: EngineGroup): string[] {
  const { requestId, promptTokens, maxTokens } = answer.request;
  const runs = group.journal
    .filter((run) => run.requestId === requestId)
    .map(
      ({ engine, incarnation, attempt, from, to, position, count }) =>
        `${engine}#${incarnation % 100_000} attempt ${attempt} layers ` +
        `${from}-${to} position ${position} count ${count}`,
    );
  const last = answer.events.at(-1);
  return [
    `${requestId}: ${promptTokens.length} words, ${maxTokens} tokens at most`,
    ...runs,
    `received ${answer.events.length} events, the last ${JSON.stringify(last)}`,
  ];
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
