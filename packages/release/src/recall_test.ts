import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import {
  type NoteRecord,
  noteRequestSchema,
  type ReleaseNote,
  releaseNoteSchema,
  storedKeys,
} from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createConfirmer } from "./confirmations.ts";
import { createNoteKeeper } from "./note_keeper.ts";
import { createPublisher } from "./publisher.ts";
import { createRegistration, readRegistry } from "./registration.ts";
import { createStatusCollector } from "./status_collector.ts";

const deployment = "test";
const ALLOWANCE_MS = 60_000;

const addV1 = releaseNoteSchema.parse({
  supersedes: 0,
  publishId: "publish-1",
  reason: "first",
  added: [
    {
      kind: "version",
      model: "assist",
      version: "v1",
      layers: 4,
      layerSets: [{ name: "all", from: 0, to: 4 }],
    },
  ],
});
const recallV1 = releaseNoteSchema.parse({
  supersedes: 1,
  publishId: "publish-2",
  reason: "faulty batch",
  withdrawn: [{ kind: "version", model: "assist", version: "v1" }],
});

/** Creates instances that publish, apply and confirm notes in one process. */
function createFleet() {
  const memory = createMemoryStore();
  const network = createPeerNetwork();

  function start(id: string, domain: string, options = { storeDown: false }) {
    const { store: whole, faults } = memory.client();
    faults.down = options.storeDown;
    const { store, head } = withHeadFault(whole);
    const node = network.join({ id, domain });
    const { membership, caller: peers } = node;
    const { incarnation, peer } = membership.self();
    const registration = createRegistration({
      deployment,
      self: { id, failureDomain: domain, incarnation, peer },
      allowanceMs: ALLOWANCE_MS,
      store,
      peers,
      isPruner: () => false,
      refusedConnectionShowsEnd: true,
      onListed: () => void keeper.refresh(),
    });
    const keeper = createNoteKeeper({
      deployment,
      store,
      membership,
      peers,
      allowanceMs: ALLOWANCE_MS,
      listedSince: registration.listedSince,
    });
    const confirmer = createConfirmer({
      membership,
      keeper,
      engines: () => [],
    });
    const collector = createStatusCollector({
      membership,
      peers,
      keeper,
      confirmer,
      // No instance orders this engine, so no note gets past `accepted`.
      engines: () => [{ id: "engine", failureDomain: "a" }],
      readRegistry: () => readRegistry({ deployment, store }),
      allowanceMs: ALLOWANCE_MS,
      refusedConnectionShowsEnd: true,
    });
    node.serve({
      "note.current": (params) =>
        keeper.answer(noteRequestSchema.parse(params)),
      "note.confirm": (params) => confirmer.confirm(params),
    });
    const publisher = createPublisher({
      deployment,
      instance: id,
      store,
      keeper,
    });
    return { id, node, faults, head, keeper, publisher, collector };
  }

  return { start, network, memory };
}

/** Wraps a store so that a test can make the head object unreadable. */
function withHeadFault(whole: ObjectStore) {
  const headKey = storedKeys.head(deployment);
  const head = { isAway: false };
  const away = { kind: "unavailable", detail: "head away" } as const;
  const store: ObjectStore = {
    ...whole,
    async read(key) {
      const result = await whole.read(key);
      return key === headKey && head.isAway ? away : result;
    },
    async watch(prefix, options) {
      const result = await whole.watch(prefix, options);
      return head.isAway ? away : result;
    },
  };
  return { store, head };
}

type Instance = ReturnType<ReturnType<typeof createFleet>["start"]>;

async function publish(instance: Instance, note: ReleaseNote) {
  const result = await instance.publisher.publish(note);
  await vi.advanceTimersByTimeAsync(400);
  return result;
}

async function statusOf(instance: Instance, number: number) {
  const { phase, instances } = await instance.collector.status(number);
  const states = instances.map(({ id, state }) => `${id} ${state}`).sort();
  return { phase, states };
}

function cutOff(fleet: ReturnType<typeof createFleet>, ids: string[]) {
  const [from = "", ...others] = ids;
  for (const other of others) fleet.network.cut(from, other);
}

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

describe("the accepted phase", () => {
  it("is withheld for an instance that only the store's list names", async () => {
    // An instance reads note 1 and loses the store and all peers before any
    // peer learns of it. Note 1 is recalled, and all instances known to peers
    // confirm. Without the store's list, the recall would be reported as
    // accepted while the lost instance still answers from v1.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const lostInstance = fleet.start("lost", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    fleet.network.hide("lost");
    cutOff(fleet, ["lost", "one"]);
    lostInstance.faults.down = true;
    await publish(firstInstance, recallV1);
    expect(lostInstance.keeper.current()?.number).toBe(1);
    expect(await statusOf(firstInstance, 2)).toEqual({
      phase: "recorded",
      states: ["lost unheard", "one confirmed"],
    });
  });

  it("stays true when an instance is listed after the recall", async () => {
    // A new instance reads note 1 before its entry is written, and is then cut
    // off. Note 1 is recalled and accepted, since no list and no peer names the
    // instance. Its entry is written later while the head cannot be read. The
    // early read of the head must not let it answer from v1.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    fleet.network.hide("late");
    const lateInstance = fleet.start("late", "b");
    cutOff(fleet, ["late", "one"]);
    lateInstance.faults.loseRequests = Number.POSITIVE_INFINITY;
    await vi.advanceTimersByTimeAsync(1);
    expect(lateInstance.keeper.applied()?.number).toBe(1);
    lateInstance.head.isAway = true;
    await publish(firstInstance, recallV1);
    expect((await statusOf(firstInstance, 2)).phase).toBe("accepted");
    lateInstance.faults.loseRequests = 0;
    await vi.advanceTimersByTimeAsync(10_000);
    const keys = fleet.memory.objects().map(({ key }) => key);
    expect(keys).toContain(storedKeys.instances(deployment, "b"));
    expect(lateInstance.keeper.current()).toBeNull();
  });

  it("is withheld for an instance that only a peer names", async () => {
    // During a store outage a new instance gets note 1 from a peer, and the
    // store's list does not name it. After the outage note 1 is recalled
    // through another instance, which does not know the new one.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    const lateInstance = fleet.start("late", "a", { storeDown: true });
    fleet.network.hide("late");
    cutOff(fleet, ["late", "two"]);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(lateInstance.keeper.current()?.number).toBe(1);
    cutOff(fleet, ["late", "one"]);
    await publish(secondInstance, recallV1);
    expect(await statusOf(secondInstance, 2)).toEqual({
      phase: "recorded",
      states: ["late unheard", "one confirmed", "two confirmed"],
    });
  });

  it("is withheld until the store's list is read", async () => {
    // The store fails right after a note is recorded. All known instances
    // have the note, but without the list unknown ones cannot be excluded.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    firstInstance.faults.down = true;
    expect((await statusOf(firstInstance, 1)).phase).toBe("recorded");
    firstInstance.faults.down = false;
    expect((await statusOf(firstInstance, 1)).phase).toBe("accepted");
  });

  it("counts an ended process as stopped after the unlisted allowance", async () => {
    // An instance crashes while a note is published. Its refused connection
    // shows at once that it has ended, but an unlisted instance that got its
    // note from it may serve a little longer.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    secondInstance.node.kill();
    await publish(firstInstance, addV1);
    expect((await statusOf(firstInstance, 1)).phase).toBe("recorded");
    await vi.advanceTimersByTimeAsync(3_000);
    expect(await statusOf(firstInstance, 1)).toEqual({
      phase: "accepted",
      states: ["one confirmed", "two stopped"],
    });
  });
});

describe("a failure domain without store or peers", () => {
  it("receives a recall from peers when the platform is unreachable", async () => {
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    secondInstance.faults.down = true;
    await publish(firstInstance, recallV1);
    expect(secondInstance.keeper.current()?.number).toBe(2);
    expect((await statusOf(firstInstance, 2)).phase).toBe("accepted");
  });

  it("receives a note from the store without peers, but is not confirmed", async () => {
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    cutOff(fleet, ["one", "two"]);
    await publish(firstInstance, addV1);
    expect(secondInstance.keeper.current()?.number).toBe(1);
    expect(await statusOf(firstInstance, 1)).toEqual({
      phase: "recorded",
      states: ["one confirmed", "two unheard"],
    });
  });

  it("serves for its allowance and counts as stopped only afterwards", async () => {
    // Domain b loses the platform and all peers, and v1 is recalled. Domain b
    // cannot learn of the recall and serves v1 until its allowance has elapsed.
    // Reporting it as stopped earlier would accept the recall too early.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    const seen: NoteRecord[] = [];
    secondInstance.keeper.onChange((record) => seen.push(record));
    cutOff(fleet, ["one", "two"]);
    secondInstance.faults.down = true;
    await publish(firstInstance, recallV1);
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS / 2);
    expect(secondInstance.keeper.current()?.number).toBe(1);
    expect((await statusOf(firstInstance, 2)).phase).toBe("recorded");
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS / 2);
    expect(secondInstance.keeper.current()).toBeNull();
    expect(seen.at(-1)?.catalogue.models).toEqual({});
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS * 0.02);
    expect(await statusOf(firstInstance, 2)).toEqual({
      phase: "accepted",
      states: ["one confirmed", "two stopped"],
    });
  });
});

describe("a wall clock that is set forward", () => {
  it("does not cut answers of an instance that has contact", async () => {
    // The wall clock of an instance jumps forward by two hours. Taken for
    // elapsed time, it would make the contact lapse and cut all answers.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    const seen: NoteRecord[] = [];
    firstInstance.keeper.onChange((record) => seen.push(record));
    // The contact is checked before the next check of the pause detector.
    await vi.advanceTimersByTimeAsync(320);
    vi.setSystemTime(Date.now() + 7_200_000);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(seen).toEqual([]);
    expect(firstInstance.keeper.current()?.number).toBe(1);
  });

  it("does not shorten the allowance of a silent instance", async () => {
    // The wall clock of the collecting instance jumps forward by an hour. By
    // that clock the allowance of a silent instance has elapsed, although the
    // instance still answers.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    cutOff(fleet, ["one", "two"]);
    await publish(firstInstance, recallV1);
    vi.setSystemTime(Date.now() + 3_600_000);
    expect((await statusOf(firstInstance, 2)).phase).toBe("recorded");
  });
});

describe("an outage of the store", () => {
  it("lets a new instance answer only while a peer vouches for its note", async () => {
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    firstInstance.faults.down = true;
    const lateInstance = fleet.start("late", "b", { storeDown: true });
    expect(lateInstance.keeper.current()).toBeNull();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(lateInstance.keeper.current()?.number).toBe(1);
    // Without its peer, the unlisted instance stops soon, because no other
    // process could name it.
    cutOff(fleet, ["late", "one"]);
    await vi.advanceTimersByTimeAsync(2_500);
    expect(lateInstance.keeper.current()).toBeNull();
  });

  it("stops publishing, but recorded notes still spread between peers", async () => {
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    firstInstance.faults.down = true;
    expect((await publish(firstInstance, addV1)).kind).toBe("unavailable");
    firstInstance.faults.down = false;
    secondInstance.faults.down = true;
    firstInstance.faults.loseReplies = 1;
    const lost = await publish(firstInstance, addV1);
    expect(lost).toMatchObject({ kind: "recorded", repeated: true });
    firstInstance.faults.down = true;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(secondInstance.keeper.current()?.number).toBe(1);
  });
});

describe("an instance that was frozen", () => {
  it("refreshes its note before it answers queued requests", async () => {
    // v1 is recalled while an instance is frozen. When it resumes, queued
    // requests are handled before any of its timers or watches has run, and its
    // note still allows v1.
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    const secondInstance = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    secondInstance.faults.down = true;
    cutOff(fleet, ["one", "two"]);
    await publish(firstInstance, recallV1);
    fleet.network.heal();
    secondInstance.faults.down = false;
    vi.setSystemTime(Date.now() + 10_000);
    expect(secondInstance.keeper.current()?.number).toBe(1);
    expect((await secondInstance.keeper.fresh())?.number).toBe(2);
  });

  it("answers after a bounded wait if it is also cut off", async () => {
    const fleet = createFleet();
    const firstInstance = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(firstInstance, addV1);
    firstInstance.faults.down = true;
    vi.setSystemTime(Date.now() + 10_000);
    const fresh = firstInstance.keeper.fresh();
    await vi.advanceTimersByTimeAsync(1_000);
    expect((await fresh)?.number).toBe(1);
  });
});
