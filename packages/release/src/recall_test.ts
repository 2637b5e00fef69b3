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

/** Instances with everything that the life of a note needs, in process. */
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
      // Nobody orders it, so a note is accepted and not in force here.
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

/** A store of which a test can take the head object away. */
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

describe("accepted", () => {
  it("waits for an instance that only the store's list names", async () => {
    // An instance reads note 1 and then loses store and peers before anyone
    // hears of it. Note 1 is recalled. Everyone known confirms, and the
    // operator would read "accepted" while the lost one answers from v1.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const lost = fleet.start("lost", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    fleet.network.hide("lost");
    cutOff(fleet, ["lost", "one"]);
    lost.faults.down = true;
    await publish(one, recallV1);
    expect(lost.keeper.current()?.number).toBe(1);
    expect(await statusOf(one, 2)).toEqual({
      phase: "recorded",
      states: ["lost unheard", "one confirmed"],
    });
  });

  it("is no lie about an instance that was listed late", async () => {
    // A new instance reads note 1 while its entry is on its way and gets lost.
    // Note 1 is recalled and accepted: no list and no peer names it. Its entry
    // arrives, and the head cannot be read just then. Its early read of the
    // head must not let it answer from v1 now.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    fleet.network.hide("late");
    const late = fleet.start("late", "b");
    cutOff(fleet, ["late", "one"]);
    late.faults.loseRequests = Number.POSITIVE_INFINITY;
    await vi.advanceTimersByTimeAsync(1);
    expect(late.keeper.applied()?.number).toBe(1);
    late.head.isAway = true;
    await publish(one, recallV1);
    expect((await statusOf(one, 2)).phase).toBe("accepted");
    late.faults.loseRequests = 0;
    await vi.advanceTimersByTimeAsync(10_000);
    const keys = fleet.memory.objects().map(({ key }) => key);
    expect(keys).toContain(storedKeys.instances(deployment, "b"));
    expect(late.keeper.current()).toBeNull();
  });

  it("waits for an instance that only a peer has told the note", async () => {
    // In an outage of the store a new instance learns note 1 from a peer; no
    // list can name it. The store returns for the others, note 1 is recalled
    // elsewhere, and the instance that collects has never heard of the new one.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    const late = fleet.start("late", "a", { storeDown: true });
    fleet.network.hide("late");
    cutOff(fleet, ["late", "two"]);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(late.keeper.current()?.number).toBe(1);
    cutOff(fleet, ["late", "one"]);
    await publish(two, recallV1);
    expect(await statusOf(two, 2)).toEqual({
      phase: "recorded",
      states: ["late unheard", "one confirmed", "two confirmed"],
    });
  });

  it("is not claimed without the store's list", async () => {
    // The store goes away right after a recall. All known instances have the
    // note from each other, but an unknown one cannot be excluded.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    one.faults.down = true;
    expect((await statusOf(one, 1)).phase).toBe("recorded");
    one.faults.down = false;
    expect((await statusOf(one, 1)).phase).toBe("accepted");
  });

  it("takes a process that has ended as stopped, after a while", async () => {
    // An instance crashes during a recall. Its end is evidence for itself at
    // once, and for an unlisted instance that lived on its word a little later.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    two.node.kill();
    await publish(one, addV1);
    expect((await statusOf(one, 1)).phase).toBe("recorded");
    await vi.advanceTimersByTimeAsync(3_000);
    expect(await statusOf(one, 1)).toEqual({
      phase: "accepted",
      states: ["one confirmed", "two stopped"],
    });
  });
});

describe("a failure domain that is cut off", () => {
  it("hears of a recall from peers when the platform is away", async () => {
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    two.faults.down = true;
    await publish(one, recallV1);
    expect(two.keeper.current()?.number).toBe(2);
    expect((await statusOf(one, 2)).phase).toBe("accepted");
  });

  it("hears of it from the store when peers are away, and is named", async () => {
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    cutOff(fleet, ["one", "two"]);
    await publish(one, addV1);
    expect(two.keeper.current()?.number).toBe(1);
    expect(await statusOf(one, 1)).toEqual({
      phase: "recorded",
      states: ["one confirmed", "two unheard"],
    });
  });

  it("serves on for its allowance, then cuts, and is then excused", async () => {
    // Domain b loses the platform and all peers, and v1 is recalled. It cannot
    // know. It serves v1 for as long as settings allow and is named until then;
    // an excuse before its last answer is cut would be a lie.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    const seen: NoteRecord[] = [];
    two.keeper.onChange((record) => seen.push(record));
    cutOff(fleet, ["one", "two"]);
    two.faults.down = true;
    await publish(one, recallV1);
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS / 2);
    expect(two.keeper.current()?.number).toBe(1);
    expect((await statusOf(one, 2)).phase).toBe("recorded");
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS / 2);
    expect(two.keeper.current()).toBeNull();
    expect(seen.at(-1)?.catalogue.models).toEqual({});
    await vi.advanceTimersByTimeAsync(ALLOWANCE_MS * 0.02);
    expect(await statusOf(one, 2)).toEqual({
      phase: "accepted",
      states: ["one confirmed", "two stopped"],
    });
  });
});

describe("a wall clock that is set forward", () => {
  it("does not cut what an instance in contact runs", async () => {
    // The clock of an instance jumps by hours, as after a wrong start. Taken
    // for a pause, its contact has lapsed, and every answer would be cut.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    const seen: NoteRecord[] = [];
    one.keeper.onChange((record) => seen.push(record));
    // Between two looks of the pause detector, the contact is checked first.
    await vi.advanceTimersByTimeAsync(320);
    vi.setSystemTime(Date.now() + 7_200_000);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(seen).toEqual([]);
    expect(one.keeper.current()?.number).toBe(1);
  });

  it("excuses nobody early", async () => {
    // The clock of the collecting instance jumps by an hour. By that clock the
    // allowance of a silent instance has lapsed, which still answers.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    cutOff(fleet, ["one", "two"]);
    await publish(one, recallV1);
    vi.setSystemTime(Date.now() + 3_600_000);
    expect((await statusOf(one, 2)).phase).toBe("recorded");
  });
});

describe("an outage of the store", () => {
  it("lets a new instance answer from what a peer knows, or refuse", async () => {
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    one.faults.down = true;
    const late = fleet.start("late", "b", { storeDown: true });
    expect(late.keeper.current()).toBeNull();
    await vi.advanceTimersByTimeAsync(1_000);
    expect(late.keeper.current()?.number).toBe(1);
    // Alone and unlisted, it stops soon: nobody could name it.
    cutOff(fleet, ["late", "one"]);
    await vi.advanceTimersByTimeAsync(2_500);
    expect(late.keeper.current()).toBeNull();
  });

  it("records nothing, and what it recorded before still spreads", async () => {
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    one.faults.down = true;
    expect((await publish(one, addV1)).kind).toBe("unavailable");
    one.faults.down = false;
    two.faults.down = true;
    one.faults.loseReplies = 1;
    const lost = await publish(one, addV1);
    expect(lost).toMatchObject({ kind: "recorded", repeated: true });
    one.faults.down = true;
    await vi.advanceTimersByTimeAsync(1_000);
    expect(two.keeper.current()?.number).toBe(1);
  });
});

describe("an instance that was frozen", () => {
  it("looks around before it answers what was queued", async () => {
    // v1 is recalled while an instance is stopped. Thawed, it finds requests
    // in its sockets before any timer or watch of its own has run, and its
    // note says that v1 may answer.
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    const two = fleet.start("two", "b");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    two.faults.down = true;
    cutOff(fleet, ["one", "two"]);
    await publish(one, recallV1);
    fleet.network.heal();
    two.faults.down = false;
    vi.setSystemTime(Date.now() + 10_000);
    expect(two.keeper.current()?.number).toBe(1);
    expect((await two.keeper.fresh())?.number).toBe(2);
  });

  it("goes on if it is cut off as well, without waiting for ever", async () => {
    const fleet = createFleet();
    const one = fleet.start("one", "a");
    await vi.advanceTimersByTimeAsync(2_000);
    await publish(one, addV1);
    one.faults.down = true;
    vi.setSystemTime(Date.now() + 10_000);
    const fresh = one.keeper.fresh();
    await vi.advanceTimersByTimeAsync(1_000);
    expect((await fresh)?.number).toBe(1);
  });
});
