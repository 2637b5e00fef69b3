import type { RouterOptions } from "@rosemarypin/routing";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBaselineRouter } from "../baseline_router.ts";
import { benchShape, hardwareBound, MEAN_TOKENS } from "../bench_shape.ts";
import { type CallerEnd, runCallers } from "./virtual_callers.ts";
import { untilSettled, VIRTUAL_TIMERS } from "./virtual_clock.ts";
import { createVirtualDeployment } from "./virtual_deployment.ts";

/** One failure domain and two instances: enough, and quick to run. */
const shape = { ...benchShape, domains: ["dar"], instances: 2 };
const BASE_LOAD = 0.8;
const TRIGGER = { from: 1_500, to: 4_000, load: 2.5 };
const JUDGED = { from: 7_000, to: 9_000 };

interface Policy {
  readonly makeRouter?: (
    options: RouterOptions,
  ) => ReturnType<typeof createBaselineRouter>;
  readonly stopsAbandoned: boolean;
}

/** Callers that came well after the trigger had gone, and how they fared. */
async function callersAfter(
  policy: Policy,
  seed: number,
): Promise<readonly CallerEnd[]> {
  const bound = hardwareBound(shape, { answerTokens: MEAN_TOKENS });
  const deployment = createVirtualDeployment({ ...policy, shape, seed });
  const startedAt = performance.now();
  const loadAt = (afterMs: number) =>
    afterMs >= TRIGGER.from && afterMs < TRIGGER.to ? TRIGGER.load : BASE_LOAD;
  const ends = await untilSettled(
    runCallers(deployment, {
      seed,
      rateAt: (afterMs) => (loadAt(afterMs) * bound) / MEAN_TOKENS,
      durationMs: JUDGED.to,
      patienceMs: 5_000,
      tries: 3,
      stopsAbandoned: policy.stopsAbandoned,
    }),
    () => vi.advanceTimersToNextTimer(),
  );
  for (const router of deployment.routers) router.stop();
  return ends.filter(({ arrivedAt }) => arrivedAt >= startedAt + JUDGED.from);
}

function servedShare(ends: readonly CallerEnd[]): number {
  return ends.filter(({ isServed }) => isServed).length / ends.length;
}

/**
 * For some seconds callers ask for two and a half times what engines can
 * give; then load is again what it was. Each caller that waited in vain asks
 * again, and what it left runs on. The work of those who left keeps out those
 * who came, they leave in turn, and the overload outlasts its cause for good.
 */
describe("an overload whose cause has gone", () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...VIRTUAL_TIMERS] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it("stays with a policy that admits all and stops nothing", async () => {
    const plain: Policy = {
      makeRouter: ({ fleet }) =>
        createBaselineRouter("least_in_flight", { fleet }),
      stopsAbandoned: false,
    };
    expect(servedShare(await callersAfter(plain, 1))).toBeLessThan(0.5);
  });

  it.each([1, 2])("goes with today's policy, seed %i", async (seed) => {
    const ends = await callersAfter({ stopsAbandoned: true }, seed);
    expect(servedShare(ends)).toBeGreaterThan(0.98);
  });
});
