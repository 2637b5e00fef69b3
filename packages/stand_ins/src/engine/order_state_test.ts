import type { AttemptRequest } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { createOrderState } from "./order_state.ts";

const address = { host: "127.0.0.1", port: 1 };

/** An attempt whose second stage is to run layers 4 to 8 here. */
const attempt: AttemptRequest = {
  requestId: "request-1",
  organisation: "kano",
  attempt: 1,
  model: "assist",
  version: "v1",
  noteNumber: 1,
  stages: [
    { engine: "engine-1", address, layers: { from: 0, to: 4 } },
    { engine: "engine-2", address, layers: { from: 4, to: 8 } },
  ],
  promptTokens: ["a"],
  deliveredTokens: [],
  maxTokens: 1,
  priority: "standard",
};

function holding(from: number, to: number) {
  const state = createOrderState({ checksFencing: true });
  const hold = [{ model: "assist", version: "v1", layers: { from, to } }];
  state.take({ fencingNumber: 1, noteNumber: 1, hold, adapters: [] });
  return state;
}

describe("what an engine was ordered to hold", () => {
  it("is enough for a stage only with all its layers", () => {
    // Placement moves layers 6 to 8 away after an instance has read the
    // engine. The stage it planned must be refused: nobody would run them.
    expect(holding(4, 8).holdsStage(attempt, 1)).toBe(true);
    expect(holding(0, 12).holdsStage(attempt, 1)).toBe(true);
    expect(holding(4, 6).holdsStage(attempt, 1)).toBe(false);
  });
});
