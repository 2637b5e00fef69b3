import type { OrganisationLimits } from "@rosemarypin/schemas";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createLimitHome } from "./limit_home.ts";
import {
  createSharedLimits,
  type SharedLimits,
} from "./organisation_limits.ts";

const STEP_MS = 100;

let running: SharedLimits[] = [];

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  for (const limits of running) limits.stop();
  running = [];
  vi.useRealTimers();
});

/** Instances behind a balancer; the first of them is every home. */
function createFleet(
  size: number,
  limits: Readonly<Record<string, OrganisationLimits>>,
) {
  const limitsOf = (organisation: string) => limits[organisation];
  const random = xoroshiro128plus(7);
  let home = createLimitHome({ limitsOf });
  let isCut = false;
  let reports = 0;
  const instances = Array.from({ length: size }, (_, at) =>
    createSharedLimits({
      limitsOf,
      homes: {
        homeOf: () => "0",
        isSelf: () => at === 0,
        async report(_home, report) {
          if (at > 0) reports += 1;
          return isCut ? null : home.report(report);
        },
      },
    }),
  );
  running.push(...instances);

  /** Offers requests at even rates for a while; counts what went on. */
  async function offer(
    rates: Readonly<Record<string, number>>,
    options: { readonly seconds: number; readonly tokens?: number },
  ) {
    const admitted: Record<string, number> = {};
    const due: Record<string, number> = {};
    for (let ms = 0; ms < options.seconds * 1_000; ms += STEP_MS) {
      for (const [name, rate] of Object.entries(rates)) {
        due[name] = (due[name] ?? 0) + (rate * STEP_MS) / 1_000;
        for (; (due[name] ?? 0) >= 1; due[name] = (due[name] ?? 0) - 1) {
          const at = uniformInt(random, 0, size - 1);
          const tokens = options.tokens ?? 1;
          const kind = instances[at]?.admit(name, { tokens }).kind;
          if (kind === "admitted") admitted[name] = (admitted[name] ?? 0) + 1;
        }
      }
      await vi.advanceTimersByTimeAsync(STEP_MS);
    }
    return (name: string) => (admitted[name] ?? 0) / options.seconds;
  }
  return {
    instances,
    offer,
    reports: () => reports,
    cut(value: boolean) {
      isCut = value;
    },
    replaceHome() {
      home = createLimitHome({ limitsOf });
    },
  };
}

describe("limits that all instances share", () => {
  it.each([4, 64])("hold over %i instances together", async (size) => {
    // Each instance sees a small part of an organisation's requests. Counted
    // by each for itself, ten requests a second became ten on each instance.
    const fleet = createFleet(size, { kano: { requestsPerSecond: 20 } });
    await fleet.offer({ kano: 80 }, { seconds: 240 });
    const rate = await fleet.offer({ kano: 80 }, { seconds: 120 });
    expect(rate("kano")).toBeGreaterThan(16);
    expect(rate("kano")).toBeLessThan(24);
  });

  it("leave an organisation alone that keeps to them", async () => {
    const fleet = createFleet(4, {
      kano: { requestsPerSecond: 20 },
      dar: { requestsPerSecond: 20 },
    });
    const rates = { kano: 80, dar: 15, free: 50 };
    await fleet.offer(rates, { seconds: 60 });
    const rate = await fleet.offer(rates, { seconds: 20 });
    expect(rate("dar")).toBe(15);
    expect(rate("free")).toBe(50);
  });

  it("hold for tokens asked for as well", async () => {
    const fleet = createFleet(4, { kano: { tokensPerSecond: 1_000 } });
    await fleet.offer({ kano: 40 }, { seconds: 60, tokens: 100 });
    const tokens = { seconds: 60, tokens: 100 };
    const rate = await fleet.offer({ kano: 40 }, tokens);
    expect(rate("kano") * 100).toBeGreaterThan(800);
    expect(rate("kano") * 100).toBeLessThan(1_200);
  });

  it("end soon after the organisation has slowed down", async () => {
    // A caller that was refused slows down as it was told; the verdict on its
    // old rate must not go on refusing it.
    const fleet = createFleet(4, { kano: { requestsPerSecond: 20 } });
    await fleet.offer({ kano: 80 }, { seconds: 60 });
    await fleet.offer({ kano: 10 }, { seconds: 90 });
    const rate = await fleet.offer({ kano: 10 }, { seconds: 20 });
    expect(rate("kano")).toBe(10);
  });

  it("let all through while no home can be reached", async () => {
    // The home of an organisation is cut off. Nobody knows the rate, so
    // refusing could refuse what is allowed; the fair queue still protects
    // the others.
    const fleet = createFleet(4, { kano: { requestsPerSecond: 20 } });
    await fleet.offer({ kano: 80 }, { seconds: 30 });
    fleet.cut(true);
    await fleet.offer({ kano: 80 }, { seconds: 70 });
    const rate = await fleet.offer({ kano: 80 }, { seconds: 10 });
    expect(rate("kano")).toBe(80);
  });

  it("hold again after another instance has become the home", async () => {
    const fleet = createFleet(4, { kano: { requestsPerSecond: 20 } });
    await fleet.offer({ kano: 80 }, { seconds: 60 });
    fleet.replaceHome();
    await fleet.offer({ kano: 80 }, { seconds: 60 });
    const rate = await fleet.offer({ kano: 80 }, { seconds: 60 });
    expect(rate("kano")).toBeLessThan(24);
  });

  it("say when to come back, the later the more is asked", async () => {
    const waits: number[] = [];
    for (const offered of [40, 160]) {
      const fleet = createFleet(1, { kano: { requestsPerSecond: 20 } });
      await fleet.offer({ kano: offered }, { seconds: 120 });
      const all = Array.from({ length: 20 }, () =>
        fleet.instances[0]?.admit("kano", { tokens: 1 }),
      );
      const refused = all.find((admission) => admission?.kind === "refused");
      if (refused?.kind !== "refused") throw new Error("nothing was refused");
      waits.push(refused.retryAfterSeconds);
    }
    expect(waits).toEqual([3, 9]);
  });

  it("report within their budget, the heaviest use first", async () => {
    // With a home on every instance, 340 of them would tell each of 6,400
    // organisations' homes each second.
    const limits = Object.fromEntries(
      Array.from({ length: 200 }, (_, at) => [
        `organisation-${at}`,
        { requestsPerSecond: 10 },
      ]),
    );
    const told: string[] = [];
    const instance = createSharedLimits({
      limitsOf: (name) => limits[name],
      homes: {
        homeOf: (name) => name,
        isSelf: () => false,
        async report(home) {
          told.push(home);
          return { verdicts: [], nextAfterMs: 0 };
        },
      },
    });
    running.push(instance);
    for (const name of Object.keys(limits)) instance.admit(name, { tokens: 1 });
    for (let many = 0; many < 50; many++) {
      instance.admit("organisation-77", { tokens: 1 });
    }
    await vi.advanceTimersByTimeAsync(60_000);
    expect(told[0]).toBe("organisation-77");
    expect(told.length).toBeLessThanOrEqual(12);
  });

  it("do not all report to the home of one heavy organisation", async () => {
    // Each of 64 instances has something to report of it every second, and
    // all of it goes to one home, whose budget is about a report a second.
    const fleet = createFleet(64, { kano: { requestsPerSecond: 20 } });
    await fleet.offer({ kano: 80 }, { seconds: 180 });
    const before = fleet.reports();
    await fleet.offer({ kano: 80 }, { seconds: 120 });
    expect(fleet.reports() - before).toBeLessThan(2 * 120);
  });
});
