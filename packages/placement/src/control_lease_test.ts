import { createMemoryStore } from "@rosemarypin/fakes";
import { storedKeys } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { isLeaseCandidate } from "./control_candidates.ts";
import { createControlLease } from "./control_lease.ts";

const key = storedKeys.lease("test", "a");

function createHolders() {
  const memory = createMemoryStore();
  const start = (holder: string) => {
    const { store, faults } = memory.client();
    const options = { deployment: "test", failureDomain: "a", store };
    const lease = createControlLease({ ...options, holder, incarnation: 1 });
    return { lease, faults, store };
  };
  const stored = () => memory.objects().find((object) => object.key === key);
  return { start, stored };
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("the control lease", () => {
  it("is not used by a holder that was frozen past its end", async () => {
    // The holder is stopped for ten seconds; another takes over and orders.
    // Thawed, the old holder runs an order before any timer of its own, and
    // brings a withdrawn version back on an engine that ignores the number.
    const { start } = createHolders();
    const { lease } = start("one");
    await vi.advanceTimersByTimeAsync(10);
    expect(lease.held()).not.toBeNull();
    vi.setSystemTime(Date.now() + 10_000);
    expect(lease.held()).toBeNull();
  });

  it("is never held by two at once", async () => {
    // The holder loses the store; another waits until the lease has lapsed.
    // If it counted from the wrong moment, both would order for a while.
    const { start } = createHolders();
    const one = start("one");
    await vi.advanceTimersByTimeAsync(10);
    const two = start("two");
    await vi.advanceTimersByTimeAsync(3_000);
    one.faults.down = true;
    let holders: (string | undefined)[] = [];
    for (let step = 0; step < 300; step += 1) {
      await vi.advanceTimersByTimeAsync(50);
      const held = [one.lease.held() && "one", two.lease.held() && "two"];
      holders = held.flatMap((name) => name ?? []);
      expect(holders.length).toBeLessThan(2);
    }
    expect(holders).toEqual(["two"]);
    expect(two.lease.held()?.fencingNumber).toBe(2);
  });

  it("is kept through lost replies", async () => {
    // Renewals take effect and their replies are lost. The version that the
    // holder knows is then old, and taking the conflict for a loss would leave
    // the domain without orders until the lease lapses.
    const { start } = createHolders();
    const { lease, faults } = start("one");
    await vi.advanceTimersByTimeAsync(10);
    for (let step = 0; step < 10; step += 1) {
      faults.loseReplies = 1;
      await vi.advanceTimersByTimeAsync(2_000);
      expect(lease.held()?.fencingNumber).toBe(1);
    }
  });

  it("is known to be acquired after a lost reply", async () => {
    const { start } = createHolders();
    const { lease, faults } = start("one");
    faults.loseReplies = 1;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(lease.held()?.fencingNumber).toBe(1);
  });

  it("lapses in an outage of the store, and nobody takes it", async () => {
    const { start } = createHolders();
    const holders = [start("one"), start("two")];
    await vi.advanceTimersByTimeAsync(10);
    for (const { faults } of holders) faults.down = true;
    await vi.advanceTimersByTimeAsync(60_000);
    expect(holders.map(({ lease }) => lease.held())).toEqual([null, null]);
    for (const { faults } of holders) faults.down = false;
    await vi.advanceTimersByTimeAsync(10_000);
    const held = holders.filter(({ lease }) => lease.held() !== null);
    expect(held).toHaveLength(1);
  });

  it("goes to the next at once when it is given back", async () => {
    const { start } = createHolders();
    const one = start("one");
    await vi.advanceTimersByTimeAsync(10);
    const two = start("two");
    await one.lease.release();
    await vi.advanceTimersByTimeAsync(2_000);
    expect(two.lease.held()?.fencingNumber).toBe(2);
  });

  it("does not start again at 1 when it cannot be read", async () => {
    // A later release wrote the lease in another form. Engines that check
    // have seen high numbers; a lease that begins again is refused by all.
    const { start, stored } = createHolders();
    const one = start("one");
    await vi.advanceTimersByTimeAsync(10);
    await one.lease.release();
    const expectedVersion = stored()?.version ?? null;
    await one.store.write(key, { form: 2 }, { expectedVersion });
    const two = start("two");
    await vi.advanceTimersByTimeAsync(20_000);
    expect(two.lease.held()).toBeNull();
    expect(stored()?.value).toEqual({ form: 2 });
  });
});

describe("candidates for a lease", () => {
  const member = (id: string, failureDomain: string, isAlive = true) => ({
    id,
    failureDomain,
    isAlive,
  });
  const candidates = (
    members: readonly ReturnType<typeof member>[],
    failureDomain: string,
  ) =>
    members
      .map(({ id }) => id)
      .filter((id) => isLeaseCandidate(members, { id, failureDomain }));

  it("are a few of many, and others where a domain has none", () => {
    const many = ["1", "2", "3", "4", "5"].map((id) => member(id, "a"));
    const dead = member("0", "a", false);
    expect(candidates([dead, ...many], "a")).toEqual(["1", "2", "3"]);
    expect(candidates([dead, ...many], "b")).toEqual(["1", "2"]);
  });
});
