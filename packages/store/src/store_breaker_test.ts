import { createSeededRandom } from "@rosemarypin/checks";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import type { StoreResult } from "./object_store.ts";
import { createStoreBreaker } from "./store_breaker.ts";

const SEED = 3;
const RANDOM_STEPS = 1_000_000;
const FLEET = 340;
const RETRY_MS = 100;
const OUTAGE_SECONDS = 120;
/** By then, the probe delays have reached their maximum. */
const MAX_DELAY_REACHED_SECONDS = 60;

const FAILED: StoreResult<never> = {
  kind: "unavailable",
  detail: "unreachable",
};

beforeEach(() => {
  vi.useFakeTimers();
  const seeded = createSeededRandom(SEED);
  vi.spyOn(Math, "random").mockImplementation(
    () => seeded.between(0, RANDOM_STEPS - 1) / RANDOM_STEPS,
  );
});

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

/** Counts the probes of a whole fleet in each second of an outage. */
async function probesPerSecond(fleetSize: number): Promise<number[]> {
  const probes = Array.from({ length: OUTAGE_SECONDS }, () => 0);
  const startedAt = Date.now();
  const breakers = Array.from({ length: FLEET }, () =>
    createStoreBreaker({
      instances: () => fleetSize,
      probe: async () => {
        const second = Math.floor((Date.now() - startedAt) / 1_000);
        probes[second] = (probes[second] ?? 0) + 1;
        return FAILED;
      },
    }),
  );
  for (const breaker of breakers) {
    for (let at = 0; at < 3; at++) await breaker.run(async () => FAILED);
  }
  for (let at = 0; at < OUTAGE_SECONDS * 1_000; at += RETRY_MS) {
    for (const breaker of breakers) void breaker.admit();
    await vi.advanceTimersByTimeAsync(RETRY_MS);
  }
  return probes;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

describe("store breaker", () => {
  // The store fails for all 340 instances at the same moment, for two minutes.
  // If their probes were synchronised, the whole fleet would reach the store
  // in the second of its recovery and overload it again.
  it("spreads the probes of a larger fleet over a longer time", async () => {
    const probes = await probesPerSecond(FLEET);
    const atMaxDelay = probes.slice(MAX_DELAY_REACHED_SECONDS, OUTAGE_SECONDS);
    expect(mean(atMaxDelay)).toBeLessThan(FLEET / 4);
    expect(Math.max(...atMaxDelay)).toBeLessThan(FLEET / 2);
    const single = await probesPerSecond(1);
    const singleAtMaxDelay = single.slice(
      MAX_DELAY_REACHED_SECONDS,
      OUTAGE_SECONDS,
    );
    expect(mean(atMaxDelay)).toBeLessThan(0.7 * mean(singleAtMaxDelay));
  });

  // The store hangs, and a probe waits two seconds for its reply. All other
  // callers must be refused at once, and no second probe may be sent.
  it("sends one probe and refuses the others at once", async () => {
    let probes = 0;
    const breaker = createStoreBreaker({
      instances: () => 1,
      probe: async () => {
        probes += 1;
        await new Promise((resolve) => setTimeout(resolve, 2_000));
        return FAILED;
      },
    });
    for (let at = 0; at < 3; at++) await breaker.run(async () => FAILED);
    while (probes === 0) {
      void breaker.admit();
      await vi.advanceTimersByTimeAsync(RETRY_MS);
    }
    let refused = 0;
    for (let at = 0; at < 10; at++) {
      void breaker.admit().then((admitted) => {
        if (!admitted) refused += 1;
      });
    }
    await vi.advanceTimersByTimeAsync(RETRY_MS);
    expect({ probes, refused }).toEqual({ probes: 1, refused: 10 });
  });
});
