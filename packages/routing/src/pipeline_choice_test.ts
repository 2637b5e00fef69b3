import type { KnownEngine } from "@rosemarypin/backends";
import { describe, expect, it } from "vitest";
import { choosePipeline, type PipelineNeed } from "./pipeline_choice.ts";

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
    Pick<KnownEngine, "usable" | "inFlight"> & { holds: string; domain: string }
  > = {},
): KnownEngine {
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
  engines: readonly KnownEngine[],
  need: Partial<PipelineNeed> = {},
): string {
  const choice = choosePipeline(engines, {
    model: "assist",
    version,
    adapter: undefined,
    failureDomain: "a",
    avoid: new Set(),
    windowOf: () => 4,
    random: () => 0,
    ...need,
  });
  if (choice.kind !== "chosen") return choice.kind;
  return choice.stages.map((stage) => stage.engine).join(" ");
}

describe("the choice of a pipeline", () => {
  const cases = [
    {
      name: "covers the layers in order",
      engines: [engine("b", [4, 8]), engine("a", [0, 4])],
      expected: "a b",
    },
    {
      name: "finds the chain that a greedy walk would miss",
      engines: [
        engine("dead-end", [0, 5]),
        engine("a", [0, 4], { inFlight: 2 }),
        engine("b", [4, 8]),
      ],
      expected: "a b",
    },
    {
      name: "takes the engine with the most room",
      engines: [
        engine("full", [0, 4], { inFlight: 3 }),
        engine("free", [0, 4]),
        engine("b", [4, 8]),
      ],
      expected: "free b",
    },
    {
      name: "stays in its own failure domain among equals",
      engines: [
        engine("far", [0, 4], { domain: "z" }),
        engine("near", [0, 4]),
        engine("b", [4, 8]),
      ],
      expected: "near b",
    },
    {
      name: "goes to another failure domain for room",
      engines: [
        engine("far", [0, 4], { domain: "z" }),
        engine("near", [0, 4], { inFlight: 4 }),
        engine("b", [4, 8]),
      ],
      expected: "far b",
    },
    {
      name: "gives nothing to an engine that is leaving or silent",
      engines: [engine("a", [0, 4], { usable: false }), engine("b", [4, 8])],
      expected: "uncovered",
    },
    {
      name: "never mixes versions",
      engines: [engine("a", [0, 4], { holds: "v2" }), engine("b", [4, 8])],
      expected: "uncovered",
    },
    {
      name: "waits when every engine of a stage has its window full",
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

  it("asks for the adapter", () => {
    const engines = [engine("a", [0, 4]), engine("b", [4, 8])];
    expect(choose(engines, { adapter: "harvest" })).toBe("a b");
    expect(choose(engines, { adapter: "other" })).toBe("uncovered");
  });

  it("keeps to partners, unless they are much fuller than others", () => {
    // Answers that change between pipelines wait in another queue for each
    // token, and callers see them come unevenly. An engine that is much
    // fuller than its like must be left out all the same.
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
