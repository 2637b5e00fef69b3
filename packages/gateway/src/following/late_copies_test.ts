import type {
  ObjectStore,
  StoredObject,
  StoreResult,
  WatchBatch,
} from "@rosemarypin/store";
import fc from "fast-check";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { expiringKeysOf, startObjectMirror } from "./object_mirror.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const KEYS = ["k/a", "k/b", "k/c"];

type Versions = ReadonlyMap<string, number>;

/** What the store held at each revision. */
function createHistory() {
  const states: Versions[] = [new Map()];
  return {
    /** Writes the object, or removes it if it exists. */
    change(key: string, isRemoval: boolean): void {
      const state = new Map(states.at(-1));
      if (isRemoval) state.delete(key);
      else state.set(key, states.length);
      states.push(state);
    },
    latest: () => states.length - 1,
    at: (revision: number): Versions => states[revision] ?? new Map(),
  };
}

type History = ReturnType<typeof createHistory>;

function objectsOf(versions: Versions): StoredObject[] {
  return [...versions].map(([key, version]) => ({ key, version, value: {} }));
}

/** Objects changed since a revision, and the keys removed since. */
function changesBetween(history: History, from: number, to: number) {
  const after = history.at(to);
  const known = new Set<string>();
  for (let revision = from; revision < to; revision += 1)
    for (const key of history.at(revision).keys()) known.add(key);
  return {
    objects: objectsOf(after).filter(({ version }) => version > from),
    removed: [...known].filter((key) => !after.has(key)),
  };
}

/** A mirror whose watches the test answers. */
function startMirror() {
  let answerWatch: (result: StoreResult<WatchBatch>) => void = () => {};
  const store = {
    watch: () =>
      new Promise((resolve) => {
        answerWatch = resolve;
      }),
  } as unknown as ObjectStore;
  const abortController = new AbortController();
  const mirror = startObjectMirror({
    store,
    prefix: "k/",
    signal: abortController.signal,
    onObject: () => {},
  });
  return {
    mirror,
    /** Versions of the objects that aren't about to be removed. */
    versions: (): Versions =>
      new Map(
        mirror
          .objects()
          .filter(({ key }) => !mirror.isExpiring(key))
          .map(({ key, version }) => [key, version]),
      ),
    fail: () => answerWatch({ kind: "unavailable", detail: "down" }),
    async answer(value: WatchBatch): Promise<void> {
      answerWatch({ kind: "ok", value });
      // Longer than the delay after changes in a burst.
      await vi.advanceTimersByTimeAsync(300);
    },
    end: () => abortController.abort(),
  };
}

type Running = ReturnType<typeof startMirror>;

/** A copy of a revision, with what was removed since `oldest` and expires. */
function expiringCopy(history: History, oldest: number, revision: number) {
  const kept = new Map([...history.at(oldest), ...history.at(revision)]);
  const current = history.at(revision);
  const expiring = [...kept.keys()].filter((key) => !current.has(key));
  return { revision, objects: objectsOf(kept), expiring };
}

const step = fc.record({
  changes: fc.array(
    fc.record({ key: fc.constantFrom(...KEYS), isRemoval: fc.boolean() }),
    { maxLength: 3 },
  ),
  source: fc.constantFrom("store", "relay", "relay changes", "peer"),
  /** Age of the copy in revisions, and of what it keeps beyond its revision. */
  age: fc.nat(5),
  grace: fc.nat(3),
});

type Step = typeof step extends fc.Arbitrary<infer T> ? T : never;

describe("copies that arrive late", () => {
  // Guards against a removed server that comes back, and against a restarted
  // one that a late removal takes away.
  it("leave the objects of the newest revision heard of", async () => {
    async function apply(
      { source, age, grace }: Step,
      history: History,
      { mirror, answer }: Running,
    ): Promise<void> {
      const revision = Math.max(0, history.latest() - age);
      const copy = expiringCopy(
        history,
        Math.max(0, revision - grace),
        revision,
      );
      if (source === "store") {
        const since = mirror.revision();
        const latest = history.latest();
        const changes = changesBetween(history, since, latest);
        return await answer({ ...changes, revision: latest });
      }
      if (source === "peer") return mirror.applyPeerSnapshot(copy);
      if (source === "relay")
        return mirror.applyRelayChanges({
          ...copy,
          isWhole: true,
          removed: [],
        });
      // A relay at the position of an earlier revision.
      const from = Math.min(mirror.revision(), Math.max(0, revision - grace));
      mirror.applyRelayChanges({
        ...changesBetween(history, from, revision),
        revision,
        isWhole: false,
      });
    }

    const property = fc.asyncProperty(fc.array(step), async (steps) => {
      const history = createHistory();
      for (const key of KEYS) history.change(key, false);
      const running = startMirror();
      await running.answer({
        objects: objectsOf(history.at(history.latest())),
        revision: history.latest(),
        isWhole: true,
      });
      for (const step of steps) {
        for (const { key, isRemoval } of step.changes)
          history.change(key, isRemoval);
        await apply(step, history, running);
        const expected = history.at(running.mirror.revision());
        const sorted = (versions: Versions) => [...versions].sort();
        expect(sorted(running.versions())).toEqual(sorted(expected));
      }
      running.end();
    });
    await fc.assert(property, { numRuns: 300 });
  });

  type Event = "removal" | "late copy" | "copy in its grace period";
  const orders: Event[][] = [
    ["removal", "late copy", "copy in its grace period"],
    ["removal", "copy in its grace period", "late copy"],
    ["late copy", "removal", "copy in its grace period"],
    ["late copy", "copy in its grace period", "removal"],
    ["copy in its grace period", "removal", "late copy"],
    ["copy in its grace period", "late copy", "removal"],
  ];

  it.each(orders.map((order) => [order.join(", "), order] as const))(
    "don't bring a removed object back: %s",
    async (_names, order) => {
      const { mirror, answer, end } = startMirror();
      const object = { key: "k/a", version: 5, value: {} };
      const base = { isWhole: true, removed: [] };
      await answer({ objects: [object], revision: 5, isWhole: true });
      for (const event of order) {
        if (event === "removal")
          await answer({ objects: [], removed: ["k/a"], revision: 9 });
        if (event === "late copy")
          mirror.applyRelayChanges({ ...base, objects: [object], revision: 7 });
        if (event === "copy in its grace period")
          mirror.applyRelayChanges({
            ...base,
            objects: [object],
            revision: 11,
            expiring: ["k/a"],
          });
      }
      expect(mirror.objects()).toEqual([]);
      const back = { ...object, version: 12 };
      mirror.applyRelayChanges({ ...base, objects: [back], revision: 12 });
      expect(mirror.objects()).toEqual([back]);
      end();
    },
  );

  // Guards against a domain without servers after an outage: live ones renew
  // their entries within the grace period.
  it("give an instance that starts the objects that expire", async () => {
    const { mirror, end } = startMirror();
    const objects = [{ key: "k/a", version: 5, value: {} }];
    const copy = { revision: 9, objects, expiring: ["k/a"] };
    mirror.applyRelayChanges({ ...copy, isWhole: true, removed: [] });
    await vi.advanceTimersByTimeAsync(2_000);
    expect(mirror.objects()).toEqual(objects);
    await vi.advanceTimersByTimeAsync(1_000);
    expect(mirror.objects()).toEqual([]);
    end();
  });

  it("don't end the grace period of an object", async () => {
    const { mirror, answer, fail, end } = startMirror();
    const objects = [{ key: "k/a", version: 5, value: {} }];
    await answer({ objects, revision: 5, isWhole: true });
    fail();
    await vi.advanceTimersByTimeAsync(10);
    mirror.recordRelayResponse(0);
    mirror.applyRelayChanges({
      isWhole: false,
      objects: [],
      removed: ["k/a"],
      revision: 9,
    });
    expect(expiringKeysOf(mirror, objects)).toEqual(["k/a"]);
    mirror.applyRelayChanges({
      isWhole: true,
      objects,
      removed: [],
      revision: 7,
    });
    await vi.advanceTimersByTimeAsync(3_000);
    expect(mirror.objects()).toEqual([]);
    end();
  });
});
