import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { findPipeline, type StageCandidate } from "./pipeline_path.ts";
import type { ModelShape } from "./types.ts";

const model: ModelShape = {
  name: "m",
  layerCount: 6,
  layerMb: 100,
  tokenLayerBytes: 1_000,
  stepMs: 6,
  stepAnswerMs: 0,
  promptTokensPerMs: 100,
  usualPromptTokens: 10,
  usualAnswerTokens: 10,
};

function stage(
  id: string,
  range: readonly [number, number],
  facts: Partial<StageCandidate> = {},
): StageCandidate {
  return {
    id,
    failureDomain: "a",
    memoryMb: 1_000,
    stepFactor: 1,
    readFactor: 1,
    held: { from: range[0], to: range[1] },
    load: 0,
    ...facts,
  };
}

function pathOf(candidates: StageCandidate[], failureDomain = "a") {
  return findPipeline(candidates, { model, failureDomain })?.stages.map(
    ({ engineId, range }) => `${engineId}=${range.from}-${range.to}`,
  );
}

describe("the choice of a pipeline", () => {
  it.each([
    {
      name: "joins ranges that fit together",
      candidates: [stage("x", [0, 3]), stage("y", [3, 6])],
      path: ["x=0-3", "y=3-6"],
    },
    {
      name: "uses a part of a range where ranges overlap",
      candidates: [stage("x", [0, 4], { stepFactor: 5 }), stage("y", [2, 6])],
      path: ["x=0-2", "y=2-6"],
    },
    {
      name: "keeps away from engines that are full",
      candidates: [
        stage("x", [0, 6], { load: 0.95 }),
        stage("y", [0, 6], { stepFactor: 3 }),
      ],
      path: ["y=0-6"],
    },
    {
      name: "stays in its domain while that is not full",
      candidates: [
        stage("x", [0, 6]),
        stage("y", [0, 6], { failureDomain: "b", stepFactor: 0.8 }),
      ],
      path: ["x=0-6"],
    },
    {
      name: "crosses domains for layers that its own lacks",
      candidates: [
        stage("x", [0, 3]),
        stage("y", [3, 6], { failureDomain: "b" }),
      ],
      path: ["x=0-3", "y=3-6"],
    },
  ])("$name", ({ candidates, path }) => {
    expect(pathOf(candidates)).toEqual(path);
  });

  it("gives none when nobody holds a layer", () => {
    expect(pathOf([stage("x", [0, 3]), stage("y", [4, 6])])).toBeUndefined();
  });

  it("runs every layer once, in order, and each engine once", () => {
    // A path with a gap, an overlap or an engine that is entered twice makes
    // wrong tokens or is refused, whatever ranges engines happen to hold.
    const facts = fc.record({
      from: fc.integer({ min: 0, max: 5 }),
      layers: fc.integer({ min: 1, max: 6 }),
      domain: fc.constantFrom("a", "b"),
      factor: fc.integer({ min: 1, max: 40 }),
      load: fc.double({ min: 0, max: 1.2, noNaN: true }),
    });
    const property = fc.property(
      fc.array(facts, { minLength: 1, maxLength: 9 }),
      (entries) => {
        const candidates = entries.map(({ from, layers, ...entry }, index) =>
          stage(`e-${index}`, [from, Math.min(6, from + layers)], {
            failureDomain: entry.domain,
            stepFactor: entry.factor,
            load: entry.load,
          }),
        );
        const found = findPipeline(candidates, { model, failureDomain: "a" });
        if (!found) return;
        let at = 0;
        for (const { engineId, range } of found.stages) {
          const { held } = candidates.find(({ id }) => id === engineId) ?? {
            held: { from: 0, to: 0 },
          };
          expect(range.from).toBe(at);
          expect(range.to).toBeGreaterThan(at);
          expect(held.from).toBeLessThanOrEqual(range.from);
          expect(held.to).toBeGreaterThanOrEqual(range.to);
          at = range.to;
        }
        expect(at).toBe(model.layerCount);
        const engines = found.stages.map(({ engineId }) => engineId);
        expect(new Set(engines).size).toBe(engines.length);
      },
    );
    fc.assert(property, { numRuns: 500 });
  });

  it("enters no engine twice where keeping one whole would lead back to another", () => {
    // Found by the property above, seed 11022633: y and z were each entered
    // twice around x; with one of them kept whole, the other still was.
    const path = pathOf([
      stage("x", [1, 2], { stepFactor: 1 }),
      stage("y", [0, 3], { stepFactor: 5 }),
      stage("z", [0, 6], { stepFactor: 6 }),
    ]);
    const engines = (path ?? []).map((hop) => hop.split("=")[0]);
    expect(path?.at(-1)).toMatch(/-6$/);
    expect(new Set(engines).size).toBe(engines.length);
  });

  it("finds a path wherever one is", () => {
    const ranges = fc.tuple(
      fc.integer({ min: 0, max: 5 }),
      fc.integer({ min: 1, max: 4 }),
    );
    const property = fc.property(
      fc.array(ranges, { maxLength: 8 }),
      (entries) => {
        const candidates = entries.map(([from, layers], index) =>
          stage(`e-${index}`, [from, Math.min(6, from + layers)]),
        );
        const layers = [0, 1, 2, 3, 4, 5];
        const isCovered = layers.every((layer) =>
          candidates.some(({ held }) => held.from <= layer && layer < held.to),
        );
        expect(pathOf(candidates) !== undefined).toBe(isCovered);
      },
    );
    fc.assert(property, { numRuns: 500 });
  });
});
