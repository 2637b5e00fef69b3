/** Callers that send requests in a loop until they are stopped. */
import { randomUUID } from "node:crypto";
import { setTimeout as pause } from "node:timers/promises";
import {
  type Deployment,
  resumeStream,
  type StreamedAnswer,
  streamAnswer,
} from "@rosemarypin/launcher";
import { failureBodySchema, formatAddress } from "@rosemarypin/schemas";
import { request } from "undici";
import type { Observations, ObservedOrder } from "./observations.ts";
import type { TrafficSettings } from "./scenario_schema.ts";

/** A caller that was refused waits this long, as retry-after would say. */
const REFUSED_PAUSE_MS = 100;
const ORDER_TIMEOUT_MS = 20_000;

/** Traffic that runs. */
export interface Traffic {
  /** Resolves when the last request has ended. */
  stop(): Promise<void>;
}

export interface TrafficOptions {
  readonly deployment: Deployment;
  readonly seen: Observations;
  /** Milliseconds since the run began. */
  readonly clock: () => number;
  readonly seed: number;
  /** Instances that a balancer would not choose now. */
  readonly away: ReadonlySet<string>;
}

/** Starts the callers of one kind of traffic. */
export function startTraffic(
  settings: TrafficSettings,
  options: TrafficOptions,
): Traffic {
  const state = { isStopped: false };
  const callers = Array.from({ length: settings.callers }, (_, index) =>
    runCaller(settings, { ...options, index, state }),
  );
  return {
    async stop() {
      state.isStopped = true;
      await Promise.all(callers);
    },
  };
}

async function runCaller(
  settings: TrafficSettings,
  options: TrafficOptions & {
    readonly index: number;
    readonly state: { readonly isStopped: boolean };
  },
): Promise<void> {
  const { index, state } = options;
  for (let turn = 0; !state.isStopped; turn++) {
    const target = pickTarget(settings, { ...options, turn: index + turn });
    const isAnswered =
      settings.kind === "answers"
        ? await askOne(settings, { ...options, ...target, turn })
        : await orderOne({ ...options, ...target, turn });
    await pause(isAnswered ? settings.pauseMs : REFUSED_PAUSE_MS);
  }
}

interface Target {
  readonly instance: string;
  readonly baseUrl: string;
}

function pickTarget(
  settings: TrafficSettings,
  options: Pick<TrafficOptions, "deployment" | "away"> & {
    readonly turn: number;
  },
): Target {
  const { deployment, turn, away } = options;
  const wanted = settings.instances;
  const daemons = deployment.plan.daemons.filter(
    ({ instance }) => !wanted || wanted.includes(instance.id),
  );
  const present = daemons.filter(({ instance }) => !away.has(instance.id));
  const chosen = present.length > 0 ? present : daemons;
  const daemon = chosen[turn % chosen.length];
  if (!daemon) throw new Error("the traffic names no instance of the cast");
  const { id, addresses } = daemon.instance;
  const baseUrl = `http://${formatAddress(addresses.callers)}`;
  return { instance: id, baseUrl };
}

async function askOne(
  settings: TrafficSettings,
  options: TrafficOptions &
    Target & { readonly index: number; readonly turn: number },
): Promise<boolean> {
  const { deployment, seen, clock, instance, baseUrl } = options;
  const { maxTokens } = settings;
  const prompt = `seed ${options.seed} caller ${options.index} turn ${options.turn}`;
  const startedAt = clock();
  let lastTokenAt = 0;
  const onToken = () => {
    lastTokenAt = clock();
  };
  const first = await streamAnswer({
    baseUrl,
    key: keyOf(deployment),
    model: deployment.plan.shape.model,
    prompt,
    maxTokens,
    onToken,
  });
  const resumed = settings.resumes
    ? await resumeElsewhere(first, { ...options, onToken })
    : null;
  const answer = resumed?.answer ?? first;
  seen.answers.push({
    prompt,
    maxTokens,
    instance,
    ...(resumed && { resumedOn: resumed.instance }),
    startedAt,
    lastTokenAt,
    endedAt: clock(),
    answer,
  });
  return answer.kind === "whole";
}

/** Takes a broken answer up again on the others in turn. */
async function resumeElsewhere(
  first: StreamedAnswer,
  options: TrafficOptions & Target & { readonly onToken: () => void },
): Promise<{
  readonly answer: StreamedAnswer;
  readonly instance: string;
} | null> {
  const { deployment, instance: lost, onToken } = options;
  if (first.kind !== "broken" || !first.resumeFrom) return null;
  let { tokens, resumeFrom } = first;
  for (const daemon of deployment.plan.daemons) {
    const { id, addresses } = daemon.instance;
    if (id === lost) continue;
    const answer = await resumeStream(resumeFrom, {
      baseUrl: `http://${formatAddress(addresses.callers)}`,
      key: keyOf(deployment),
      tokens,
      onToken,
    });
    if (answer.kind !== "broken") return { answer, instance: id };
    tokens = answer.tokens;
    resumeFrom = answer.resumeFrom ?? resumeFrom;
  }
  return null;
}

async function orderOne(
  options: TrafficOptions &
    Target & { readonly index: number; readonly turn: number },
): Promise<boolean> {
  const idempotencyKey = randomUUID();
  const told = await sendOrder(idempotencyKey, options);
  options.seen.orders.push({ idempotencyKey, told });
  return told === "answered";
}

async function sendOrder(
  idempotencyKey: string,
  options: TrafficOptions & Target,
): Promise<ObservedOrder["told"]> {
  const { deployment, baseUrl } = options;
  const service = deployment.plan.shape.service.name;
  try {
    const response = await request(`${baseUrl}/services/${service}/orders`, {
      method: "POST",
      headers: {
        authorization: `Bearer ${keyOf(deployment)}`,
        "content-type": "application/json",
        "idempotency-key": idempotencyKey,
      },
      body: JSON.stringify({ part: "belt-22" }),
      signal: AbortSignal.timeout(ORDER_TIMEOUT_MS),
    });
    const body = await response.body.json();
    if (response.statusCode < 400) return "answered";
    return failureBodySchema.parse(body).error.outcome;
  } catch {
    return "broken";
  }
}

function keyOf(deployment: Deployment): string {
  return deployment.plan.shape.organisations[0]?.key ?? "";
}
