import { createMemoryStore } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startPresence } from "../following/mod.ts";
import { createOrderingRight } from "./ordering_right.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Instances of three failure domains; the second alone in its domain. */
function setUp() {
  const memory = createMemoryStore();
  const start = (instance: string, failureDomain: string) => {
    const { store, faults } = memory.client();
    const { signal } = new AbortController();
    const presence = startPresence({
      store,
      instance,
      failureDomain,
      peer: null,
      signal,
    });
    const right = createOrderingRight({
      store,
      instance,
      failureDomain,
      presence,
      storeAwayMs: () => 0,
    });
    const domains = ["a", "b", "c"];
    const look = () => domains.filter((name) => right.forDomain(name) !== null);
    return { presence, right, look, faults };
  };
  return [start("a-1", "a"), start("b-1", "b"), start("c-1", "c")] as const;
}

type Instances = ReturnType<typeof setUp>;

/** Milliseconds until one of the others holds the right for domain b. */
async function untilTaken([first, , third]: Instances): Promise<number> {
  for (let passed = 0; passed < 30_000; passed += 50) {
    const held = [...first.look(), ...third.look()];
    if (held.includes("b")) return passed;
    await vi.advanceTimersByTimeAsync(50);
  }
  return Number.POSITIVE_INFINITY;
}

async function settle(instances: Instances): Promise<void> {
  for (let at = 0; at < 100; at += 1) {
    for (const { look } of instances) look();
    await vi.advanceTimersByTimeAsync(50);
  }
  expect(instances.map(({ look }) => look())).toEqual([["a"], ["b"], ["c"]]);
}

describe("the right to order a domain's engines", () => {
  it("passes on soon when the only instance there stops", async () => {
    // The one instance of a domain is stopped for an update and comes back
    // after 8 seconds. Engines of the domain that crash meanwhile kept their
    // layers unserved until then, as nobody else took the right.
    const instances = setUp();
    await settle(instances);
    const [, stopping] = instances;
    void stopping.presence.leave();
    void stopping.right.release();
    expect(await untilTaken(instances)).toBeLessThanOrEqual(2_500);
  });

  it("passes on when the only instance there dies", async () => {
    // Its machine is lost for good, and another takes its place after seconds.
    const instances = setUp();
    await settle(instances);
    const [, dead] = instances;
    // Nothing that it writes reaches the store any more.
    dead.faults.down = true;
    expect(await untilTaken(instances)).toBeLessThanOrEqual(12_000);
  });
});

describe("an instance that the store turns away", () => {
  it("counts among the users of its domain's engines for 10 s", async () => {
    // The store refuses one instance for 8 seconds; it goes on to serve. The
    // others took it for gone after 5, its domain's engines for idle, and sent
    // them their own answers on top of its.
    const instances = setUp();
    await settle(instances);
    const [first, refused] = instances;
    refused.faults.down = true;
    await vi.advanceTimersByTimeAsync(8_000);
    expect(first.presence.othersIn("b")).toEqual(["b-1"]);
    await vi.advanceTimersByTimeAsync(8_000);
    expect(first.presence.othersIn("b")).toEqual([]);
  });
});
