import type { AttemptRequest } from "@rosemarypin/schemas";
import { expect, test } from "vitest";
import { firstInputs, openSequence, runStage } from "./sequence.ts";

function attempt(changes: Partial<AttemptRequest> = {}): AttemptRequest {
  const address = { host: "127.0.0.1", port: 1 };
  return {
    requestId: "answer-1",
    organisation: "kano",
    attempt: 1,
    model: "assist",
    version: "v1",
    noteNumber: 1,
    stages: [{ engine: "engine-1", address, layers: { from: 0, to: 4 } }],
    promptTokens: ["a", "b", "c"],
    deliveredTokens: [],
    maxTokens: 4,
    priority: "standard",
    ...changes,
  };
}

function next(changes: Partial<AttemptRequest> = {}): AttemptRequest {
  const [stage] = attempt().stages;
  const stages = stage ? [{ ...stage, keptPositions: 3 }] : [];
  const deliveredTokens = ["w"];
  return attempt({ attempt: 2, stages, deliveredTokens, ...changes });
}

function ran() {
  const sequence = openSequence(attempt(), {
    stage: 0,
    emit: null,
    earlier: undefined,
  });
  if (!sequence) throw new Error("a first attempt needs no cache");
  runStage(sequence, firstInputs(attempt()));
  return sequence;
}

/** A survivor takes up where the earlier attempt was, with one more input. */
test("a later attempt adopts the KV cache", () => {
  const earlier = ran();
  const options = { stage: 0, emit: null, earlier };
  expect(openSequence(next(), options)?.cache).toEqual(earlier.cache);
  expect(firstInputs(next())).toHaveLength(1);
});

/**
 * A version is recalled and an answer starts again on another. With the
 * recalled batch's KV cache its tokens would still come from that batch.
 */
test.each([
  ["version", { version: "v2" }],
  ["model", { model: "mshauri" }],
  ["adapter", { adapter: "sorghum" }],
])("a KV cache of another %s is never adopted", (_name, changes) => {
  const options = { stage: 0, emit: null, earlier: ran() };
  expect(openSequence(next(changes), options)).toBeNull();
});

/** The engine was restarted: it must say so, not start from nothing. */
test("a cache that is counted on and not there is reported", () => {
  const options = { stage: 0, emit: null, earlier: undefined };
  expect(openSequence(next(), options)).toBeNull();
});
