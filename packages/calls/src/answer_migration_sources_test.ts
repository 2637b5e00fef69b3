import type { EngineSnapshot } from "@rosemarypin/backends";
import { scriptedAddress, scriptedState } from "@rosemarypin/fakes";
import { describe, expect, it } from "vitest";
import { findMigrationSources } from "./answer_migration_sources.ts";

const LAYERS = { from: 0, to: 4 };

function engine(
  port: number,
  state: { readonly sendMs?: number; readonly leaving?: boolean },
): EngineSnapshot {
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

/** Sources for an answer on engine 1 that expects 20 ms per remaining token. */
function findSources(
  engines: readonly EngineSnapshot[],
  remainingTokens = 100,
) {
  const stage = {
    engine: "engine-1",
    address: scriptedAddress(1),
    layers: LAYERS,
  };
  const { sources, avoid } = findMigrationSources(engines, {
    model: "assist",
    stages: [stage],
    remainingTokens,
    remainingMs: remainingTokens * 20,
    minBenefitMs: 1_000,
    slowLinkMs: 20,
  });
  return { sources, avoid: [...avoid] };
}

describe("migration sources", () => {
  /**
   * An engine's link degrades. The engine responds to probes, so it isn't taken
   * for lost, but delays each token by 40 ms.
   */
  it("include an engine that is slower than its peers", () => {
    const peers = [engine(2, { sendMs: 1 }), engine(3, { sendMs: 2 })];
    const slow = engine(1, { sendMs: 42 });
    expect(findSources([slow, ...peers])).toEqual({
      sources: ["engine-1"],
      avoid: ["engine-1"],
    });
    expect(findSources([slow, engine(2, { sendMs: 1 })]).sources).toEqual([
      "engine-1",
    ]);
  });

  /** An answer must not migrate without a clear gain. */
  it.each([
    ["that is as slow as all its peers", [42, 42, 42], 100],
    ["that is slower by less than the threshold", [12, 1, 2], 100],
    ["when the gain is too small", [42, 1, 2], 10],
    ["that is the only one with its layers", [42], 100],
  ])("exclude an engine %s", (_name, times, remainingTokens) => {
    const engines = times.map((sendMs, index) => engine(index + 1, { sendMs }));
    expect(findSources(engines, remainingTokens).sources).toEqual([]);
  });

  it("include a leaving engine if enough tokens remain", () => {
    const engines = [
      engine(1, { leaving: true }),
      engine(2, { leaving: true }),
    ];
    const avoid = ["engine-1", "engine-2"];
    expect(findSources(engines)).toEqual({ sources: ["engine-1"], avoid });
    expect(findSources(engines, 10)).toEqual({ sources: [], avoid });
  });

  /**
   * An engine leaves, and another one with its layers has a slow link. If slow
   * engines were avoided as well, the answer might have no target left.
   */
  it("allow a slow engine as the target for a leaving one", () => {
    const slow = engine(2, { sendMs: 42 });
    const engines = [engine(1, { leaving: true }), slow, engine(3, {})];
    expect(findSources(engines)).toEqual({
      sources: ["engine-1"],
      avoid: ["engine-1"],
    });
  });
});
