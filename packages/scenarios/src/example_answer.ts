/** Observations and answers for tests of the promises. */
import { expectedAnswer } from "@rosemarypin/stand_ins";
import {
  createObservations,
  type Observations,
  type ObservedAnswer,
} from "./observations.ts";
import type { PromiseName } from "./scenario_schema.ts";

const MODEL = "assist";
const LAYERS = 4;
const PROMPT = "why does it stop";

/** What a run saw that saw nothing but `change`. */
export function observe(change: Partial<Observations>): Observations {
  const empty = createObservations({
    model: MODEL,
    layers: LAYERS,
    allowanceMs: 10_000,
  });
  return { ...empty, ...change };
}

/** A whole and true answer of a version, but for `change`. */
export function answerOf(
  version: string,
  change: Partial<ObservedAnswer> = {},
): ObservedAnswer {
  const maxTokens = 4;
  const { tokens, digest } = expectedAnswer({
    weights: { model: MODEL, version },
    layers: LAYERS,
    promptTokens: PROMPT.split(" "),
    maxTokens,
  });
  const provenance = { version, noteNumber: 1, digest, attempts: 1 };
  return {
    prompt: PROMPT,
    maxTokens,
    instance: "entry-1",
    startedAt: 0,
    lastTokenAt: 500,
    endedAt: 500,
    answer: { kind: "whole", tokens, provenance },
    ...change,
  };
}

/** An answer that its instance gave up. */
export const failed = answerOf("v1", {
  answer: {
    kind: "failed",
    tokens: [],
    outcome: "failed",
    code: "attempts_used_up",
    status: 503,
    retryAfterSeconds: 1,
  },
});

/** A recall of `v1` that was accepted. */
export const recalled = [
  {
    name: "recall-v1",
    phase: "accepted" as const,
    at: 400,
    withdrawnVersions: ["v1"],
  },
];

/** What a run saw, and whether the promise held in it. */
export interface PromiseExample {
  readonly promise: PromiseName;
  readonly story: string;
  readonly seen: Partial<Observations>;
  readonly isHeld: boolean;
}

/** Creates an example. */
export function row(
  promise: PromiseName,
  story: string,
  seen: Partial<Observations>,
  isHeld: boolean,
): PromiseExample {
  return { promise, story, seen, isHeld };
}
