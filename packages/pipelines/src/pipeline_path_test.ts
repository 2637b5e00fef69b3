import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  findPipeline,
  type PathOptions,
  pipelineCost,
  type StageCandidate,
} from "./pipeline_path.ts";
import type { LayerRange, ModelShape } from "./types.ts";

const model: ModelShape = {
  name: "m",
  layerCount: 6,
  layerMb: 100,
  tokenLayerBytes: 1_000,
  stepMs: 6,
  readTokensPerMs: 160,
  usualPromptTokens: 10,
  usualAnswerTokens: 10,
  mostAnswers: 134,
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
    backlogMs: 0,
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
      name: "keeps away from engines that have many prompts to read",
      candidates: [
        stage("x", [0, 6], { backlogMs: 6_000 }),
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

  it("is the cheapest of all, within 2 in 100, and mostly the very cheapest", () => {
    // Figures of this seed are printed: how often another way was cheaper, and
    // by how much at the most.
    const domain = fc.constantFrom("a", "b");
    const engine = fc.record({
      from: fc.integer({ min: 0, max: 4 }),
      layers: fc.integer({ min: 1, max: 4 }),
      failureDomain: domain,
      stepFactor: fc.constantFrom(1, 1.4, 3.1, 15),
      load: fc.constantFrom(0, 0.3, 0.8, 0.95),
    });
    const fleets = fc.sample(fc.array(engine, { minLength: 2, maxLength: 7 }), {
      seed: EXHAUSTIVE_SEED,
      numRuns: 2_000,
    });
    let compared = 0;
    let dearer = 0;
    let worst = 1;
    for (const fleet of fleets) {
      const candidates = fleet.map(({ from, layers, ...facts }, index) =>
        stage(`e${index}`, [from, Math.min(6, from + layers)], facts),
      );
      const options = { model, failureDomain: "a" };
      const found = findPipeline(candidates, options);
      const best = cheapestOfAll(candidates, options);
      expect(found === null).toBe(best === null);
      if (!found || best === null) continue;
      compared += 1;
      const ratio = found.cost / best;
      if (ratio > 1 + 1e-9) dearer += 1;
      worst = Math.max(worst, ratio);
    }
    console.log(
      `seed=${EXHAUSTIVE_SEED} compared=${compared} dearer=${dearer} worst=${worst.toFixed(3)}`,
    );
    expect(compared).toBeGreaterThan(500);
    expect(worst).toBeLessThanOrEqual(1.02);
  });
});

const EXHAUSTIVE_SEED = 650;

/** Tries every way through the layers that enters each engine once. */
function cheapestOfAll(
  candidates: readonly StageCandidate[],
  options: PathOptions,
): number | null {
  let best: number | null = null;
  const chosen: { engine: StageCandidate; range: LayerRange }[] = [];
  const { layerCount } = options.model;

  function extend(at: number): void {
    if (at === layerCount) {
      const cost = pipelineCost(chosen, options);
      if (best === null || cost < best) best = cost;
      return;
    }
    for (const engine of candidates) {
      const { held } = engine;
      if (held.from > at || held.to <= at) continue;
      if (chosen.some((stage) => stage.engine === engine)) continue;
      for (let to = at + 1; to <= held.to; to += 1) {
        chosen.push({ engine, range: { from: at, to } });
        extend(to);
        chosen.pop();
      }
    }
  }

  extend(0);
  return best;
}
