import type { EngineSnapshot } from "@rosemarypin/backends";
import { describe, expect, it } from "vitest";
import {
  choosePipeline,
  type PipelineRequirements,
} from "./pipeline_choice.ts";

const version = {
  version: "v1",
  layers: 8,
  layerSets: [{ name: "all", from: 0, to: 8 }],
  addedBy: 1,
};

function engine(
  id: string,
  layers: readonly [number, number],
  options: Partial<
    Pick<EngineSnapshot, "usable" | "inFlight"> & {
      holds: string;
      domain: string;
    }
  > = {},
): EngineSnapshot {
  const [from, to] = layers;
  const { usable = true, inFlight = 0, holds = "v1", domain = "a" } = options;
  const roles = [{ model: "assist", layers: { from, to } }];
  const held = [{ model: "assist", version: holds, layers: { from, to } }];
  const settings = {
    id,
    failureDomain: domain,
    address: { host: "127.0.0.1", port: 1 },
    accelerator: "fast",
    checksFencing: true,
    roles,
  };
  const state = {
    engine: id,
    accelerator: "fast",
    failureDomain: domain,
    roles,
    fencingNumber: 1,
    noteNumber: 1,
    held,
    adapters: [{ model: "assist", adapter: "harvest" }],
    running: [],
    leaving: false,
    load: 0,
  };
  return { settings, state, usable, inFlight };
}

function choose(
  engines: readonly EngineSnapshot[],
  requirements: Partial<PipelineRequirements> = {},
): string {
  const choice = choosePipeline(engines, {
    model: "assist",
    version,
    adapter: undefined,
    failureDomain: "a",
    avoid: new Set(),
    windowOf: () => 4,
    random: () => 0,
    ...requirements,
  });
  if (choice.kind !== "chosen") return choice.kind;
  return choice.stages.map((stage) => stage.engine).join(" ");
}

describe("pipeline choice", () => {
  const cases = [
    {
      name: "covers the layers in order",
      engines: [engine("b", [4, 8]), engine("a", [0, 4])],
      expected: "a b",
    },
    {
      name: "finds the chain that a greedy search would miss",
      engines: [
        engine("dead-end", [0, 5]),
        engine("a", [0, 4], { inFlight: 2 }),
        engine("b", [4, 8]),
      ],
      expected: "a b",
    },
    {
      name: "prefers the engine with the lowest load",
      engines: [
        engine("full", [0, 4], { inFlight: 3 }),
        engine("free", [0, 4]),
        engine("b", [4, 8]),
      ],
      expected: "free b",
    },
    {
      name: "prefers its own failure domain at equal load",
      engines: [
        engine("far", [0, 4], { domain: "z" }),
        engine("near", [0, 4]),
        engine("b", [4, 8]),
      ],
      expected: "near b",
    },
    {
      name: "uses another failure domain when its own is full",
      engines: [
        engine("far", [0, 4], { domain: "z" }),
        engine("near", [0, 4], { inFlight: 4 }),
        engine("b", [4, 8]),
      ],
      expected: "far b",
    },
    {
      name: "skips an engine that is not usable",
      engines: [engine("a", [0, 4], { usable: false }), engine("b", [4, 8])],
      expected: "uncovered",
    },
    {
      name: "never mixes versions",
      engines: [engine("a", [0, 4], { holds: "v2" }), engine("b", [4, 8])],
      expected: "uncovered",
    },
    {
      name: "reports busy when every engine of a stage has a full window",
      engines: [engine("a", [0, 4], { inFlight: 4 }), engine("b", [4, 8])],
      expected: "busy",
    },
  ];
  it.each(cases)("$name", ({ engines, expected }) => {
    expect(choose(engines)).toBe(expected);
  });

  it("avoids engines that failed the answer", () => {
    const engines = [
      engine("a", [0, 4]),
      engine("b", [4, 8]),
      engine("c", [4, 8], { inFlight: 3 }),
    ];
    expect(choose(engines, { avoid: new Set(["b"]) })).toBe("a c");
  });

  it("requires the adapter of the request", () => {
    const engines = [engine("a", [0, 4]), engine("b", [4, 8])];
    expect(choose(engines, { adapter: "harvest" })).toBe("a b");
    expect(choose(engines, { adapter: "other" })).toBe("uncovered");
  });

  it("prefers partner engines unless they are much fuller than others", () => {
    // Answers that cross between partner sets wait in a different queue for
    // each token, so their tokens are unevenly spaced. An engine that is much
    // fuller than others with the same layers must still be passed over.
    const engines = (inFlight: number) => [
      engine("a1", [0, 4], { inFlight: 1 }),
      engine("a2", [0, 4], { inFlight: 2 }),
      engine("b1", [4, 8], { inFlight }),
      engine("b2", [4, 8]),
    ];
    expect(choose(engines(1))).toBe("a1 b1");
    expect(choose(engines(3))).toBe("a2 b2");
  });
});
