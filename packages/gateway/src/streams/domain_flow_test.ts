import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import {
  createDomainFlow,
  type DomainFlow,
  type DomainState,
  decideDomainLimits,
} from "./domain_flow.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const DOMAINS = ["a", "b", "c"] as const;
const CAPACITY = 100;
const STEP_MS = 100;
const PERIOD_MS = 17_000;
/** Time in which most of the answers in progress end. */
const ANSWER_MS = 3_000;

type Domain = (typeof DOMAINS)[number];

interface Moment {
  readonly at: number;
  readonly need: Readonly<Record<Domain, number>>;
  /** Tokens on engines of the domain for callers of others. */
  readonly foreign: Readonly<Record<Domain, number>>;
  /** Tokens that callers of the domain lack on all engines. */
  readonly lacking: Readonly<Record<Domain, number>>;
  /** Limits of domain b's engines, by the domain that uses them. */
  readonly limits: Readonly<Record<Domain, number>>;
}

interface Load {
  readonly need: (domain: Domain, at: number) => number;
  readonly capacity?: (domain: Domain, at: number) => number;
  /** Age of what domains know of each other. */
  readonly ageMs?: (at: number) => number;
  /** Whether a domain knows the need of another one. */
  readonly isKnown?: (of: Domain, at: number, by: Domain) => boolean;
  /** Without, the limits stay at the constant. */
  readonly hasFlow?: boolean;
}

function perDomain<Value>(value: (domain: Domain) => Value) {
  return { a: value("a"), b: value("b"), c: value("c") };
}

/**
 * Runs three domains. Each serves its callers on its own engines first and then
 * on those of others, as far as the limit and the load that it knows allow;
 * answers that are given elsewhere end over time.
 */
function simulate(load: Load, lastMs = 3 * PERIOD_MS): Moment[] {
  const {
    need,
    capacity = () => CAPACITY,
    ageMs = (at) => 1_000 + ((at * 7) % 2_000),
    isKnown = () => true,
    hasFlow = true,
  } = load;
  const flows = perDomain((domain) => createDomainFlow(domain));
  const given = perDomain(() => perDomain(() => 0));
  const moments: Moment[] = [];
  for (let at = 0; at <= lastMs; at += STEP_MS) {
    vi.advanceTimersByTime(STEP_MS);
    const seenAt = Math.max(0, at - ageMs(at));
    const seen = moments[Math.floor(seenAt / STEP_MS)];
    const foreignOn = (domain: Domain) =>
      DOMAINS.reduce((sum, user) => sum + given[user][domain], 0);
    for (const own of DOMAINS) {
      const flow: DomainFlow = flows[own];
      const states = DOMAINS.map((domain): DomainState => {
        const isOwn = domain === own;
        const known = isOwn ? need(own, at) : need(domain, seenAt);
        return {
          failureDomain: domain,
          capacity: capacity(domain, at),
          need: isOwn || isKnown(domain, at, own) ? known : null,
        };
      });
      if (hasFlow) flow.update(states);
      for (const other of DOMAINS) {
        if (other === own) continue;
        const used = given[own];
        used[other] -= (used[other] * STEP_MS) / ANSWER_MS;
        const room = Math.max(0, capacity(own, at) - foreignOn(own));
        const elsewhere = DOMAINS.reduce((sum, to) => sum + used[to], 0);
        const lacking = need(own, at) - room - elsewhere;
        const limit = flow.limits().get(other) ?? 0.5;
        const seenNeed = Math.min(need(other, seenAt), CAPACITY);
        const seenLoad = seenNeed + (seen?.foreign[other] ?? 0);
        const load = Math.max(seenLoad, seenNeed + used[other]);
        const free = limit * capacity(other, at) - load;
        used[other] += Math.max(0, Math.min(lacking, free));
      }
    }
    moments.push({
      at,
      need: perDomain((domain) => need(domain, at)),
      foreign: perDomain(foreignOn),
      lacking: perDomain((domain) => {
        const room = Math.max(0, capacity(domain, at) - foreignOn(domain));
        const elsewhere = DOMAINS.reduce((s, to) => s + given[domain][to], 0);
        return Math.max(0, need(domain, at) - room - elsewhere);
      }),
      limits: perDomain((user) => flows[user].limits().get("b") ?? 0.5),
    });
  }
  return moments;
}

/** Sum of all rises and falls. */
function variation(values: readonly number[]): number {
  return values.reduce((sum, value, index) => {
    return sum + Math.abs(value - (values[index - 1] ?? value));
  }, 0);
}

function swing(mean: number, share: number) {
  return (domain: Domain, at: number) => {
    const phase = DOMAINS.indexOf(domain) / DOMAINS.length;
    const angle = 2 * Math.PI * (at / PERIOD_MS + phase);
    return mean * (1 + share * Math.sin(angle));
  };
}

function sumOf(moments: readonly Moment[], key: "lacking" | "foreign") {
  return moments.reduce(
    (sum, moment) => sum + DOMAINS.reduce((s, d) => s + moment[key][d], 0),
    0,
  );
}

/**
 * Most that a domain's engines lack for its own need because of others, while it
 * may help: a need above 0.9 of the capacity is a shortage of its own.
 */
function mostTaken(
  moments: readonly Moment[],
  options: {
    readonly domains?: readonly Domain[];
    readonly upTo?: number;
  } = {},
): number {
  const { domains = DOMAINS, upTo = 0.9 * CAPACITY } = options;
  let most = 0;
  for (const { need, foreign } of moments) {
    for (const domain of domains) {
      if (need[domain] > upTo || foreign[domain] === 0) continue;
      most = Math.max(most, need[domain] + foreign[domain] - CAPACITY);
    }
  }
  return most;
}

function state(failureDomain: string, need: number | null, capacity = 100) {
  return { failureDomain, need, capacity };
}

describe("limits of one decision", () => {
  it.each([
    ["nobody is short", 80, 30, 40, [0.5, 0.5]],
    [
      "one is short: others give in proportion to their spare",
      120,
      30,
      60,
      [0.5, 0.7],
    ],
    ["more is lacking than can be spared", 300, 60, 80, [0.9, 0.9]],
    ["the only other one is short too", 120, 130, 95, [0.5, 0.5]],
    ["a need is unknown", 120, null, 60, [0.5, 0.9]],
    ["the own need is unknown", null, 30, 60, [0.5, 0.5]],
  ])("when %s", (_, a, b, c, expected) => {
    const states = [state("a", a), state("b", b), state("c", c)];
    const limits = decideDomainLimits("a", states);
    const found = ["b", "c"].map((domain) => limits.get(domain) ?? 0);
    expect(found[0]).toBeCloseTo(expected[0] ?? 0);
    expect(found[1]).toBeCloseTo(expected[1] ?? 0);
  });

  // Guards against promises to several domains that exceed the capacity.
  it("gives all short domains together no more than is spared", () => {
    const states = [state("a", 150), state("b", 120), state("c", 60)];
    const given = ["a", "b"].map((own) => {
      const limit = decideDomainLimits(own, states).get("c") ?? 0;
      return limit * 100 - 60;
    });
    expect(given[0]).toBeGreaterThan(given[1] ?? 0);
    expect((given[0] ?? 0) + (given[1] ?? 0)).toBeCloseTo(30);
  });

  it("expects nothing of a domain without capacity", () => {
    const states = [state("a", 120), state("b", 0, 0), state("c", 20, 0)];
    const limits = decideDomainLimits("a", states);
    expect([...limits.values()]).toEqual([0.5, 0.5]);
  });
});

describe("demand that swings out of step between domains", () => {
  it("moves limits no more than demand itself", () => {
    const moments = simulate({ need: swing(75, 0.55) });
    const limits = moments.map((moment) => moment.limits.a);
    const needs = moments.map(({ need }) => need.a / CAPACITY);
    console.log(
      `variation limit=${variation(limits).toFixed(2)} need=${variation(needs).toFixed(2)}`,
    );
    expect(variation(limits)).toBeLessThan(variation(needs));
    expect(Math.max(...limits)).toBeGreaterThan(0.5);
  });

  it("takes from no helping domain what its own callers need", () => {
    const need = swing(75, 0.55);
    const moments = simulate({ need });
    const fixed = simulate({ need, hasFlow: false });
    const upTo = CAPACITY;
    console.log(
      `taken of ${CAPACITY}: helping=${mostTaken(moments).toFixed(1)}` +
        ` up to full=${mostTaken(moments, { upTo }).toFixed(1)}` +
        ` fixed=${mostTaken(fixed).toFixed(1)}/${mostTaken(fixed, { upTo }).toFixed(1)}`,
    );
    expect(mostTaken(moments)).toBe(0);
    // Answers that were given before it became short end over seconds.
    expect(mostTaken(moments, { upTo })).toBeLessThan(0.1 * CAPACITY);
  });

  // When all domains together need nine tenths of the capacity, answers that
  // were given at the bottom of a swing still run when the need is back, so that
  // a helping domain waits for them. This bounds what it waits for.
  it("leaves the callers of no domain worse off close to full capacity", () => {
    const need = swing(90, 0.55);
    const flowing = simulate({ need });
    const fixed = simulate({ need, hasFlow: false });
    for (const domain of DOMAINS) {
      const [lacking = 0, before = 0] = [flowing, fixed].map((moments) =>
        moments.reduce((sum, moment) => sum + moment.lacking[domain], 0),
      );
      console.log(
        `${domain}: lacking fixed=${before.toFixed(0)} flow=${lacking.toFixed(0)}`,
      );
      expect(lacking).toBeLessThan(before);
    }
    console.log(`taken of ${CAPACITY}: ${mostTaken(flowing).toFixed(1)}`);
    expect(mostTaken(flowing)).toBeLessThan(0.15 * CAPACITY);
  });

  it("leaves callers with less than the fixed limit does", () => {
    const need = swing(75, 0.55);
    const fixed = sumOf(simulate({ need, hasFlow: false }), "lacking");
    const flowing = sumOf(simulate({ need }), "lacking");
    console.log(`lacking fixed=${fixed.toFixed(0)} flow=${flowing.toFixed(0)}`);
    expect(flowing).toBeLessThanOrEqual(fixed);
  });
});

describe("other loads", () => {
  it("callers that move to another domain are served by those left free", () => {
    const need = (domain: Domain, at: number) => {
      const moved = Math.min(50, Math.max(0, (at - 5_000) / 100));
      return { a: 70 + moved, b: 70 - moved, c: 70 }[domain];
    };
    const moments = simulate({ need }, 30_000);
    const last = moments.at(-1);
    const fixed = simulate({ need, hasFlow: false }, 30_000).at(-1);
    console.log(`lacking flow=${last?.lacking.a} fixed=${fixed?.lacking.a}`);
    expect(last?.lacking.a).toBeLessThanOrEqual(fixed?.lacking.a ?? 0);
    expect(last?.lacking.a).toBeLessThan(3);
    expect(mostTaken(moments)).toBe(0);
  });

  it("a domain that loses three fast engines for good is helped", () => {
    const load: Load = {
      need: (domain) => ({ a: 70, b: 60, c: 60 })[domain],
      capacity: (domain, at) => (domain === "a" && at > 5_000 ? 40 : CAPACITY),
    };
    const moments = simulate(load, 40_000);
    const fixed = simulate({ ...load, hasFlow: false }, 40_000);
    expect(fixed.at(-1)?.lacking.a).toBeGreaterThan(20);
    expect(moments.at(-1)?.lacking.a).toBeLessThan(3);
    expect(mostTaken(moments, { domains: ["b", "c"] })).toBe(0);
  });

  it("engines that are added end the help", () => {
    const load: Load = {
      need: (domain) => ({ a: 110, b: 60, c: 60 })[domain],
      capacity: (domain, at) =>
        domain === "a" && at > 20_000 ? 150 : CAPACITY,
    };
    const moments = simulate(load, 40_000);
    const before = moments.find(({ at }) => at === 20_000);
    expect(before?.limits.a).toBeGreaterThan(0.6);
    const after = moments.find(({ at }) => at === 20_100);
    expect(after?.limits.a).toBe(0.5);
    expect(moments.at(-1)?.foreign.b).toBeLessThan(1);
  });

  it("reports that are lost for 3 s lower the limits, which then rise slowly", () => {
    const load: Load = {
      need: (domain) => ({ a: 110, b: 60, c: 60 })[domain],
      isKnown: (of, at) => of !== "b" || at < 20_000 || at >= 23_000,
    };
    const moments = simulate(load, 40_000);
    const limitAt = (at: number) =>
      moments.find((moment) => moment.at === at)?.limits.a ?? 0;
    expect(limitAt(19_900)).toBeGreaterThan(0.6);
    expect(limitAt(20_000)).toBe(0.5);
    expect(limitAt(22_900)).toBe(0.5);
    expect(limitAt(23_900)).toBeGreaterThan(0.5);
    expect(limitAt(23_900)).toBeLessThanOrEqual(0.6 + 1e-9);
    expect(limitAt(30_000)).toBeGreaterThan(0.6);
  });

  it("a domain that is cut off uses today's constant, and so do the others", () => {
    const load: Load = {
      need: (domain) => ({ a: 110, b: 60, c: 130 })[domain],
      isKnown: (of, at, by) => at < 10_000 || (of !== "c" && by !== "c"),
    };
    const moments = simulate(load, 20_000);
    const last = moments.at(-1);
    expect(last?.limits.c).toBe(0.5);
    // The demand of the domain that is cut off no longer takes from the others.
    expect(last?.limits.a).toBeGreaterThan(0.6);
  });

  it("a domain of an older version, whose need is unknown, is left its half", () => {
    const load: Load = {
      need: (domain) => ({ a: 130, b: 20, c: 60 })[domain],
      isKnown: (of) => of !== "b",
    };
    const moments = simulate(load, 20_000);
    expect(moments.every(({ limits }) => limits.a === 0.5)).toBe(true);
    expect(mostTaken(moments)).toBe(0);
  });
});

describe("rise of a limit", () => {
  // Guards against a jump where an instance has had nothing to decide.
  it("is bounded after a time without decisions", () => {
    const flow = createDomainFlow("a");
    const short = [state("a", 200), state("b", 60)];
    flow.update([state("a", 20), state("b", 60)]);
    vi.advanceTimersByTime(60_000);
    flow.update(short);
    expect(flow.limits().get("b")).toBeCloseTo(0.6);
    vi.advanceTimersByTime(500);
    flow.update(short);
    expect(flow.limits().get("b")).toBeCloseTo(0.65);
  });
});
