/** Open-loop load: requests come at their times, whatever the answers do. */
import { setMaxListeners } from "node:events";
import { pause } from "@rosemarypin/timing";
import { createParser } from "eventsource-parser";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { Agent, request } from "undici";
import {
  type BenchOrganisation,
  benchOrganisations,
  PROMPT_TOKENS,
} from "./bench_shape.ts";

const RANDOM_RANGE = 1 << 24;
/** How long answers may go on after the last request; then they are cut, so
 * that a policy that let everything in does not hold up the whole bench. */
const LONGEST_DRAIN_MS = 8_000;
/** Share of the requests that come from the two large organisations. */
const LARGE_SHARE = 0.7;

/** One request as its caller saw it; times are `performance.now()`. */
export interface Sample {
  readonly organisation: string;
  readonly sentAt: number;
  /** When each token came. */
  readonly tokenTimes: readonly number[];
  readonly end: "whole" | "refused" | "failed";
  readonly endedAt: number;
}

export interface LoadOptions {
  readonly urls: readonly string[];
  readonly model: string;
  /** Requests a second, on average, so long after the start. */
  readonly rateAt: (afterMs: number) => number;
  readonly durationMs: number;
  readonly answerTokens: number;
  readonly seed: number;
}

/** Sends requests with exponential gaps and waits for all their ends. */
export async function runOpenLoop(
  options: LoadOptions,
): Promise<readonly Sample[]> {
  const random = createRandom(options.seed);
  const agent = new Agent({ connections: null, pipelining: 1 });
  const running: Promise<Sample>[] = [];
  const startedAt = performance.now();
  const signal = AbortSignal.timeout(options.durationMs + LONGEST_DRAIN_MS);
  // All requests of the load listen to it.
  setMaxListeners(0, signal);
  let nextAt = 0;
  let count = 0;
  while (nextAt < options.durationMs) {
    const waitMs = startedAt + nextAt - performance.now();
    if (waitMs > 0) await pause(waitMs);
    const organisation = pickOrganisation(random);
    const url = options.urls[count % options.urls.length] ?? "";
    running.push(
      sendOne(organisation, { ...options, url, agent, count, signal }),
    );
    count += 1;
    const rate = options.rateAt(nextAt);
    nextAt += (-Math.log(1 - random()) * 1_000) / rate;
  }
  const samples = await Promise.all(running);
  await agent.destroy();
  return samples;
}

async function sendOne(
  organisation: BenchOrganisation,
  options: LoadOptions & {
    readonly url: string;
    readonly agent: Agent;
    readonly count: number;
    readonly signal: AbortSignal;
  },
): Promise<Sample> {
  const sentAt = performance.now();
  const tokenTimes: number[] = [];
  const finish = (end: Sample["end"]): Sample => ({
    organisation: organisation.name,
    sentAt,
    tokenTimes,
    end,
    endedAt: performance.now(),
  });
  try {
    const response = await request(`${options.url}/v1/completions`, {
      dispatcher: options.agent,
      signal: options.signal,
      method: "POST",
      headers: {
        authorization: `Bearer ${organisation.key}`,
        "content-type": "application/json",
      },
      body: JSON.stringify({
        model: options.model,
        prompt: promptOf(options.count),
        max_tokens: options.answerTokens,
        stream: true,
      }),
    });
    if (response.statusCode !== 200) {
      await response.body.dump();
      return finish(response.statusCode === 503 ? "refused" : "failed");
    }
    return finish(await readStream(response.body, tokenTimes));
  } catch {
    return finish("failed");
  }
}

async function readStream(
  body: AsyncIterable<Buffer>,
  tokenTimes: number[],
): Promise<Sample["end"]> {
  let end: Sample["end"] = "failed";
  const parser = createParser({
    onEvent(event) {
      if (event.data === "[DONE]") end = "whole";
      else if (event.id !== undefined) tokenTimes.push(performance.now());
    },
  });
  const decoder = new TextDecoder();
  for await (const chunk of body) {
    parser.feed(decoder.decode(chunk, { stream: true }));
  }
  return end;
}

/** Prompts differ from each other, so that no cache can help. */
function promptOf(count: number): string {
  return Array.from(
    { length: PROMPT_TOKENS },
    (_, index) => `word${count}x${index}`,
  ).join(" ");
}

/** Draws the sender of a request. */
export function pickOrganisation(random: () => number): BenchOrganisation {
  const isLarge = random() < LARGE_SHARE;
  const group = benchOrganisations.filter(
    (organisation) => organisation.isLarge === isLarge,
  );
  const picked = group[Math.floor(random() * group.length)];
  if (!picked) throw new Error("a group of organisations is empty");
  return picked;
}

/** Numbers from 0 to 1, the same for the same seed. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformInt(generator, 0, RANDOM_RANGE - 1) / RANDOM_RANGE;
}
