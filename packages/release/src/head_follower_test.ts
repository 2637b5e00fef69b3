import { emptyCatalogue, type NoteRecord } from "@rosemarypin/schemas";
import type { ObjectStore, StoredObject } from "@rosemarypin/store";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { followHead } from "./head_follower.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const record = (number: number): NoteRecord => ({
  number,
  note: {
    supersedes: number - 1,
    publishId: `publish-${number}`,
    reason: "a test",
    added: [],
    changed: [],
    withdrawn: [],
  },
  catalogue: emptyCatalogue,
  recordedAt: 0,
  recordedBy: "one",
});

/** Creates a store that supports only `watch`. */
function watchOnly(watch: ObjectStore["watch"]): ObjectStore {
  const unused = () => Promise.reject(new Error("only the watch is used"));
  return {
    watch,
    read: unused,
    list: unused,
    write: unused,
    remove: unused,
  };
}

it("head follower passes on skipped and repeated versions", async () => {
  // The watch skips note 2 and returns note 1 again after note 3. The follower
  // passes on all of them, and the keeper drops numbers that are not higher.
  const numbers = [1, 3, 1, 3];
  const stopping = new AbortController();
  const store = watchOnly(async (key, { since }) => {
    const number = numbers.shift();
    if (number === undefined) await new Promise(() => {});
    const value = record(number ?? 0);
    const objects: StoredObject[] = [{ key, value, version: since + 1 }];
    return { kind: "ok", value: { objects, revision: since + 1 } };
  });
  const taken: (number | undefined)[] = [];
  const { signal } = stopping;
  void followHead({
    store,
    headKey: "head",
    signal,
    onRead: (read) => taken.push(read.record?.number),
  });
  await vi.advanceTimersByTimeAsync(10_000);
  stopping.abort();
  expect(taken).toEqual([1, 3, 1, 3]);
});

it("head follower backs off when watches end at once without changes", async () => {
  // A broken watch always returns at once without changes. Without a backoff,
  // one instance would use up the store's whole call rate.
  let calls = 0;
  const stopping = new AbortController();
  const store = watchOnly(async () => {
    calls += 1;
    await new Promise((resolve) => setTimeout(resolve, 1));
    return { kind: "ok", value: { objects: [], revision: 0 } };
  });
  const { signal } = stopping;
  const onRead = () => {};
  void followHead({ store, headKey: "head", signal, onRead });
  await vi.advanceTimersByTimeAsync(60_000);
  stopping.abort();
  expect(calls).toBeLessThan(300);
});
