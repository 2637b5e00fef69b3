import type { Router, RouterOptions } from "@rosemarypin/routing";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createBaselineRouter } from "../baseline_router.ts";
import { benchShape, hardwareBound, MEAN_TOKENS } from "../bench_shape.ts";
import { figuresOf } from "../figures.ts";
import { untilSettled, VIRTUAL_TIMERS } from "./virtual_clock.ts";
import { createVirtualDeployment } from "./virtual_deployment.ts";
import { runVirtualLoad } from "./virtual_load.ts";

const LOST_AT_MS = 2_500;
const BACK_AT_MS = 5_500;
const END_MS = 8_500;
/** What may pass until load is at the new bound again. */
const RECOVERY_MS = 2_000;
const LOOK_EVERY_MS = 10;
/** How long after their return engines are looked at. */
const WATCHED_MS = 1_000;

/** Loses the engines of one failure domain under full load, and gets them back. */
async function loseDomain(
  seed: number,
  makeRouter?: (options: RouterOptions) => Router,
) {
  const bound = hardwareBound(benchShape, { answerTokens: MEAN_TOKENS });
  const deployment = createVirtualDeployment({
    seed,
    latestMs: 1,
    ...(makeRouter ? { makeRouter } : {}),
  });
  const lost = deployment.engines.filter(
    ({ failureDomain }) => failureDomain === "dar",
  );
  let longest = 0;
  const look = () => {
    for (const engine of lost) longest = Math.max(longest, engine.waiting());
  };
  setTimeout(() => lost.forEach((engine) => void engine.kill()), LOST_AT_MS);
  setTimeout(() => lost.forEach((engine) => void engine.restart()), BACK_AT_MS);
  for (let at = 0; at < WATCHED_MS; at += LOOK_EVERY_MS) {
    setTimeout(look, BACK_AT_MS + at);
  }
  const startedAt = performance.now();
  const samples = await untilSettled(
    runVirtualLoad(deployment, {
      seed,
      rateAt: () => (1.2 * bound) / MEAN_TOKENS,
      durationMs: END_MS,
    }),
    () => vi.advanceTimersToNextTimer(),
  );
  for (const router of deployment.routers) router.stop();
  const shareOf = (from: number, to: number, share: number) =>
    figuresOf(samples, {
      bound: bound * share,
      from: startedAt + from,
      to: startedAt + to,
    }).throughputShare;
  return {
    longest,
    without: shareOf(LOST_AT_MS + RECOVERY_MS, BACK_AT_MS, 2 / 3),
    after: shareOf(BACK_AT_MS + RECOVERY_MS, END_MS, 1),
  };
}

/**
 * A failure domain is gone for some seconds under full load. When its engines
 * return they have nothing to do, and all instances see that at once: a policy
 * that sends work to whoever has least sends all of it there, and the callers
 * of that moment wait while the other engines idle.
 */
describe("a failure domain that is lost and returns", () => {
  beforeEach(() => {
    vi.useFakeTimers({ toFake: [...VIRTUAL_TIMERS] });
  });
  afterEach(() => {
    vi.useRealTimers();
  });

  it.each([1, 2])("is met by no herd, seed %i", async (seed) => {
    const today = await loseDomain(seed);
    expect(today.longest).toBeLessThanOrEqual(16);
    expect(today.without).toBeGreaterThan(0.95);
    expect(today.after).toBeGreaterThan(0.9);
  });

  it("is met by a herd with the policy of least in flight", async () => {
    const plain = await loseDomain(1, ({ fleet }) =>
      createBaselineRouter("least_in_flight", { fleet }),
    );
    expect(plain.longest).toBeGreaterThan(16);
  });
});
