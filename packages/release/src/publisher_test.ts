import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import { storedKeys } from "@rosemarypin/schemas";
import { describe, expect, it } from "vitest";
import { createNoteHistory } from "./note_history.ts";
import { createNoteKeeper } from "./note_keeper.ts";
import { createPublisher } from "./publisher.ts";

const version = (name: string) => ({
  kind: "version" as const,
  model: "assist",
  version: name,
  layers: 4,
  layerSets: [{ name: `set-${name}`, from: 0, to: 4 }],
  serve: true,
});

function note(supersedes: number, publishId: string) {
  const added = [version(publishId)];
  const reason = "a new version";
  return { supersedes, publishId, reason, added, changed: [], withdrawn: [] };
}

/** Adds adapter `number` and withdraws the one of the previous note. */
function withAdapters(number: number) {
  const adapter = (name: number) => ({
    kind: "adapter" as const,
    model: "assist",
    adapter: `a${name}`,
  });
  return {
    ...note(number, `publish-adapter-${number}`),
    added: [adapter(number)],
    withdrawn: number > 1 ? [adapter(number - 1)] : [],
  };
}

function createInstance(
  name: string,
  shared: {
    readonly memory: ReturnType<typeof createMemoryStore>;
    readonly network: ReturnType<typeof createPeerNetwork>;
  },
) {
  const { store, faults } = shared.memory.client();
  const node = shared.network.join({ id: name, domain: name });
  const keeper = createNoteKeeper({
    deployment: "test",
    store,
    membership: node.membership,
    peers: node.caller,
  });
  const publisher = createPublisher({
    deployment: "test",
    instance: name,
    store,
    keeper,
  });
  return { faults, keeper, publisher };
}

function createPair() {
  const memory = createMemoryStore();
  const network = createPeerNetwork();
  const firstInstance = createInstance("one", { memory, network });
  const secondInstance = createInstance("two", { memory, network });
  return { firstInstance, secondInstance };
}

describe("publisher", () => {
  it("records one of two racing notes and reports a conflict for the other", async () => {
    // Two operators publish on top of note 0 at the same time through two
    // instances, which read the same head. Without a conditional write, the
    // second note would silently replace the first.
    const { firstInstance, secondInstance } = createPair();
    const results = await Promise.all([
      firstInstance.publisher.publish(note(0, "publish-one")),
      secondInstance.publisher.publish(note(0, "publish-two")),
    ]);
    const kinds = results.map(({ kind }) => kind).sort();
    expect(kinds).toEqual(["conflict", "recorded"]);
    const conflict = results.find(({ kind }) => kind === "conflict");
    expect(conflict).toMatchObject({ head: { number: 1 } });
  });

  it("recognises its own note after a lost reply", async () => {
    // The write takes effect, but the store's reply is lost. A plain retry
    // would report a conflict with the operator's own note.
    const { firstInstance } = createPair();
    firstInstance.faults.loseReplies = 1;
    const result = await firstInstance.publisher.publish(
      note(0, "publish-one"),
    );
    expect(result).toMatchObject({ kind: "recorded", repeated: true });
  });

  it("reports an unknown outcome if the write was lost", async () => {
    // The request is lost and nothing is written. The publisher cannot know
    // this, and must not report "recorded".
    const { firstInstance } = createPair();
    firstInstance.faults.loseRequests = 1;
    const result = await firstInstance.publisher.publish(
      note(0, "publish-one"),
    );
    expect(result.kind).toBe("unknown");
  });

  it("answers a repeated publish id with the recorded number", async () => {
    const { firstInstance, secondInstance } = createPair();
    await firstInstance.publisher.publish(note(0, "publish-one"));
    await secondInstance.publisher.publish(note(1, "publish-two"));
    const retried = await secondInstance.publisher.publish(
      note(0, "publish-one"),
    );
    expect(retried).toMatchObject({
      kind: "recorded",
      repeated: true,
      record: { number: 1 },
    });
  });
});

describe("note keeper", () => {
  it("never replaces a note by one with a lower number", async () => {
    // A peer that is behind offers note 1 after note 2 was applied. Applying
    // it would bring a withdrawn batch back.
    const { firstInstance } = createPair();
    const first = await firstInstance.publisher.publish(note(0, "publish-one"));
    await firstInstance.publisher.publish(note(1, "publish-two"));
    if (first.kind !== "recorded") throw new Error("note 1 was not recorded");
    expect(firstInstance.keeper.offer(first.record)).toBe(false);
    expect(firstInstance.keeper.current()?.number).toBe(2);
  });
});

describe("note history", () => {
  it("lists every recorded note and none that lost the race", async () => {
    // Two operators race twice. The head is the only copy of the previous note.
    // If it were overwritten before it is copied, the list of notes would have
    // a gap, and the outcome of a lost reply could not be found out.
    const { firstInstance, secondInstance } = createPair();
    await Promise.all([
      firstInstance.publisher.publish(note(0, "publish-one")),
      secondInstance.publisher.publish(note(0, "publish-two")),
    ]);
    await Promise.all([
      firstInstance.publisher.publish(note(1, "publish-three")),
      secondInstance.publisher.publish(note(1, "publish-four")),
    ]);
    const history = await firstInstance.publisher.history();
    expect(history?.map(({ number }) => number)).toEqual([2, 1]);
    expect(history?.[0]).toEqual(firstInstance.keeper.applied());
  });

  it("lists all notes while another one is being recorded", async () => {
    // An operator lists the notes while another one publishes. The head moves
    // to the history between two reads. Read in the wrong order, the note would
    // be found in neither place.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const secondInstance = createInstance("two", { memory, network });
    await secondInstance.publisher.publish(note(0, "publish-one"));
    const { store } = memory.client();
    let calls = 0;
    async function publishAfterFirst(): Promise<void> {
      calls += 1;
      if (calls > 1) return;
      await secondInstance.publisher.publish(note(1, "publish-two"));
      await secondInstance.publisher.publish(note(2, "publish-three"));
    }
    const racingStore: typeof store = {
      ...store,
      async read(key) {
        const result = await store.read(key);
        await publishAfterFirst();
        return result;
      },
      async list(prefix) {
        const result = await store.list(prefix);
        await publishAfterFirst();
        return result;
      },
    };
    const history = createNoteHistory({
      deployment: "test",
      store: racingStore,
    });
    expect((await history.list())?.map(({ number }) => number)).toEqual([1]);
  });

  it("finds a note that moves from the head to the history", async () => {
    // After a lost reply, the retry looks for the recorded note while another
    // publish moves it from the head to the history. Read in the wrong order,
    // it would be found in neither, and the retry would report a conflict.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const secondInstance = createInstance("two", { memory, network });
    await secondInstance.publisher.publish(note(0, "publish-one"));
    const { store } = memory.client();
    let calls = 0;
    const racingStore: typeof store = {
      ...store,
      async read(key) {
        const result = await store.read(key);
        calls += 1;
        if (calls === 1)
          await secondInstance.publisher.publish(note(1, "publish-two"));
        return result;
      },
    };
    const history = createNoteHistory({
      deployment: "test",
      store: racingStore,
    });
    expect((await history.find(1))?.note.publishId).toBe("publish-one");
  });

  it("stores each withdrawal exactly once", async () => {
    // Each note adds an adapter and withdraws the previous one. If all later
    // records repeated the withdrawals, they would fill the store with
    // gigabytes. If no record had them, the withdrawing note would be lost.
    const { firstInstance } = createPair();
    await firstInstance.publisher.publish(note(0, "publish-one"));
    for (let number = 1; number <= 12; number += 1) {
      await firstInstance.publisher.publish(withAdapters(number));
    }
    const [head, ...older] = (await firstInstance.publisher.history(20)) ?? [];
    const kept = older.map(({ number, catalogue }) =>
      catalogue.withdrawn.map((withdrawal) => withdrawal.number === number),
    );
    expect(
      kept.filter((isOwn) => isOwn.length > 1 || isOwn.includes(false)),
    ).toEqual([]);
    const together = [head, ...older.toReversed()].flatMap(
      (record) => record?.catalogue.withdrawn ?? [],
    );
    const names = new Set(together.map(({ line }) => JSON.stringify(line)));
    expect(names.size).toBe(11);
    expect(head?.catalogue.withdrawn).toHaveLength(11);
  });

  it("is not the source of the note that an instance applies", async () => {
    // A reply is lost, later notes are recorded, and the publish is retried
    // through another instance. It finds the note in the history, where records
    // omit earlier withdrawals. Applying that record would report withdrawn
    // names as unknown to callers.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const firstInstance = createInstance("one", { memory, network });
    await firstInstance.publisher.publish(note(0, "publish-one"));
    for (const number of [1, 2, 3]) {
      await firstInstance.publisher.publish(withAdapters(number));
    }
    const { store, faults } = memory.client();
    faults.down = true;
    const alone = createPeerNetwork().join({ id: "two", domain: "two" });
    const { membership, caller: peers } = alone;
    const common = { deployment: "test", instance: "two" };
    const keeper = createNoteKeeper({ ...common, store, membership, peers });
    const reached = memory.client().store;
    const publisher = createPublisher({ ...common, store: reached, keeper });
    const retried = await publisher.publish(withAdapters(2));
    expect(retried).toMatchObject({ kind: "recorded", record: { number: 3 } });
    expect(keeper.applied()).toEqual(firstInstance.keeper.applied());
    keeper.stop();
  });

  it("is not restarted when the head cannot be parsed", async () => {
    // A newer release wrote the head in another format. Treated as missing, it
    // would be replaced by a note on top of 0, and all withdrawals would be
    // lost.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const firstInstance = createInstance("one", { memory, network });
    const { store } = memory.client();
    const key = storedKeys.head("test");
    await store.write(key, { form: 2 }, { expectedVersion: null });
    const result = await firstInstance.publisher.publish(
      note(0, "publish-one"),
    );
    expect(result.kind).toBe("unavailable");
    expect(memory.objects().map(({ value }) => value)).toContainEqual({
      form: 2,
    });
  });

  it("does not report a conflict while it cannot be read", async () => {
    // The note was recorded and superseded, but its reply was lost. The retry
    // cannot read the history, so "conflict" could be a false answer.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const firstInstance = createInstance("one", { memory, network });
    await firstInstance.publisher.publish(note(0, "publish-one"));
    await firstInstance.publisher.publish(note(1, "publish-two"));
    const { store } = memory.client();
    const onlyHead: typeof store = {
      ...store,
      read: (key) =>
        key === storedKeys.head("test")
          ? store.read(key)
          : Promise.resolve({ kind: "unavailable", detail: "down" }),
    };
    const publisher = createPublisher({
      deployment: "test",
      instance: "two",
      store: onlyHead,
      keeper: firstInstance.keeper,
    });
    const retried = await publisher.publish(note(0, "publish-one"));
    expect(retried.kind).toBe("unknown");
  });
});
