import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { chooseLayout, type LayerLayout } from "./layer_layout.ts";
import { layerMs, STAGE_MS } from "./stage_time.ts";
import type { EngineFacts, ModelShape } from "./types.ts";

const model: ModelShape = {
  name: "m",
  layerCount: 80,
  layerMb: 1_750,
  tokenLayerBytes: 10_567,
  stepMs: 1,
  readTokensPerMs: 160,
  usualPromptTokens: 774,
  usualAnswerTokens: 210,
  mostAnswers: 134,
};

const KINDS = {
  large: { memoryMb: 72_000, stepFactor: 2.4, readFactor: 3.2 },
  fast: { memoryMb: 14_400, stepFactor: 5.3, readFactor: 7.9 },
  slow: { memoryMb: 21_600, stepFactor: 16, readFactor: 8.2 },
} as const;

function fleet(counts: Partial<Record<keyof typeof KINDS, number>>) {
  return Object.entries(counts).flatMap(([kind, count]) =>
    Array.from({ length: count }, (_, index): EngineFacts => {
      const id = `${kind}-${String(index).padStart(2, "0")}`;
      const facts = KINDS[kind as keyof typeof KINDS];
      return { id, failureDomain: "a", held: null, ...facts };
    }),
  );
}

const bounds = { mostEngines: 100, leastTokens: 12_000, mostTokens: 132_000 };

function describeLayout({ parts, tokens, tokenMs }: LayerLayout) {
  return {
    parts: parts.map(({ engine, layers }) => `${engine.id} ${layers}`),
    tokens,
    tokenMs: Number(tokenMs.toFixed(2)),
  };
}

describe("the layout of a pipeline", () => {
  it("prefers fast engines with few layers to slow ones with many", () => {
    const layout = chooseLayout(
      fleet({ large: 1, fast: 6, slow: 6 }),
      model,
      bounds,
    );
    expect(layout && describeLayout(layout)).toMatchSnapshot();
  });

  it("gives layers to few large engines where they suffice", () => {
    const layout = chooseLayout(
      fleet({ large: 3, fast: 4, slow: 4 }),
      model,
      bounds,
    );
    expect(layout && describeLayout(layout)).toMatchSnapshot();
  });

  it("leaves engines out beyond the bound", () => {
    const engines = fleet({ large: 1, fast: 6, slow: 6 });
    const few = chooseLayout(engines, model, { ...bounds, mostEngines: 9 });
    expect(few?.parts.length).toBeLessThanOrEqual(9);
  });

  it("is none where the engines together are too small", () => {
    expect(chooseLayout(fleet({ slow: 3 }), model, bounds)).toBeNull();
  });

  it("is as fast as any other way to share the layers out", () => {
    const small: ModelShape = { ...model, layerCount: 8 };
    const kinds = fc.constantFrom(
      { memoryMb: 9_000, stepFactor: 1, readFactor: 1 },
      { memoryMb: 5_000, stepFactor: 2, readFactor: 2 },
      { memoryMb: 13_000, stepFactor: 5, readFactor: 2 },
    );
    const property = fc.property(
      fc.array(kinds, { minLength: 2, maxLength: 5 }),
      (facts) => {
        const engines = facts.map((kind, index) => ({
          id: `e-${index}`,
          failureDomain: "a",
          held: null,
          ...kind,
        }));
        const found = chooseLayout(engines, small, bounds);
        const best = shortestMs(engines, small, found?.tokens ?? 0);
        if (!found) return;
        // Where an engine is left with a part of its layers, the others are
        // not shared out anew: a stage more or less is the most that is lost.
        expect(found.tokenMs).toBeLessThanOrEqual(best + STAGE_MS);
      },
    );
    fc.assert(property, { numRuns: 200, seed: 650 });
  });
});

/** Least milliseconds a token over all ways to share the layers out. */
function shortestMs(
  engines: readonly EngineFacts[],
  small: ModelShape,
  tokens: number,
): number {
  const layerMb = small.layerMb + (tokens * small.tokenLayerBytes) / 1e6;
  const most = engines.map(({ memoryMb }) => Math.floor(memoryMb / layerMb));

  function least(at: number, missing: number): number {
    if (missing === 0) return 0;
    const engine = engines[at];
    if (!engine) return Number.POSITIVE_INFINITY;
    let best = least(at + 1, missing);
    for (let n = 1; n <= Math.min(most[at] ?? 0, missing); n += 1) {
      const own = STAGE_MS + n * layerMs(small, engine);
      best = Math.min(best, own + least(at + 1, missing - n));
    }
    return best;
  }

  return least(0, small.layerCount);
}
