import { createMemoryStore, createPeerNetwork } from "@rosemarypin/fakes";
import { describe, expect, it } from "vitest";
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
