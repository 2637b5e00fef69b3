import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createRegistration, readRegistry } from "./registration.ts";

const deployment = "test";

function createRack() {
  const memory = createMemoryStore();
  const network = createPeerNetwork();

  function start(id: string, options: { readonly isPruner: boolean }) {
    const { store, faults } = memory.client();
    faults.delayMs = 5;
    const node = network.join({ id, domain: "a" });
    node.serve({ "note.ping": () => true });
    const { incarnation, peer } = node.membership.self();
    const registration = createRegistration({
      deployment,
      self: { id, failureDomain: "a", incarnation, peer },
      allowanceMs: 1_000,
      store,
      peers: node.caller,
      isPruner: () => options.isPruner,
      refusedConnectionShowsEnd: true,
      onListed: () => {},
    });
    return { registration, faults, node };
  }

  async function listed(): Promise<readonly string[] | undefined> {
    const { store } = memory.client();
    const entries = await readRegistry({ deployment, store });
    return entries?.map(({ id }) => id).sort();
  }

  return { start, listed, network };
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

it("registration lists every instance of a rack that starts at once", async () => {
  // Forty instances write the same object at the same time. Some replies and
  // some requests are lost. An instance that took a conflict or a lost reply
  // for success would serve without being listed.
  const rack = createRack();
  const started = Array.from({ length: 40 }, (_, index) => {
    const instance = rack.start(`entry-${index}`, { isPruner: false });
    if (index % 5 === 0) instance.faults.loseReplies = 1;
    if (index % 5 === 1) instance.faults.loseRequests = 1;
    return instance;
  });
  await vi.advanceTimersByTimeAsync(30_000);
  expect(await rack.listed()).toHaveLength(40);
  const since = started.map(({ registration }) => registration.listedSince());
  expect(since).not.toContain(null);
});

it("registration prunes ended instances and keeps silent ones", async () => {
  // One process has ended and one is cut off. If the one that is cut off were
  // removed from the list, a recall would be accepted while it still answers.
  const rack = createRack();
  rack.start("pruner", { isPruner: true });
  const ended = rack.start("ended", { isPruner: false });
  const leaving = rack.start("leaving", { isPruner: false });
  rack.start("silent", { isPruner: false });
  await vi.advanceTimersByTimeAsync(2_000);
  rack.network.cut("pruner", "silent");
  ended.node.kill();
  const left = leaving.registration.leave();
  await vi.advanceTimersByTimeAsync(90_000);
  await left;
  expect(await rack.listed()).toEqual(["pruner", "silent"]);
});
