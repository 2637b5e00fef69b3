/** Examples that keep and break the promises about lost contact. */
import {
  answerOf,
  failed,
  type PromiseExample,
  recalled,
  row,
} from "./example_answer.ts";

const whole = answerOf("v1");
const cut = {
  instance: "entry-1",
  from: ["platform", "others"],
  at: 100,
  healedAt: 60_000,
};
const fromPeers = { ...cut, from: ["others"] };
const outage = { at: 100, endedAt: 60_000 };
const afterwards = answerOf("v1", { startedAt: 61_000, lastTokenAt: 62_000 });
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

/** Rows of the table of `promises_test.ts`. */
export const cutExamples: readonly PromiseExample[] = [
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
];
