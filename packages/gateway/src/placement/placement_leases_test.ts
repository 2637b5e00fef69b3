import { createMemoryStore } from "@rosemarypin/fakes";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startPresence } from "../following/mod.ts";
import { createPlacementLeases, type EngineReach } from "./placement_leases.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

/** Three instances, each the only one of its failure domain. */
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
    const state = { engineReach: "reached" as EngineReach, storeOutageMs: 0 };
    const leases = createPlacementLeases({
      store,
      instance,
      failureDomain,
      presence,
      engineReach: () => state.engineReach,
      storeOutageMs: () => state.storeOutageMs,
      callPeer: async () => ({ kind: "refused" }),
    });
    const domains = ["a", "b", "c"];
    const orderableDomains = () =>
      domains.filter((name) => leases.fencingNumberFor(name) !== null);
    /** Cuts it off from all engines, or ends that. */
    const setReachesEngines = (reachesEngines: boolean) => {
      state.engineReach = reachesEngines ? "reached" : "cut_off";
      presence.setReachesEngines(reachesEngines);
    };
    const loseStore = () => {
      faults.down = true;
      state.storeOutageMs = 10_000;
    };
    return {
      presence,
      state,
      leases,
      orderableDomains,
      faults,
      setReachesEngines,
      loseStore,
    };
  };
  return [start("a-1", "a"), start("b-1", "b"), start("c-1", "c")] as const;
}

type Instances = ReturnType<typeof setUp>;

/** Milliseconds until another instance holds the lease of domain b. */
async function msUntilTakenOver([first, , third]: Instances): Promise<number> {
  for (let elapsedMs = 0; elapsedMs < 30_000; elapsedMs += 50) {
    const heldDomains = [
      ...first.orderableDomains(),
      ...third.orderableDomains(),
    ];
    if (heldDomains.includes("b")) return elapsedMs;
    await vi.advanceTimersByTimeAsync(50);
  }
  return Number.POSITIVE_INFINITY;
}

async function settle(instances: Instances): Promise<void> {
  for (let at = 0; at < 100; at += 1) {
    for (const { orderableDomains } of instances) orderableDomains();
    await vi.advanceTimersByTimeAsync(50);
  }
  expect(instances.map(({ orderableDomains }) => orderableDomains())).toEqual([
    ["a"],
    ["b"],
    ["c"],
  ]);
}

describe("placement leases", () => {
  // Guards against engines that stay without layers after a start.
  it("are held by the instances of their domains within 2 s of a start", async () => {
    const instances = setUp();
    for (let elapsedMs = 0; elapsedMs <= 2_000; elapsedMs += 50) {
      for (const { orderableDomains } of instances) orderableDomains();
      await vi.advanceTimersByTimeAsync(50);
    }
    expect(instances.map(({ orderableDomains }) => orderableDomains())).toEqual(
      [["a"], ["b"], ["c"]],
    );
  });

  it("are taken over within 2.5 s when a domain's only instance stops", async () => {
    // The only instance of a domain stops for an update and restarts 8 s later.
    // If no other instance took over its lease, layers of engines that crash
    // in between would stay unserved until the restart.
    const instances = setUp();
    await settle(instances);
    const [, stopping] = instances;
    void stopping.presence.leave();
    void stopping.leases.release();
    expect(await msUntilTakenOver(instances)).toBeLessThanOrEqual(2_500);
  });

  it("are taken over within 12 s when a domain's only instance crashes", async () => {
    // The instance's machine is lost, so the lease expires without a release.
    const instances = setUp();
    await settle(instances);
    const [, dead] = instances;
    // From here on, none of its writes reach the store.
    dead.faults.down = true;
    expect(await msUntilTakenOver(instances)).toBeLessThanOrEqual(12_000);
  });
});

describe("placement leases of an instance that reaches no engine", () => {
  // Guards against layers of lost engines that stay unserved, because the holder
  // of the lease reaches no engine and keeps it.
  it("are given up, and taken over within 6.5 s by an instance that does", async () => {
    const instances = setUp();
    await settle(instances);
    const [, cutOff] = instances;
    cutOff.setReachesEngines(false);
    expect(cutOff.orderableDomains()).toEqual([]);
    expect(await msUntilTakenOver(instances)).toBeLessThanOrEqual(6_500);
    cutOff.setReachesEngines(true);
    await settle(instances);
  });

  // Guards against a lease that changes hands with each failure of an engine.
  it("are kept while a check is in progress, and no orders are sent", async () => {
    const instances = setUp();
    await settle(instances);
    const [, checking] = instances;
    checking.state.engineReach = "checking";
    await vi.advanceTimersByTimeAsync(5_000);
    expect(checking.orderableDomains()).toEqual([]);
    checking.state.engineReach = "reached";
    expect(checking.orderableDomains()).toEqual(["b"]);
  });

  // Guards against orders by an instance that takes all engines for dead.
  it("have no substitute in an outage of the store", async () => {
    const instances = setUp();
    await settle(instances);
    const [, cutOff] = instances;
    cutOff.loseStore();
    await vi.advanceTimersByTimeAsync(5_000);
    expect(cutOff.orderableDomains()).toEqual(["b"]);
    cutOff.setReachesEngines(false);
    expect(cutOff.orderableDomains()).toEqual([]);
  });
});

/** Instances of one failure domain, which reach each other. */
function setUpDomain(names: readonly string[]) {
  const memory = createMemoryStore();
  const ended = new Set<string>();
  const running = new Map(names.map((name) => [name, start(name)]));

  function start(instance: string) {
    const { store, faults } = memory.client();
    const { signal } = new AbortController();
    const presence = startPresence({
      store,
      instance,
      failureDomain: "a",
      peer: { host: instance, port: 1 },
      signal,
    });
    const state = { storeOutageMs: 0 };
    const leases = createPlacementLeases({
      store,
      instance,
      failureDomain: "a",
      presence,
      engineReach: () => "reached",
      storeOutageMs: () => state.storeOutageMs,
      callPeer: async ({ host }, method) => {
        const peer = running.get(host);
        if (!peer || ended.has(host)) return { kind: "refused" };
        return { kind: "ok", value: peer.leases.peerMethods[method]?.(null) };
      },
    });
    return { leases, faults, state };
  }

  /** Names of those that may order, once that has settled. */
  async function ordering(): Promise<string[]> {
    let names: string[] = [];
    for (let at = 0; at < 100; at += 1) {
      names = [...running]
        .filter(([name]) => !ended.has(name))
        .filter(([, { leases }]) => leases.fencingNumberFor("a") !== null)
        .map(([name]) => name);
      await vi.advanceTimersByTimeAsync(50);
    }
    return names;
  }

  return {
    ended,
    ordering,
    loseStore() {
      for (const { faults, state } of running.values()) {
        faults.down = true;
        state.storeOutageMs = 10_000;
      }
    },
  };
}

describe("orders during an outage of the store", () => {
  const NAMES = ["a-1", "a-2", "a-3", "a-4", "a-5"];

  // Guards against layers that never rest, since all instances of a domain move
  // them by plans of their own.
  it("are sent by a single instance of a failure domain", async () => {
    const domain = setUpDomain(NAMES);
    const [holder, ...others] = await domain.ordering();
    expect(others).toEqual([]);
    domain.loseStore();
    expect(await domain.ordering()).toHaveLength(1);
    expect(NAMES).toContain(holder);
  });

  // Guards against layers of lost engines that stay unserved until the store is
  // back, because the instance that ordered before has ended as well.
  it("are sent by the next instance once the first ones have ended", async () => {
    const domain = setUpDomain(NAMES);
    await domain.ordering();
    domain.loseStore();
    domain.ended.add("a-1");
    expect(await domain.ordering()).toEqual(["a-2"]);
    domain.ended.add("a-2");
    expect(await domain.ordering()).toEqual(["a-3"]);
  });

  // Guards against plans of instances that started in the outage, and each take
  // themselves for the only one.
  it("aren't sent by instances that know no other yet", async () => {
    const domain = setUpDomain(NAMES);
    domain.loseStore();
    expect(await domain.ordering()).toEqual([]);
  });
});

describe("presence of an instance whose store calls fail", () => {
  it("keeps it among the users of its domain's engines for 10 s", async () => {
    // The store refuses one instance for 8 s while it continues to serve. If
    // the others removed it after 5 s, they would take its domain's engines
    // for idle and overload them with their own answers.
    const instances = setUp();
    await settle(instances);
    const [first, refused] = instances;
    refused.faults.down = true;
    await vi.advanceTimersByTimeAsync(8_000);
    expect(first.presence.possibleSendersOf("b")).toEqual(["b-1"]);
    await vi.advanceTimersByTimeAsync(8_000);
    expect(first.presence.possibleSendersOf("b")).toEqual([]);
  });
});
