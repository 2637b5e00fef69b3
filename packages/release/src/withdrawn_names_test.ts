import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import { emptyCatalogue, storedKeys } from "@rosemarypin/schemas";
import type { ObjectStore } from "@rosemarypin/store";
import { expect, it } from "vitest";
import { createNoteKeeper } from "./note_keeper.ts";
import { createPublisher } from "./publisher.ts";

const HEAD = storedKeys.head("test");
const NAMES = storedKeys.withdrawn("test", "");
/** Maximum number of withdrawals in a head. */
const KEPT = 256;

function adapter(index: number) {
  return { kind: "adapter" as const, model: "assist", adapter: `a${index}` };
}

/** Creates a head whose notes withdrew adapters 0 to `count - 1`. */
function headWith(count: number, reason = "a faulty batch") {
  const withdrawn = Array.from({ length: count }, (_, index) => ({
    line: adapter(index),
    number: index + 1,
    reason,
  }));
  const adapters = ["live", "other"];
  const assist = { versions: {}, serve: [], adapters };
  return {
    number: count,
    note: { ...emptyNote(count - 1), publishId: "publish-head" },
    catalogue: { ...emptyCatalogue, models: { assist }, withdrawn },
    recordedAt: 0,
    recordedBy: "one",
  };
}

function emptyNote(supersedes: number) {
  const lines = { added: [], changed: [], withdrawn: [] };
  return { supersedes, publishId: "publish-test", reason: "a test", ...lines };
}

function withdraw(supersedes: number, name: string) {
  const line = { kind: "adapter" as const, model: "assist", adapter: name };
  const publishId = `publish-${name}`;
  return { ...emptyNote(supersedes), publishId, withdrawn: [line] };
}

function add(supersedes: number, index: number) {
  return { ...emptyNote(supersedes), added: [adapter(index)] };
}

async function createStore(head: unknown) {
  const memory = createMemoryStore();
  const { store } = memory.client();
  await store.write(HEAD, head, { expectedVersion: null });
  const network = createPeerNetwork();
  function publisherOn(own: ObjectStore, name: string) {
    const node = network.join({ id: name, domain: name });
    const keeper = createNoteKeeper({
      deployment: "test",
      store: own,
      membership: node.membership,
      peers: node.caller,
    });
    const common = { deployment: "test", instance: name };
    return createPublisher({ ...common, store: own, keeper });
  }
  function withdrawnInHead(): number {
    const value = memory.objects().find(({ key }) => key === HEAD)?.value;
    return (value as ReturnType<typeof headWith>).catalogue.withdrawn.length;
  }
  function movedNames(): string[] {
    return memory
      .objects()
      .filter(({ key }) => key.startsWith(NAMES))
      .map(({ key }) => key.slice(NAMES.length));
  }
  return { memory, store, publisherOn, withdrawnInHead, movedNames };
}

it("publisher refuses a withdrawn name that the head no longer holds", async () => {
  // After hundreds of recalls, the head has no room for the oldest withdrawal.
  // If an operator could reuse its name, an instance that was cut off meanwhile
  // would take the new batch for the old one.
  const { store, publisherOn, withdrawnInHead } = await createStore(
    headWith(KEPT),
  );
  const publisher = publisherOn(store, "one");
  const recorded = await publisher.publish(withdraw(KEPT, "live"));
  expect(recorded.kind).toBe("recorded");
  expect(withdrawnInHead()).toBe(KEPT);
  const again = await publisher.publish(add(KEPT + 1, 0));
  expect(again).toMatchObject({
    kind: "invalid",
    problems: [{ line: "added[0]" }],
  });
  const fresh = await publisher.publish(add(KEPT + 1, 100_000));
  expect(fresh.kind).toBe("recorded");
});

it("publisher that loses the race stores no withdrawal of its note", async () => {
  // Two operators withdraw two adapters at once. Both publishers move the
  // oldest withdrawal out of the head, and one loses the race. The adapter of
  // its note must not count as withdrawn.
  const { store, publisherOn, movedNames } = await createStore(headWith(KEPT));
  const results = await Promise.all([
    publisherOn(store, "one").publish(withdraw(KEPT, "live")),
    publisherOn(store, "two").publish(withdraw(KEPT, "other")),
  ]);
  expect(results.map(({ kind }) => kind).sort()).toEqual([
    "conflict",
    "recorded",
  ]);
  expect(movedNames()).toEqual(["adapter/assist/a0"]);
});

it("publisher continues after a lost reply to the write of a name", async () => {
  // The object of a name is written, but the reply is lost. Treated as a
  // failure, this would refuse a recall although the store works.
  const { memory, publisherOn, movedNames } = await createStore(headWith(KEPT));
  const { store } = memory.client();
  const losing: ObjectStore = {
    ...store,
    async write(key, value, options) {
      const result = await store.write(key, value, options);
      const isName = key.startsWith(NAMES);
      return isName ? { kind: "reply_lost", detail: "lost" } : result;
    },
  };
  const publisher = publisherOn(losing, "one");
  const recorded = await publisher.publish(withdraw(KEPT, "live"));
  expect(recorded.kind).toBe("recorded");
  expect(movedNames()).toEqual(["adapter/assist/a0"]);
});

it.each([
  ["names cannot be written", (key: string) => key.startsWith(NAMES)],
  ["only the head can be written", (key: string) => key !== HEAD],
  ["the head cannot be written", (key: string) => key === HEAD],
])("publisher loses no withdrawal when %s", async (_name, fails) => {
  // The store fails during a publish, before or after old withdrawals are
  // moved, and the operator retries later. At any time a withdrawn name must be
  // in the head or have its own object.
  const { store, publisherOn, withdrawnInHead, movedNames } = await createStore(
    headWith(KEPT),
  );
  let isDown = true;
  const failing: ObjectStore = {
    ...store,
    write: async (key, value, options) =>
      isDown && fails(key)
        ? { kind: "unavailable", detail: "down" }
        : store.write(key, value, options),
  };
  const publisher = publisherOn(failing, "one");
  const first = await publisher.publish(withdraw(KEPT, "live"));
  expect(first.kind).toBe("unavailable");
  expect(withdrawnInHead()).toBe(KEPT);
  isDown = false;
  const second = await publisher.publish(withdraw(KEPT, "live"));
  expect(second.kind).toBe("recorded");
  expect(movedNames()).toEqual(["adapter/assist/a0"]);
});

it("publisher records nothing while withdrawn names cannot be read", async () => {
  // The head can be read, but the objects of withdrawn names cannot. Recording
  // the note regardless would allow reuse of a withdrawn name.
  const { store, publisherOn, withdrawnInHead } = await createStore(
    headWith(1),
  );
  const failing: ObjectStore = {
    ...store,
    read: async (key) =>
      key === HEAD ? store.read(key) : { kind: "unavailable", detail: "down" },
  };
  const result = await publisherOn(failing, "one").publish(add(1, 7));
  expect(result.kind).toBe("unavailable");
  expect(withdrawnInHead()).toBe(1);
});

it("publisher shrinks a head that exceeds the limit", async () => {
  const { store, publisherOn, withdrawnInHead } = await createStore(
    headWith(KEPT + 40),
  );
  const publisher = publisherOn(store, "one");
  for (let note = KEPT + 40; note < KEPT + 44; note++) {
    const result = await publisher.publish({
      ...add(note, 100_000 + note),
      publishId: `publish-${note}`,
    });
    expect(result.kind).toBe("recorded");
  }
  expect(withdrawnInHead()).toBe(KEPT);
});

it("publisher limits the bytes of withdrawals with long reasons", async () => {
  // 256 reasons of 2,000 characters of three bytes each are 1.5 MB. A limit on
  // the count alone would let the head exceed the store's limit of 1 MB.
  const { store, publisherOn, withdrawnInHead } = await createStore(
    headWith(60, "€".repeat(2_000)),
  );
  const result = await publisherOn(store, "one").publish(add(60, 100_000));
  expect(result.kind).toBe("recorded");
  expect(withdrawnInHead()).toBeLessThan(60);
});

it("publisher refuses a record that is too large before it writes", async () => {
  // A note adds more than one object can hold. The store would refuse the
  // write with an error that does not tell an operator the cause.
  const { memory, store, publisherOn } = await createStore(headWith(1));
  const publisher = publisherOn(store, "one");
  const before = memory.objects().length;
  const layerSets = Array.from({ length: 1_024 }, (_, from) => ({
    name: `layer-set-with-a-long-name-${from}`,
    from,
    to: from + 1,
  }));
  const added = ["v1", "v2", "v3", "v4", "v5", "v6", "v7", "v8", "v9"].map(
    (version) => ({
      kind: "version" as const,
      model: "assist",
      version,
      layers: 1_024,
      layerSets,
      serve: true,
    }),
  );
  const result = await publisher.publish({ ...emptyNote(1), added });
  expect(result.kind).toBe("invalid");
  const [problem] = result.kind === "invalid" ? result.problems : [];
  expect(problem?.message).toContain("more than the 950000");
  expect(memory.objects()).toHaveLength(before);
});

it("publishers that race to add a name record it once", async () => {
  // Two operators add an adapter with the same name at once. The one that
  // loses retries on top of the other's note and must get a refusal.
  const { store, publisherOn } = await createStore(headWith(KEPT));
  const publishers = ["one", "two"].map((name) => publisherOn(store, name));
  const results = await Promise.all(
    publishers.map((publisher, index) =>
      publisher.publish({ ...add(KEPT, 5_000), publishId: `publish-${index}` }),
    ),
  );
  const kinds = results.map(({ kind }) => kind).sort();
  expect(kinds).toEqual(["conflict", "recorded"]);
  const loser = publishers[results[0]?.kind === "conflict" ? 0 : 1];
  const again = await loser?.publish(add(KEPT + 1, 5_000));
  expect(JSON.stringify(again)).toContain("already exists");
});

it("publisher stores no withdrawal before its note is recorded", async () => {
  // One note withdraws more names than a head holds, and its head is not
  // written. An object for one of its names would block a name that is still
  // in use.
  const { store, publisherOn, movedNames } = await createStore(null);
  const failing: ObjectStore = {
    ...store,
    write: async (key, value, options) =>
      key === HEAD
        ? { kind: "unavailable", detail: "down" }
        : store.write(key, value, options),
  };
  const names = Array.from({ length: KEPT + 40 }, (_, index) => index);
  const head = headWith(1);
  head.catalogue.models.assist.adapters.push(
    ...names.map((index) => `b${index}`),
  );
  await store.write(HEAD, head, { expectedVersion: 1 });
  const withdrawn = names.map((index) => ({
    ...adapter(index),
    adapter: `b${index}`,
  }));
  const note = { ...emptyNote(1), withdrawn };
  const result = await publisherOn(failing, "one").publish(note);
  expect(result.kind).toBe("unavailable");
  expect(movedNames().filter((name) => name.includes("/b"))).toEqual([]);
});
