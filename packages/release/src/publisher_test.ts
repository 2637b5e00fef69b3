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

/** Adds adapter `number`, and withdraws the one that the note before added. */
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
  const one = createInstance("one", { memory, network });
  const two = createInstance("two", { memory, network });
  return { one, two };
}

describe("publishing", () => {
  it("lets one of two racing operators win and tells the other", async () => {
    // Two operators publish on top of note 0 at the same time, through two
    // instances. Both read the same head. The store takes one write; without
    // the condition the second would silently replace the first.
    const { one, two } = createPair();
    const results = await Promise.all([
      one.publisher.publish(note(0, "publish-one")),
      two.publisher.publish(note(0, "publish-two")),
    ]);
    const kinds = results.map(({ kind }) => kind).sort();
    expect(kinds).toEqual(["conflict", "recorded"]);
    const conflict = results.find(({ kind }) => kind === "conflict");
    expect(conflict).toMatchObject({ head: { number: 1 } });
  });

  it("finds its own note after a lost reply", async () => {
    // The operator's write takes effect, but the store's answer is lost. A
    // plain retry would see a conflict with its own note and report a loss.
    const { one } = createPair();
    one.faults.loseReplies = 1;
    const result = await one.publisher.publish(note(0, "publish-one"));
    expect(result).toMatchObject({ kind: "recorded", repeated: true });
  });

  it("does not claim success for a write that never arrived", async () => {
    // The request itself is lost: nothing was written, and the operator must
    // learn that the outcome is unknown rather than hear "recorded".
    const { one } = createPair();
    one.faults.loseRequests = 1;
    const result = await one.publisher.publish(note(0, "publish-one"));
    expect(result.kind).toBe("unknown");
  });

  it("answers a repeated publish with the number it had", async () => {
    const { one, two } = createPair();
    await one.publisher.publish(note(0, "publish-one"));
    await two.publisher.publish(note(1, "publish-two"));
    const again = await two.publisher.publish(note(0, "publish-one"));
    expect(again).toMatchObject({
      kind: "recorded",
      repeated: true,
      record: { number: 1 },
    });
  });
});

describe("the note in use", () => {
  it("never goes back to a lower number", async () => {
    // A late peer offers note 1 after note 2 was applied; taking it would
    // bring a withdrawn batch back.
    const { one } = createPair();
    const first = await one.publisher.publish(note(0, "publish-one"));
    await one.publisher.publish(note(1, "publish-two"));
    if (first.kind !== "recorded") throw new Error("note 1 was not recorded");
    expect(one.keeper.offer(first.record)).toBe(false);
    expect(one.keeper.current()?.number).toBe(2);
  });
});

describe("the history", () => {
  it("holds every recorded note and none that lost its race", async () => {
    // Two operators race twice. The head that is overwritten is the only copy
    // of the note before; if it were not kept first, the list of what was
    // published would have a gap, and a lost reply could not be settled.
    const { one, two } = createPair();
    await Promise.all([
      one.publisher.publish(note(0, "publish-one")),
      two.publisher.publish(note(0, "publish-two")),
    ]);
    await Promise.all([
      one.publisher.publish(note(1, "publish-three")),
      two.publisher.publish(note(1, "publish-four")),
    ]);
    const history = await one.publisher.history();
    expect(history?.map(({ number }) => number)).toEqual([2, 1]);
    expect(history?.[0]).toEqual(one.keeper.applied());
  });

  it("misses no note that is recorded while it is read", async () => {
    // An operator lists the notes while another publishes. Between two reads
    // the head moves to the history; read in the wrong order, the list has
    // neither the old place nor the new one of a note.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const two = createInstance("two", { memory, network });
    await two.publisher.publish(note(0, "publish-one"));
    const { store } = memory.client();
    let calls = 0;
    async function publishAfterFirst(): Promise<void> {
      calls += 1;
      if (calls > 1) return;
      await two.publisher.publish(note(1, "publish-two"));
      await two.publisher.publish(note(2, "publish-three"));
    }
    const watched: typeof store = {
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
    const history = createNoteHistory({ deployment: "test", store: watched });
    expect((await history.list())?.map(({ number }) => number)).toEqual([1]);
  });

  it("finds a note that leaves the head while it is looked for", async () => {
    // An operator's reply was lost; the second try looks for the note that
    // won. Just then another note moves it from the head to the history. Read
    // in the wrong order, it is in neither, and a note that won is called lost.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const two = createInstance("two", { memory, network });
    await two.publisher.publish(note(0, "publish-one"));
    const { store } = memory.client();
    let calls = 0;
    const watched: typeof store = {
      ...store,
      async read(key) {
        const result = await store.read(key);
        calls += 1;
        if (calls === 1) await two.publisher.publish(note(1, "publish-two"));
        return result;
      },
    };
    const history = createNoteHistory({ deployment: "test", store: watched });
    expect((await history.find(1))?.note.publishId).toBe("publish-one");
  });

  it("keeps each withdrawal once, and loses none", async () => {
    // Each note adds an adapter and withdraws the one before. Repeated in all
    // later records, withdrawals would fill the store with gigabytes; left out
    // of all, nobody could say any more which note withdrew what.
    const { one } = createPair();
    await one.publisher.publish(note(0, "publish-one"));
    for (let number = 1; number <= 12; number += 1) {
      await one.publisher.publish(withAdapters(number));
    }
    const [head, ...older] = (await one.publisher.history(20)) ?? [];
    const kept = older.map(({ number, catalogue }) =>
      catalogue.withdrawn.map((one) => one.number === number),
    );
    expect(kept.filter((own) => own.length > 1 || own.includes(false))).toEqual(
      [],
    );
    const together = [head, ...older.toReversed()].flatMap(
      (record) => record?.catalogue.withdrawn ?? [],
    );
    const names = new Set(together.map(({ line }) => JSON.stringify(line)));
    expect(names.size).toBe(11);
    expect(head?.catalogue.withdrawn).toHaveLength(11);
  });

  it("is not what an instance applies", async () => {
    // An operator's reply was lost and later notes came. Asked again through
    // another instance, the note is found in the history, where the older
    // withdrawals are left out. Applied from there, callers of what was
    // withdrawn would hear that it never was.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const one = createInstance("one", { memory, network });
    await one.publisher.publish(note(0, "publish-one"));
    for (const number of [1, 2, 3]) {
      await one.publisher.publish(withAdapters(number));
    }
    const { store, faults } = memory.client();
    faults.down = true;
    const alone = createPeerNetwork().join({ id: "two", domain: "two" });
    const { membership, caller: peers } = alone;
    const common = { deployment: "test", instance: "two" };
    const keeper = createNoteKeeper({ ...common, store, membership, peers });
    const reached = memory.client().store;
    const publisher = createPublisher({ ...common, store: reached, keeper });
    const again = await publisher.publish(withAdapters(2));
    expect(again).toMatchObject({ kind: "recorded", record: { number: 3 } });
    expect(keeper.applied()).toEqual(one.keeper.applied());
    keeper.stop();
  });

  it("is not begun again over a head that cannot be read", async () => {
    // A newer release wrote the head in another form. Taken for no head, a
    // note on top of 0 would replace it and forget everything withdrawn.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const one = createInstance("one", { memory, network });
    const { store } = memory.client();
    const key = storedKeys.head("test");
    await store.write(key, { form: 2 }, { expectedVersion: null });
    const result = await one.publisher.publish(note(0, "publish-one"));
    expect(result.kind).toBe("unavailable");
    expect(memory.objects().map(({ value }) => value)).toContainEqual({
      form: 2,
    });
  });

  it("does not call a note lost while it cannot be read", async () => {
    // The operator's note won and was superseded; its reply was lost. On the
    // second try the history is away, and "conflict" would be a false answer.
    const memory = createMemoryStore();
    const network = createPeerNetwork();
    const one = createInstance("one", { memory, network });
    await one.publisher.publish(note(0, "publish-one"));
    await one.publisher.publish(note(1, "publish-two"));
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
      keeper: one.keeper,
    });
    const again = await publisher.publish(note(0, "publish-one"));
    expect(again.kind).toBe("unknown");
  });
});
