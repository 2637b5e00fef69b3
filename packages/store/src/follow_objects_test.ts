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

/** Follows a store whose watch returns the answers in turn, then blocks. */
async function follow(answers: readonly StoreResult<WatchBatch>[]) {
  const stopping = new AbortController();
  const remaining = [...answers];
  const sinceRevisions: number[] = [];
  const reported: number[] = [];
  const watch: ObjectStore["watch"] = async (_, { since, signal }) => {
    sinceRevisions.push(since);
    const next = remaining.shift();
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
    onObject: ({ version }) => void reported.push(version),
    signal: stopping.signal,
  });
  await vi.advanceTimersByTimeAsync(30_000);
  stopping.abort();
  await ended;
  return { sinceRevisions, reported };
}

// A recall is published while the watch is faulty. If an older version were
// reported after a newer one, an instance would return to the recalled version;
// if each break restarted the watch from 0, the store would be overloaded.
it.each([
  {
    title: "followObjects resumes a failed watch at its last position",
    answers: [batch(1, [1]), BROKEN, BROKEN, batch(2, [2])],
    reported: [1, 2],
    sinceRevisions: [0, 1, 1, 1, 2],
  },
  {
    title: "followObjects reports a repeated version once",
    answers: [batch(1, [1]), batch(1, [1]), batch(2, [1, 2])],
    reported: [1, 2],
    sinceRevisions: [0, 1, 1, 2],
  },
  {
    title: "followObjects ignores an older version that arrives late",
    answers: [batch(3, [3]), batch(4, [2])],
    reported: [3],
    sinceRevisions: [0, 3, 4],
  },
  {
    title:
      "followObjects does not move back to the position of a stale replica",
    answers: [batch(5, [5]), batch(2, []), batch(6, [6])],
    reported: [5, 6],
    sinceRevisions: [0, 5, 5, 6],
  },
])("$title", async ({ answers, reported, sinceRevisions }) => {
  expect(await follow(answers)).toEqual({ reported, sinceRevisions });
});

// The store's watch skips the change that recalls a version: the position
// advances, but the object is not returned. A full read each minute finds it.
it("followObjects finds a change that the watch skipped", async () => {
  const emptyBatches = Array.from({ length: 4 }, () => batch(2, []));
  const reported: number[] = [];
  const answers = [batch(1, [1]), ...emptyBatches];
  const stopping = new AbortController();
  const watch: ObjectStore["watch"] = async (_, { since }) => {
    await new Promise((resolve) => setTimeout(resolve, 25_000));
    return since === 0 && reported.length > 0
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
    onObject: ({ version }) => void reported.push(version),
    signal: stopping.signal,
  });
  await vi.advanceTimersByTimeAsync(150_000);
  stopping.abort();
  expect(reported).toEqual([1, 2]);
});
