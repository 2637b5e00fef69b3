import type { RunEntry } from "@rosemarypin/stand_ins";
import { expect, test } from "vitest";
import { findBreaks } from "./answer_rule.ts";

const REQUEST = {
  requestId: "answer-1",
  organisation: "kano",
  weight: 1,
  model: "assist",
  adapter: undefined,
  promptTokens: ["a", "b", "c"],
  maxTokens: 4,
  priority: "standard" as const,
  deadlineAt: 0,
};
const FAILURE = {
  outcome: "failed",
  code: "no_capacity",
  message: "",
  status: 503,
} as const;

function ran(changes: Partial<RunEntry>): RunEntry {
  return {
    engine: "engine-1",
    incarnation: 1,
    requestId: "answer-1",
    attempt: 1,
    from: 0,
    to: 4,
    position: 0,
    count: 3,
    at: 0,
    ...changes,
  };
}

function judge(next: Partial<RunEntry>): readonly string[] {
  const events = [{ type: "failed" as const, failure: FAILURE }];
  const second = { engine: "engine-2", attempt: 2, position: 3, count: 1 };
  const journal = [ran({}), ran({ ...second, ...next })];
  const rule = { journal, version: "v1", layers: 4 };
  return findBreaks({ request: REQUEST, events }, rule);
}

const imported = { engine: "engine-1", incarnation: 1, positions: 3 };

test("a cache that the exporter ran may be imported", () => {
  expect(judge({ imported })).toEqual([]);
});

/** A judge that believes each import would pass layers that never ran. */
test.each([
  ["nothing was imported", {}],
  ["the exporter ran less", { imported: { ...imported, positions: 4 } }],
  ["the exporter ran other layers", { imported, from: 0, to: 2 }],
  ["the exporter was restarted", { imported: { ...imported, incarnation: 2 } }],
  ["a position was left out", { imported, position: 5 }],
])("breaks are found: %s", (_name, next) => {
  expect(judge(next)).toHaveLength(1);
});
