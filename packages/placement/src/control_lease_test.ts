import { createMemoryStore } from "@rosemarypin/fakes";
import { storedKeys } from "@rosemarypin/schemas";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { isLeaseCandidate } from "./control_candidates.ts";
import { createControlLease } from "./control_lease.ts";

const key = storedKeys.lease("test", "a");

function createCompetitors() {
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
  it("is not used by a process that was paused past its end", async () => {
    // The holder's process is paused for 10 s and another instance takes over.
    // On resuming, the old holder sends an order before its timers run, which
    // restores a withdrawn version on an engine that ignores fencing numbers.
    const { start } = createCompetitors();
    const { lease } = start("one");
    await vi.advanceTimersByTimeAsync(10);
    expect(lease.held()).not.toBeNull();
    vi.setSystemTime(Date.now() + 10_000);
    expect(lease.held()).toBeNull();
  });

  it("is never held by two instances at once", async () => {
    // The holder loses its connection to the store, and another instance waits
    // for the lease to lapse. Timed from the wrong moment, both would order.
    const { start } = createCompetitors();
    const first = start("one");
    await vi.advanceTimersByTimeAsync(10);
    const second = start("two");
    await vi.advanceTimersByTimeAsync(3_000);
    first.faults.down = true;
    let holders: (string | undefined)[] = [];
    for (let step = 0; step < 300; step += 1) {
      await vi.advanceTimersByTimeAsync(50);
      const held = [first.lease.held() && "one", second.lease.held() && "two"];
      holders = held.flatMap((name) => name ?? []);
      expect(holders.length).toBeLessThan(2);
    }
    expect(holders).toEqual(["two"]);
    expect(second.lease.held()?.fencingNumber).toBe(2);
  });

  it("survives lost replies to renewals", async () => {
    // Renewals take effect but their replies are lost, so the holder's next
    // write conflicts with its own. Treated as the loss of the lease, that
    // would leave the domain without orders until the lease lapses.
    const { start } = createCompetitors();
    const { lease, faults } = start("one");
    await vi.advanceTimersByTimeAsync(10);
    for (let step = 0; step < 10; step += 1) {
      faults.loseReplies = 1;
      await vi.advanceTimersByTimeAsync(2_000);
      expect(lease.held()?.fencingNumber).toBe(1);
    }
  });

  it("is acquired although the reply to the write was lost", async () => {
    const { start } = createCompetitors();
    const { lease, faults } = start("one");
    faults.loseReplies = 1;
    await vi.advanceTimersByTimeAsync(2_500);
    expect(lease.held()?.fencingNumber).toBe(1);
  });

  it("lapses in a store outage and is acquired only after it", async () => {
    const { start } = createCompetitors();
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

  it("passes to the next candidate at once when released", async () => {
    const { start } = createCompetitors();
    const first = start("one");
    await vi.advanceTimersByTimeAsync(10);
    const second = start("two");
    await first.lease.release();
    await vi.advanceTimersByTimeAsync(2_000);
    expect(second.lease.held()?.fencingNumber).toBe(2);
  });

  it("does not restart fencing numbers at 1 when it cannot be parsed", async () => {
    // A later release wrote the lease in another format. Engines that check
    // fencing numbers would refuse all orders if numbering restarted at 1.
    const { start, stored } = createCompetitors();
    const first = start("one");
    await vi.advanceTimersByTimeAsync(10);
    await first.lease.release();
    const expectedVersion = stored()?.version ?? null;
    await first.store.write(key, { form: 2 }, { expectedVersion });
    const second = start("two");
    await vi.advanceTimersByTimeAsync(20_000);
    expect(second.lease.held()).toBeNull();
    expect(stored()?.value).toEqual({ form: 2 });
  });
});

describe("lease candidates", () => {
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

  it("are few, and from other domains if a domain has no live instance", () => {
    const many = ["1", "2", "3", "4", "5"].map((id) => member(id, "a"));
    const dead = member("0", "a", false);
    expect(candidates([dead, ...many], "a")).toEqual(["1", "2", "3"]);
    expect(candidates([dead, ...many], "b")).toEqual(["1", "2"]);
  });
});
