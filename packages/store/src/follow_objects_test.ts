import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { followObjects } from "./follow_objects.ts";
import type { ObjectStore, StoreResult, WatchBatch } from "./object_store.ts";

beforeEach(() => {
  vi.useFakeTimers();
});

afterEach(() => {
  vi.useRealTimers();
});

const KEY = "kanem/notes/head";

function batch(
  revision: number,
  versions: readonly number[],
): StoreResult<WatchBatch> {
  const objects = versions.map((version) => ({
    key: KEY,
    value: version,
    version,
  }));
  return { kind: "ok", value: { revision, objects } };
}

const BROKEN: StoreResult<WatchBatch> = { kind: "unavailable", detail: "cut" };

/** A store whose watch gives the answers in turn, then waits. */
async function follow(answers: readonly StoreResult<WatchBatch>[]) {
  const stopping = new AbortController();
  const left = [...answers];
  const asked: number[] = [];
  const seen: number[] = [];
  const watch: ObjectStore["watch"] = async (_, { since, signal }) => {
    asked.push(since);
    const next = left.shift();
    if (next) return next;
    await new Promise((resolve) => signal?.addEventListener("abort", resolve));
    return BROKEN;
  };
  const unused = async () => BROKEN as never;
  const store = {
    read: unused,
    list: unused,
    write: unused,
    remove: unused,
    watch,
  };
  const ended = followObjects(store, KEY, {
    onObject: ({ version }) => void seen.push(version),
    signal: stopping.signal,
  });
  await vi.advanceTimersByTimeAsync(30_000);
  stopping.abort();
  await ended;
  return { asked, seen };
}

// A recall is published while the watch misbehaves. Were an older version
// passed on after a newer one, an instance would go back to the faulty batch;
// were the watch begun anew after each break, the store would be swamped.
it.each([
  {
    story: "goes on after a break where it was",
    answers: [batch(1, [1]), BROKEN, BROKEN, batch(2, [2])],
    seen: [1, 2],
    asked: [0, 1, 1, 1, 2],
  },
  {
    story: "passes a repeated version on once",
    answers: [batch(1, [1]), batch(1, [1]), batch(2, [1, 2])],
    seen: [1, 2],
    asked: [0, 1, 1, 2],
  },
  {
    story: "never goes back to a version out of order",
    answers: [batch(3, [3]), batch(4, [2])],
    seen: [3],
    asked: [0, 3, 4],
  },
  {
    story: "is not led back by a store that lags",
    answers: [batch(5, [5]), batch(2, []), batch(6, [6])],
    seen: [5, 6],
    asked: [0, 5, 5, 6],
  },
])("$story", async ({ answers, seen, asked }) => {
  expect(await follow(answers)).toEqual({ seen, asked });
});

// The store's watch skips the change that recalls a batch: the position moves
// on, the object is never told. Reading all anew once a minute finds it.
it("finds a change that the watch skipped", async () => {
  const quiet = Array.from({ length: 4 }, () => batch(2, []));
  const seen: number[] = [];
  const answers = [batch(1, [1]), ...quiet];
  const stopping = new AbortController();
  const watch: ObjectStore["watch"] = async (_, { since }) => {
    await new Promise((resolve) => setTimeout(resolve, 25_000));
    return since === 0 && seen.length > 0
      ? batch(2, [2])
      : (answers.shift() ?? batch(2, []));
  };
  const unused = async () => BROKEN as never;
  const store = {
    read: unused,
    list: unused,
    write: unused,
    remove: unused,
    watch,
  };
  void followObjects(store, KEY, {
    onObject: ({ version }) => void seen.push(version),
    signal: stopping.signal,
  });
  await vi.advanceTimersByTimeAsync(150_000);
  stopping.abort();
  expect(seen).toEqual([1, 2]);
});
