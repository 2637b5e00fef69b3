/** One entry instance's answers, without its HTTP interface. */

import {
  createEngineClient,
  createEngineFleet,
  type EngineClient,
} from "@rosemarypin/backends";
import {
  type AnswerDependencies,
  createRecoveryLimiter,
} from "@rosemarypin/calls";
import { createFixedNote, serveVersions } from "@rosemarypin/fakes";
import { createRouter } from "@rosemarypin/routing";
import {
  type AnswerRequest,
  type EngineSettings,
  settingsSchema,
} from "@rosemarypin/schemas";
import { pause } from "@rosemarypin/timing";

const DEADLINE_MS = 80_000;
const ANSWERS_PER_ENGINE = 10_000;

export const MODEL = "assist";
export const VERSION = "v1";

export interface Entry {
  readonly answers: AnswerDependencies;
  stop(): void;
}

/** Starts an entry and waits until it has heard all engines. */
export async function startEntry(options: {
  readonly engines: readonly EngineSettings[];
  readonly layers: number;
  readonly wrap?: (client: EngineClient) => EngineClient;
}): Promise<Entry> {
  const real = createEngineClient();
  const { engines, layers, wrap = (client) => client } = options;
  const fleet = createEngineFleet({ engines, client: real });
  const limits = {
    ...settingsSchema.shape.limits.parse(undefined),
    answersPerEngine: ANSWERS_PER_ENGINE,
  };
  const note = { number: 1, model: MODEL, versions: [VERSION], layers };
  const failureDomain = engines[0]?.failureDomain ?? "";
  while (!fleet.engines().every(({ usable }) => usable)) await pause(20);
  return {
    answers: {
      keeper: createFixedNote(serveVersions(note)),
      router: createRouter({
        fleet,
        failureDomain,
        limits,
        objectives: { firstTokenMs: DEADLINE_MS, betweenTokensMs: DEADLINE_MS },
        seed: 1,
      }),
      fleet,
      engines: wrap(real),
      recoveries: createRecoveryLimiter(),
    },
    stop: () => fleet.stop(),
  };
}

/** A request with the given numbers of words and tokens. */
export function describeRequest(
  requestId: string,
  size: { readonly words: number; readonly tokens: number },
): AnswerRequest {
  return {
    requestId,
    organisation: "kano",
    weight: 1,
    model: MODEL,
    adapter: undefined,
    promptTokens: Array.from(
      { length: size.words },
      (_, index) => `${requestId}-${index}`,
    ),
    maxTokens: size.tokens,
    priority: "standard",
    deadlineAt: Date.now() + DEADLINE_MS,
  };
}
