import type { Router, RouterOptions } from "@rosemarypin/routing";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { baselineNames, createBaselineRouter } from "../baseline_router.ts";
import { benchShape, hardwareBound, MEAN_TOKENS } from "../bench_shape.ts";
import { type Figures, figuresOf } from "../figures.ts";
import { untilSettled, VIRTUAL_TIMERS } from "./virtual_clock.ts";
import { createVirtualDeployment } from "./virtual_deployment.ts";
import { runVirtualLoad } from "./virtual_load.ts";

const FIRST_MS = 3_000;
const SETTLE_MS = 4_000;
const MEASURED_MS = 4_000;
/** Load that precedes the one that is measured. */
const FIRST_LOAD = 0.7;

/** Figures of a load that has lasted a while. */
async function measure(
  load: number,
  seed: number,
  makeRouter?: (options: RouterOptions) => Router,
): Promise<Figures> {
  const bound = hardwareBound(benchShape, { answerTokens: MEAN_TOKENS });
  const deployment = createVirtualDeployment({
    seed,
    latestMs: 1,
    ...(makeRouter ? { makeRouter } : {}),
  });
  const startedAt = performance.now();
  const samples = await untilSettled(
    runVirtualLoad(deployment, {
      seed,
      rateAt: (afterMs) =>
        ((afterMs < FIRST_MS ? FIRST_LOAD : load) * bound) / MEAN_TOKENS,
      durationMs: FIRST_MS + SETTLE_MS + MEASURED_MS,
    }),
    () => vi.advanceTimersToNextTimer(),
  );
  for (const router of deployment.routers) router.stop();
  const from = startedAt + FIRST_MS + SETTLE_MS;
  return figuresOf(samples, { bound, from, to: from + MEASURED_MS });
}

describe("routers under load that lasts", () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...VIRTUAL_TIMERS] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([1, 2])(
    "fill engines and keep pace and shares, seed %i",
    async (seed) => {
      // Twice the load that engines can take. Callers see tokens come unevenly,
      // and many answers miss the objective, while engines idle: answers changed
      // from pipeline to pipeline and met another queue in each engine, so that
      // windows came to rest before the engines were full. Two large
      // organisations ask for far more than there is, and eight small ones for
      // less than their share: only the large ones may be refused.
      const figures = await measure(2, seed);
      expect(figures.goodputShare).toBeGreaterThan(0.95);
      expect(figures.betweenTokensP95Ms).toBeLessThan(79);
      expect(figures.smallServedShare).toBeGreaterThan(0.95);
      expect(figures.fairness).toBeGreaterThan(0.98);
    },
  );

  it.each(baselineNames)("give more than the policy %s", async (name) => {
    // Engines take a fifth more than they can give, as on any busy day. A
    // policy that admits all lets every answer become slower than its caller
    // accepts: all tokens come, and hardly one answer is of use.
    const plain = await measure(1.2, 1, ({ fleet }) =>
      createBaselineRouter(name, { fleet }),
    );
    expect(plain.goodputShare).toBeLessThan(0.5);
  });

  it("refuse nothing at four fifths of the load", async () => {
    const figures = await measure(0.8, 1);
    expect(figures.refusedShare).toBe(0);
    expect(figures.firstTokenP95Ms).toBeLessThan(830);
    expect(figures.betweenTokensP95Ms).toBeLessThan(79);
  });
});
