import type { KnownEngine } from "@rosemarypin/backends";
import { scriptedAddress, scriptedState } from "@rosemarypin/fakes";
import { describe, expect, it } from "vitest";
import { findWorse } from "./answer_migration_sources.ts";

const LAYERS = { from: 0, to: 4 };

function engine(
  port: number,
  state: { readonly sendMs?: number; readonly leaving?: boolean },
): KnownEngine {
  return {
    settings: {
      id: `engine-${port}`,
      failureDomain: "dar",
      address: scriptedAddress(port),
      accelerator: "scripted",
      checksFencing: true,
      roles: [{ model: "assist", layers: LAYERS }],
    },
    state: { ...scriptedState(port, 1), ...state },
    usable: true,
    inFlight: 0,
  };
}

/** An answer on engine 1, with 100 tokens to come in 2 s. */
function find(engines: readonly KnownEngine[], restTokens = 100) {
  const stage = {
    engine: "engine-1",
    address: scriptedAddress(1),
    layers: LAYERS,
  };
  const { from, avoid } = findWorse(engines, {
    model: "assist",
    stages: [stage],
    restTokens,
    restMs: restTokens * 20,
    leastMs: 1_000,
    slowMs: 20,
  });
  return { from, avoid: [...avoid] };
}

describe("migration sources", () => {
  /**
   * An engine's link degrades. It answers each probe, so nothing counts as lost,
   * and a mechanic's answer crawls on, 40 ms later with each token.
   */
  it("an engine that is slow beside its peers is left", () => {
    const peers = [engine(2, { sendMs: 1 }), engine(3, { sendMs: 2 })];
    const slow = engine(1, { sendMs: 42 });
    expect(find([slow, ...peers])).toEqual({
      from: ["engine-1"],
      avoid: ["engine-1"],
    });
    expect(find([slow, engine(2, { sendMs: 1 })]).from).toEqual(["engine-1"]);
  });

  /** A whole domain on slow links has nothing better to offer. */
  it.each([
    ["all peers are as slow", [42, 42, 42], 100],
    ["it is hardly slower", [12, 1, 2], 100],
    ["there is little to gain", [42, 1, 2], 10],
    ["it is the only one", [42], 100],
  ])("but not when %s", (_name, times, restTokens) => {
    const engines = times.map((sendMs, index) => engine(index + 1, { sendMs }));
    expect(find(engines, restTokens).from).toEqual([]);
  });

  it("a leaving engine is left by answers with enough to come", () => {
    const engines = [
      engine(1, { leaving: true }),
      engine(2, { leaving: true }),
    ];
    const avoid = ["engine-1", "engine-2"];
    expect(find(engines)).toEqual({ from: ["engine-1"], avoid });
    expect(find(engines, 10)).toEqual({ from: [], avoid });
  });

  /**
   * An engine leaves, and the only other one with its layers is on a slow link.
   * Avoided as slow, it would leave the answer nowhere to go before the stop.
   */
  it("an answer may move from a leaving engine to a slow one", () => {
    const slow = engine(2, { sendMs: 42 });
    const engines = [engine(1, { leaving: true }), slow, engine(3, {})];
    expect(find(engines)).toEqual({ from: ["engine-1"], avoid: ["engine-1"] });
  });
});
