/**
 * Callers that retry: a refused one waits for the Retry-After delay, and one
 * without a complete answer in time disconnects and retries at once.
 */
import { ANSWER_TOKENS } from "../bench_shape.ts";
import { createRandom, pickOrganisation } from "../open_loop.ts";
import { runVirtualAnswer } from "./virtual_answer.ts";
import type { VirtualDeployment } from "./virtual_deployment.ts";
import {
  drawTokens,
  runArrivals,
  type VirtualLoadOptions,
} from "./virtual_load.ts";

export interface CallerOptions extends VirtualLoadOptions {
  /** How long a caller waits for a whole answer. */
  readonly patienceMs: number;
  /** Tries of one caller, after which it gives up. */
  readonly tries: number;
  /** Whether engines stop work whose caller has left. */
  readonly stopsAbandoned: boolean;
}

/** What became of one caller. */
export interface CallerEnd {
  readonly arrivedAt: number;
  readonly tries: number;
  readonly isServed: boolean;
}

/** Lets callers arrive; resolves when each was served or gave up. */
export function runCallers(
  deployment: VirtualDeployment,
  options: CallerOptions,
): Promise<readonly CallerEnd[]> {
  const random = createRandom(options.seed);
  return runArrivals({ ...options, random }, (index) =>
    runCaller(deployment, { ...options, index, random }),
  );
}

async function runCaller(
  deployment: VirtualDeployment,
  caller: CallerOptions & {
    readonly index: number;
    readonly random: () => number;
  },
): Promise<CallerEnd> {
  const arrivedAt = performance.now();
  const tokens = drawTokens(caller.random);
  const organisation = pickOrganisation(caller.random).name;
  for (let tries = 1; tries <= caller.tries; tries++) {
    const end = await tryOnce(deployment, {
      ...caller,
      tries,
      tokens,
      organisation,
    });
    if (end.kind === "whole") return { arrivedAt, tries, isServed: true };
    if (end.kind === "refused") {
      const waitMs = end.retryAfterMs * (1 + caller.random());
      await new Promise((done) => setTimeout(done, waitMs));
    }
  }
  return { arrivedAt, tries: caller.tries, isServed: false };
}

/** One try; the caller does not learn what runs on after it has left. */
function tryOnce(
  deployment: VirtualDeployment,
  attempt: CallerOptions & {
    readonly index: number;
    readonly tries: number;
    readonly tokens: number;
    readonly organisation: string;
  },
) {
  const { index, tries, tokens, organisation } = attempt;
  const { routers } = deployment;
  const router = routers[(index + tries) % routers.length];
  if (!router) throw new Error("the deployment has no instance");
  const left = new AbortController();
  const answer = runVirtualAnswer(deployment, {
    id: `${index}-${tries}`,
    router,
    organisation,
    tokens,
    maxTokens: ANSWER_TOKENS,
    onToken: () => {},
    ...(attempt.stopsAbandoned ? { signal: left.signal } : {}),
  });
  return new Promise<Awaited<typeof answer>>((resolve) => {
    const timer = setTimeout(() => {
      left.abort();
      resolve({ kind: "left" });
    }, attempt.patienceMs);
    void answer.then((end) => {
      clearTimeout(timer);
      resolve(end);
    });
  });
}
