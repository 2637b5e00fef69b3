import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
  type SplitEngine,
  slowestStageMs,
  splitPipeline,
} from "./layer_split.ts";

const SEED = 20_261_202;
const LAYERS = 12;

/** Three kinds of accelerator, on links that differ a hundredfold. */
const kinds = [
  { layerMs: 1, fixedMs: 4.1, maxLayers: 12 },
  { layerMs: 1.6, fixedMs: 5, maxLayers: 8 },
  { layerMs: 2.8, fixedMs: 14, maxLayers: 6 },
] as const;

const engineList = fc
  .array(fc.integer({ min: 0, max: 2 }), { minLength: 2, maxLength: 7 })
  .map((picked) =>
    picked.map((kind, index): SplitEngine => {
      const speed = kinds[kind as 0 | 1 | 2];
      return { id: `engine-${index}`, ...speed };
    }),
  );

/** Minimal time of the slowest stage, by trying every split of the layers. */
function exhaustiveSlowest(
  engines: readonly SplitEngine[],
  layers: number,
): number {
  const [first, ...rest] = engines;
  if (layers === 0) return 0;
  if (!first) return Infinity;
  let best = Infinity;
  for (let count = 0; count <= Math.min(layers, first.maxLayers); count++) {
    const countMs = count === 0 ? 0 : first.fixedMs + count * first.layerMs;
    best = Math.min(
      best,
      Math.max(countMs, exhaustiveSlowest(rest, layers - count)),
    );
  }
  return best;
}

describe("layer split of one pipeline", () => {
  it("is as fast as the best split of an exhaustive search", () => {
    fc.assert(
      fc.property(engineList, (engines) => {
        const few = engines.slice(0, 4);
        const expected = exhaustiveSlowest(few, LAYERS);
        const found = slowestStageMs(few, LAYERS);
        if (expected === Infinity) expect(found).toBe(Infinity);
        else expect(found).toBeCloseTo(expected, 6);
      }),
      { seed: SEED, numRuns: 100 },
    );
  });

  it("covers each layer once, in order", () => {
    const engines = kinds.map((kind, index) => ({ id: `${index}`, ...kind }));
    const { stages } = splitPipeline(engines, LAYERS);
    const covered = stages.flatMap(({ from, to }) =>
      Array.from({ length: to - from }, (_, index) => from + index),
    );
    expect(covered).toEqual(Array.from({ length: LAYERS }, (_, i) => i));
  });
});
