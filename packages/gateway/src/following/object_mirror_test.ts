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

/** A store whose watches answer as the test says, one after the other. */
function setUp() {
  const waiting: ((answer: Answer) => void)[] = [];
  const asked: number[] = [];
  const store = {
    watch: (_prefix: string, { since }: { since: number }) => {
      asked.push(since);
      return new Promise<Answer>((resolve) => waiting.push(resolve));
    },
  } as unknown as ObjectStore;
  const events: string[] = [];
  const ending = new AbortController();
  const mirror = startObjectMirror({
    store,
    prefix: "k/",
    signal: ending.signal,
    onObject: ({ key, version }) => events.push(`${key}@${version}`),
    onRemoved: (key) => events.push(`${key} gone`),
  });
  return {
    mirror,
    events,
    asked,
    end: () => ending.abort(),
    async answer(answer: Answer) {
      waiting.shift()?.(answer);
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

const away: Answer = { kind: "unavailable", detail: "down" };

describe("a mirror of objects", () => {
  it("passes each version on once, and never an older one", async () => {
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

  it("never goes on from before where it was", async () => {
    const { asked, answer, end } = setUp();
    await answer(batch([], { revision: 9, isWhole: true }));
    await answer(batch([], { revision: 7 }));
    expect(asked).toEqual([0, 9, 9]);
    end();
  });

  it("tells at once what was removed while the store worked", async () => {
    const { events, answer, end } = setUp();
    await answer(batch([["k/a", 5]], { isWhole: true }));
    await answer(batch([], { removed: ["k/a"] }));
    expect(events).toEqual(["k/a@5", "k/a gone"]);
    end();
  });

  it("waits for entries that lapsed in an outage to come back", async () => {
    // The store is away for seconds and lets servers' entries lapse. When it
    // is back, live servers write theirs again within two seconds; dropping
    // all of them at the first list would leave nothing to send requests to.
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
    await answer(away);
    await vi.advanceTimersByTimeAsync(1_000);
    await answer(batch([], { isWhole: true }));
    expect(events).toEqual([]);
    await vi.advanceTimersByTimeAsync(1_500);
    await answer(batch([["k/back", 8]]));
    await vi.advanceTimersByTimeAsync(1_500);
    expect(events).toEqual(["k/back@8", "k/lost gone"]);
    end();
  });

  it("waits for entries that a peer has seen lapse during a cut", async () => {
    // A failure domain is cut off, and its servers' entries lapse in the
    // store. When the cut heals, a peer tells that they are gone before the
    // store is read again here. All servers of the domain were dropped at
    // once, though they lived and were in use, and its callers were refused
    // until each had written its entry anew.
    const { mirror, events, answer, end } = setUp();
    await answer(batch([["k/a", 1]], { isWhole: true }));
    await answer(away);
    mirror.takeFromPeer({ revision: 9, objects: [] });
    await vi.advanceTimersByTimeAsync(2_000);
    expect(events).toEqual(["k/a@1"]);
    await answer(batch([["k/a", 10]]));
    await vi.advanceTimersByTimeAsync(3_000);
    expect(events).toEqual(["k/a@1", "k/a@10"]);
    end();
  });

  it("takes a peer's word for what is gone while its own watch works", async () => {
    const { mirror, events, answer, end } = setUp();
    await answer(batch([["k/a", 1]], { isWhole: true }));
    mirror.takeFromPeer({ revision: 9, objects: [] });
    expect(events).toEqual(["k/a@1", "k/a gone"]);
    end();
  });

  it("gathers changes that follow each other closely", async () => {
    const { asked, answer, events, end } = setUp();
    await answer(batch([["k/a", 1]], { revision: 1 }));
    await answer(batch([["k/a", 2]], { revision: 2 }));
    expect(events).toEqual(["k/a@1", "k/a@2"]);
    expect(asked.length).toBe(2);
    await vi.advanceTimersByTimeAsync(250);
    expect(asked.length).toBe(3);
    await vi.advanceTimersByTimeAsync(2_000);
    await answer(batch([["k/a", 3]], { revision: 3 }));
    expect(asked.length).toBe(4);
    end();
  });
});
