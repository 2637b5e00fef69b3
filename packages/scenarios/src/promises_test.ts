import { describe, expect, it } from "vitest";
import {
  answerOf,
  failed,
  observe,
  type PromiseExample,
  recalled,
  row,
} from "./example_answer.ts";
import { cutExamples } from "./example_cuts.ts";
import { judge } from "./promises.ts";
import { hasHeld } from "./run_scenario.ts";
import { promiseNameSchema } from "./scenario_schema.ts";

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
const kill = { instance: "entry-1", at: 300, startedAgainAt: 400 };
const note = { instance: "entry-1", incarnation: 1 };
const order = { idempotencyKey: "order-1" };
const leaving = { server: "engine-1", at: 1_000, startedAgainAt: 20_000 };
const before = { server: "engine-1", requestId: "a", at: 900 };

const rows: readonly PromiseExample[] = [
  ...cutExamples,
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
 * command exited with 0, although nothing had been checked.
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
