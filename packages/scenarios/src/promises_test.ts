import { expectedAnswer } from "@rosemarypin/stand_ins";
import { describe, expect, it } from "vitest";
import type { Observations, ObservedAnswer } from "./observations.ts";
import { judge } from "./promises.ts";
import { hasHeld } from "./run_scenario.ts";
import { type PromiseName, promiseNameSchema } from "./scenario_schema.ts";

const MODEL = "assist";
const LAYERS = 4;
const PROMPT = "why does it stop";

function observe(change: Partial<Observations>): Observations {
  return {
    model: MODEL,
    layers: LAYERS,
    answers: [],
    orders: [],
    notes: [],
    claims: [],
    timeline: [],
    journal: [],
    leavings: [],
    kills: [],
    recalls: [],
    cuts: [],
    outages: [],
    allowanceMs: 10_000,
    work: [],
    ...change,
  };
}

function answerOf(
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

const whole = answerOf("v1");
const { tokens, provenance } =
  whole.answer.kind === "whole"
    ? whole.answer
    : { tokens: [], provenance: { version: "", digest: "" } };
const doubled = answerOf("v1", {
  answer: {
    kind: "whole",
    tokens: [...tokens, tokens.at(-1) ?? ""],
    provenance: { ...provenance, noteNumber: 1, attempts: 1 },
  },
});
const layerTwice = answerOf("v1", {
  answer: {
    kind: "whole",
    tokens,
    provenance: {
      ...provenance,
      digest: "of another order of layers",
      noteNumber: 1,
      attempts: 1,
    },
  },
});
const broken = answerOf("v1", {
  answer: {
    kind: "broken",
    tokens: tokens.slice(0, 2),
    reason: "reset",
    resumeFrom: null,
  },
});
const failed = answerOf("v1", {
  answer: {
    kind: "failed",
    tokens: [],
    outcome: "failed",
    code: "attempts_used_up",
    status: 503,
    retryAfterSeconds: 1,
  },
});
const contactLost = answerOf("v1", {
  answer: {
    kind: "failed",
    tokens: [],
    outcome: "failed",
    code: "no_release_note",
    status: 200,
    retryAfterSeconds: 1,
  },
});
const recalled = [
  {
    name: "recall-v1",
    phase: "accepted" as const,
    at: 400,
    withdrawnVersions: ["v1"],
  },
];
const kill = { instance: "entry-1", at: 300, startedAgainAt: 400 };
const note = { instance: "entry-1", incarnation: 1 };
const order = { idempotencyKey: "order-1" };
const leaving = { server: "engine-1", at: 1_000, startedAgainAt: 20_000 };
const cut = {
  instance: "entry-1",
  from: ["platform", "others"],
  at: 100,
  healedAt: 60_000,
};
const fromPeers = { ...cut, from: ["others"] };
const outage = { at: 100, endedAt: 60_000 };
const afterwards = answerOf("v1", { startedAt: 61_000, lastTokenAt: 62_000 });
const before = { server: "engine-1", requestId: "a", at: 900 };

interface Row {
  readonly promise: PromiseName;
  readonly story: string;
  readonly seen: Partial<Observations>;
  readonly isHeld: boolean;
}

const rows: readonly Row[] = [
  row("answers_true", "a true answer", { answers: [whole] }, true),
  row("answers_true", "a token doubled", { answers: [doubled] }, false),
  row("answers_true", "a layer run twice", { answers: [layerTwice] }, false),
  row("nothing_cut", "a whole answer", { answers: [whole] }, true),
  row("nothing_cut", "a lost connection", { answers: [broken] }, false),
  row("nothing_cut", "an answer given up", { answers: [failed] }, false),
  row(
    "withdrawn_is_silent",
    "the last token came before",
    {
      answers: [{ ...whole, lastTokenAt: 399 }],
      claims: recalled,
    },
    true,
  ),
  row(
    "withdrawn_is_silent",
    "a whole answer came after",
    { answers: [whole], claims: recalled },
    false,
  ),
  row(
    "withdrawn_is_silent",
    "a token of a cut answer came after",
    { answers: [broken], claims: recalled },
    false,
  ),
  row(
    "withdrawn_is_silent",
    "another version answers",
    { answers: [answerOf("v2")], claims: recalled },
    true,
  ),
  row(
    "notes_never_revert",
    "notes grow",
    {
      notes: [
        { ...note, note: 1 },
        { ...note, note: 2 },
      ],
    },
    true,
  ),
  row(
    "notes_never_revert",
    "a note goes back",
    {
      notes: [
        { ...note, note: 2 },
        { ...note, note: 1 },
      ],
    },
    false,
  ),
  row("at_most_once", "one run", { journal: ["order-1"] }, true),
  row("at_most_once", "two runs", { journal: ["order-1", "order-1"] }, false),
  row(
    "not_run_is_true",
    "refused, and no run",
    { orders: [{ ...order, told: "not_run" }] },
    true,
  ),
  row(
    "not_run_is_true",
    "refused, and one run",
    { orders: [{ ...order, told: "not_run" }], journal: ["order-1"] },
    false,
  ),
  row(
    "answered_calls_ran",
    "answered, and one run",
    { orders: [{ ...order, told: "answered" }], journal: ["order-1"] },
    true,
  ),
  row(
    "answered_calls_ran",
    "answered, and no run",
    { orders: [{ ...order, told: "answered" }] },
    false,
  ),
  row(
    "orders_answered",
    "an order answered",
    { orders: [{ ...order, told: "answered" }] },
    true,
  ),
  row(
    "orders_answered",
    "an order refused",
    { orders: [{ ...order, told: "not_run" }] },
    false,
  ),
  row(
    "leaving_gets_nothing",
    "new work only before and just after",
    {
      leavings: [leaving],
      work: [before, { ...before, requestId: "b", at: 1_500 }],
    },
    true,
  ),
  row(
    "leaving_gets_nothing",
    "new work long after",
    {
      leavings: [leaving],
      work: [before, { ...before, requestId: "b", at: 9_000 }],
    },
    false,
  ),
  row(
    "leaving_gets_nothing",
    "new work once it was started again",
    {
      leavings: [leaving],
      work: [before, { ...before, requestId: "b", at: 21_000 }],
    },
    true,
  ),
  row(
    "cut_off_serves",
    "an answer during the cut",
    { answers: [answerOf("v1", { startedAt: 200 })], cuts: [cut] },
    true,
  ),
  row(
    "cut_off_serves",
    "an answer from before the cut only",
    { answers: [whole], cuts: [cut] },
    false,
  ),
  row(
    "recall_ends_answers",
    "a token just after the recall",
    { answers: [whole], recalls: recalled },
    true,
  ),
  row(
    "recall_ends_answers",
    "a token long after, where the recall can be heard of",
    { answers: [{ ...whole, lastTokenAt: 5_000 }], recalls: recalled },
    false,
  ),
  row(
    "recall_ends_answers",
    "a token within the allowance of an instance that is alone",
    {
      answers: [{ ...whole, lastTokenAt: 5_000 }],
      recalls: recalled,
      cuts: [cut],
    },
    true,
  ),
  row(
    "recall_ends_answers",
    "a token past the allowance of an instance that is alone",
    {
      answers: [{ ...whole, lastTokenAt: 15_000 }],
      recalls: recalled,
      cuts: [cut],
    },
    false,
  ),
  row(
    "recall_ends_answers",
    "a token long after, where only peers are away",
    {
      answers: [{ ...whole, lastTokenAt: 5_000 }],
      recalls: recalled,
      cuts: [fromPeers],
    },
    false,
  ),
  row(
    "silent_without_contact",
    "answers under the allowance, and when the store is back",
    { answers: [whole, afterwards], outages: [outage] },
    true,
  ),
  row(
    "silent_without_contact",
    "a token past the allowance",
    {
      answers: [{ ...whole, lastTokenAt: 30_000 }, afterwards],
      outages: [outage],
    },
    false,
  ),
  row(
    "silent_without_contact",
    "no answer when the store is back",
    { answers: [whole], outages: [outage] },
    false,
  ),
  row(
    "resumed_answers_whole",
    "the rest came from another instance",
    { answers: [{ ...whole, resumedOn: "entry-2" }] },
    true,
  ),
  row(
    "resumed_answers_whole",
    "another instance gave up",
    { answers: [{ ...failed, resumedOn: "entry-2" }] },
    false,
  ),
  row(
    "cut_only_by_kills",
    "an instance that is alone ends its answers",
    { answers: [contactLost], cuts: [cut] },
    true,
  ),
  row(
    "cut_only_by_kills",
    "an instance without the store and with peers ends its answers",
    { answers: [contactLost], cuts: [{ ...cut, from: ["platform"] }] },
    false,
  ),
  row(
    "cut_only_by_kills",
    "an instance that is alone gives up for another reason",
    { answers: [failed], cuts: [cut] },
    false,
  ),
  row(
    "cut_only_by_kills",
    "the instance was killed meanwhile",
    { answers: [broken], kills: [kill] },
    true,
  ),
  row(
    "cut_only_by_kills",
    "another instance was killed",
    { answers: [broken], kills: [{ ...kill, instance: "entry-2" }] },
    false,
  ),
  row(
    "cut_only_by_kills",
    "the kill came after",
    { answers: [broken], kills: [{ ...kill, at: 600 }] },
    false,
  ),
  row(
    "cut_only_by_kills",
    "given up, though something may have run",
    { answers: [failed], kills: [kill] },
    false,
  ),
];

function row(
  promise: PromiseName,
  story: string,
  seen: Partial<Observations>,
  isHeld: boolean,
): Row {
  return { promise, story, seen, isHeld };
}

/**
 * A judge that cannot fail proves nothing: a doubled booking or a token of a
 * withdrawn version would pass, and every scenario would read "held".
 */
describe("a judge", () => {
  it.each(rows)("$promise, $story: $isHeld", (row) => {
    const [verdict] = judge([row.promise], observe(row.seen));
    expect(verdict?.judged).toBeGreaterThan(0);
    expect(verdict?.broken === null).toBe(row.isHeld);
  });

  it.each(promiseNameSchema.options)("%s can hold and can break", (promise) => {
    const judged = rows.filter((row) => row.promise === promise);
    expect(judged.map(({ isHeld }) => isHeld)).toContain(true);
    expect(judged.map(({ isHeld }) => isHeld)).toContain(false);
  });
});

/**
 * A scenario whose callers never got through read "held  judged 0", and the
 * command ended with 0: nothing was shown, and nobody was told.
 */
it("does not count a promise as held when nothing was judged", () => {
  const seen = observe({});
  const result = { stuck: null, seen, folder: "" };
  const verdicts = judge(promiseNameSchema.options, seen);
  expect(verdicts.every(({ broken }) => broken === null)).toBe(true);
  for (const verdict of verdicts) {
    expect(hasHeld({ ...result, verdicts: [verdict] })).toBe(false);
  }
});
