/**
 * Open-loop load on real routers and virtual engines. All time passes on the
 * clock of the runtime; a test replaces that and advances it.
 */
import { ANSWER_TOKENS, STOP_EVERY } from "../bench_shape.ts";
import { createRandom, pickOrganisation, type Sample } from "../open_loop.ts";
import { runVirtualAnswer } from "./virtual_answer.ts";
import type { VirtualDeployment } from "./virtual_deployment.ts";

export interface VirtualLoadOptions {
  /** Requests a second, on average, so long after the start. */
  readonly rateAt: (afterMs: number) => number;
  readonly durationMs: number;
  readonly seed: number;
}

/** Sends requests with exponential gaps; resolves when all have ended. */
export function runVirtualLoad(
  deployment: VirtualDeployment,
  options: VirtualLoadOptions,
): Promise<readonly Sample[]> {
  const random = createRandom(options.seed);
  return runArrivals({ ...options, random }, (index) => {
    const organisation = pickOrganisation(random).name;
    const tokens = drawTokens(random);
    return sendOne(deployment, { index, organisation, tokens });
  });
}

/** Calls `arrive` at random times and waits for all that comes of it. */
export async function runArrivals<T>(
  options: VirtualLoadOptions & { readonly random: () => number },
  arrive: (index: number) => Promise<T>,
): Promise<T[]> {
  const { random, rateAt, durationMs } = options;
  const running: Promise<T>[] = [];
  const startedAt = performance.now();
  let nextAt = 0;
  while (nextAt < durationMs) {
    const waitMs = startedAt + nextAt - performance.now();
    if (waitMs > 0) await new Promise((done) => setTimeout(done, waitMs));
    running.push(arrive(running.length));
    nextAt += (-Math.log(1 - random()) * 1_000) / rateAt(nextAt);
  }
  return Promise.all(running);
}

async function sendOne(
  deployment: VirtualDeployment,
  request: {
    readonly index: number;
    readonly organisation: string;
    readonly tokens: number;
  },
): Promise<Sample> {
  const { index, organisation, tokens } = request;
  const router = deployment.routers[index % deployment.routers.length];
  if (!router) throw new Error("the deployment has no instance");
  const sentAt = performance.now();
  const tokenTimes: number[] = [];
  const { kind } = await runVirtualAnswer(deployment, {
    id: String(index),
    router,
    organisation,
    tokens,
    maxTokens: ANSWER_TOKENS,
    onToken: () => tokenTimes.push(performance.now()),
  });
  const end = kind === "whole" || kind === "refused" ? kind : "failed";
  const endedAt = performance.now();
  return { organisation, sentAt, tokenTimes, end, endedAt };
}

/** Draws the length of an answer, which ends at a token as in the stand-in. */
export function drawTokens(random: () => number): number {
  const natural = Math.log(1 - random()) / Math.log(1 - 1 / STOP_EVERY);
  return Math.max(1, Math.min(ANSWER_TOKENS, Math.ceil(natural)));
}
