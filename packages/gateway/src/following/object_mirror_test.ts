import type { ObjectStore, StoreResult, WatchBatch } from "@rosemarypin/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startObjectMirror } from "./object_mirror.ts";

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

type Answer = StoreResult<WatchBatch>;

/** A store whose pending watches the test answers in order. */
function setUp() {
  const pendingWatches: ((answer: Answer) => void)[] = [];
  const watchedRevisions: number[] = [];
  const store = {
    watch: (_prefix: string, { since }: { since: number }) => {
      watchedRevisions.push(since);
      return new Promise<Answer>((resolve) => pendingWatches.push(resolve));
    },
  } as unknown as ObjectStore;
  const events: string[] = [];
  const abortController = new AbortController();
  const mirror = startObjectMirror({
    store,
    prefix: "k/",
    signal: abortController.signal,
    onObject: ({ key, version }) => events.push(`${key}@${version}`),
    onRemoved: (key) => events.push(`${key} gone`),
  });
  return {
    mirror,
    events,
    watchedRevisions,
    end: () => abortController.abort(),
    async answer(answer: Answer) {
      pendingWatches.shift()?.(answer);
      await vi.advanceTimersByTimeAsync(0);
    },
  };
}

function batch(
  objects: readonly (readonly [string, number])[],
  rest: Partial<WatchBatch> = {},
): Answer {
  return {
    kind: "ok",
    value: {
      objects: objects.map(([key, version]) => ({ key, version, value: {} })),
      revision: 1,
      ...rest,
    },
  };
}

const storeFailure: Answer = { kind: "unavailable", detail: "down" };

describe("object mirror", () => {
  it("reports each version once and ignores older ones", async () => {
    const { events, answer, end } = setUp();
    await answer(batch([["k/a", 5]], { isWhole: true }));
    await answer(batch([["k/a", 4]]));
    await answer(batch([["k/a", 5]]));
    await vi.advanceTimersByTimeAsync(1_000);
    await answer(batch([["k/a", 6]]));
    await vi.advanceTimersByTimeAsync(1_000);
    expect(events).toEqual(["k/a@5", "k/a@6"]);
    end();
  });

  it("never watches from an older revision than it has seen", async () => {
    const { watchedRevisions, answer, end } = setUp();
    await answer(batch([], { revision: 9, isWhole: true }));
    await answer(batch([], { revision: 7 }));
    expect(watchedRevisions).toEqual([0, 9, 9]);
    end();
  });

  it("reports a removal at once while the store is reachable", async () => {
    const { events, answer, end } = setUp();
    await answer(batch([["k/a", 5]], { isWhole: true }));
    await answer(batch([], { removed: ["k/a"] }));
    expect(events).toEqual(["k/a@5", "k/a gone"]);
    end();
  });

  it("keeps entries that expired during an outage for a grace period", async () => {
    // Servers' entries expire during an outage of the store, and live servers
    // rewrite them within two seconds after it. Removing all missing entries at
    // the first full read would leave no server to send requests to.
    const { events, answer, end } = setUp();
    await answer(
      batch(
        [
          ["k/back", 1],
          ["k/lost", 2],
        ],
        { isWhole: true },
      ),
    );
    events.length = 0;
    await answer(storeFailure);
    await vi.advanceTimersByTimeAsync(1_000);
    await answer(batch([], { isWhole: true }));
    expect(events).toEqual([]);
    await vi.advanceTimersByTimeAsync(1_500);
    await answer(batch([["k/back", 8]]));
    await vi.advanceTimersByTimeAsync(1_500);
    expect(events).toEqual(["k/back@8", "k/lost gone"]);
    end();
  });

  it("keeps entries for a grace period when a peer reports them missing during an outage", async () => {
    // A partition cuts a failure domain off, and its servers' entries expire
    // in the store. When it heals, a peer may report them as missing before
    // this instance reads the store. Without the grace period, all servers of
    // the domain are removed although they are live, and its callers are
    // refused until each server has rewritten its entry.
    const { mirror, events, answer, end } = setUp();
    await answer(batch([["k/a", 1]], { isWhole: true }));
    await answer(storeFailure);
    mirror.applyPeerSnapshot({ revision: 9, objects: [] });
    await vi.advanceTimersByTimeAsync(2_000);
    expect(events).toEqual(["k/a@1"]);
    await answer(batch([["k/a", 10]]));
    await vi.advanceTimersByTimeAsync(3_000);
    expect(events).toEqual(["k/a@1", "k/a@10"]);
    end();
  });

  it("removes an entry that a peer lacks at once while its own watch works", async () => {
    const { mirror, events, answer, end } = setUp();
    await answer(batch([["k/a", 1]], { isWhole: true }));
    mirror.applyPeerSnapshot({ revision: 9, objects: [] });
    expect(events).toEqual(["k/a@1", "k/a gone"]);
    end();
  });

  it("delays the next watch during a burst of changes", async () => {
    const { watchedRevisions, answer, events, end } = setUp();
    await answer(batch([["k/a", 1]], { revision: 1 }));
    await answer(batch([["k/a", 2]], { revision: 2 }));
    expect(events).toEqual(["k/a@1", "k/a@2"]);
    expect(watchedRevisions.length).toBe(2);
    await vi.advanceTimersByTimeAsync(250);
    expect(watchedRevisions.length).toBe(3);
    await vi.advanceTimersByTimeAsync(2_000);
    await answer(batch([["k/a", 3]], { revision: 3 }));
    expect(watchedRevisions.length).toBe(4);
    end();
  });
});
