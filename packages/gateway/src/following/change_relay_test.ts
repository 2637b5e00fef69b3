import type {
  PeerCaller,
  PeerMethods,
  PeerResult,
} from "@rosemarypin/membership";
import type { Address } from "@rosemarypin/schemas";
import type { ObjectStore, StoreResult, WatchBatch } from "@rosemarypin/store";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { type ChangeLog, createChangeLog } from "./change_log.ts";
import { createChangeRelay } from "./change_relay.ts";
import { type ObjectMirror, startObjectMirror } from "./object_mirror.ts";
import { startRelayFollower } from "./relay_follower.ts";

const PREFIX = "servers/";
/** Time after which the store answers a watch without changes. */
const WATCH_TIMEOUT_MS = 3_000;
const RELAYS = ["one", "two"].map((host): Address => ({ host, port: 1 }));

let abortController: AbortController;

beforeEach(() => {
  vi.useFakeTimers();
  abortController = new AbortController();
});

afterEach(() => {
  abortController.abort();
  vi.useRealTimers();
});

/** A store with one object, whose watches can fail for chosen readers. */
function createStore() {
  const cutOffReaders = new Set<string>();
  const calls = new Map<string, number>();
  let version = 1;
  let pendingWatches: (() => void)[] = [];

  function batch(since: number): StoreResult<WatchBatch> {
    const object = { key: `${PREFIX}e`, value: version, version };
    const objects = version > since ? [object] : [];
    return {
      kind: "ok",
      value: { objects, revision: version, isWhole: since === 0 },
    };
  }

  async function watch(
    reader: string,
    { since }: { since: number },
  ): Promise<StoreResult<WatchBatch>> {
    calls.set(reader, (calls.get(reader) ?? 0) + 1);
    if (cutOffReaders.has(reader)) {
      await new Promise((resolve) =>
        setTimeout(resolve, WATCH_TIMEOUT_MS + 800),
      );
      return { kind: "unavailable", detail: "no answer" };
    }
    if (version > since) return batch(since);
    await Promise.race([
      new Promise<void>((resolve) => pendingWatches.push(resolve)),
      new Promise((resolve) => setTimeout(resolve, WATCH_TIMEOUT_MS)),
    ]);
    // A response is lost if the reader is cut off meanwhile.
    if (cutOffReaders.has(reader)) return await new Promise(() => {});
    return batch(since);
  }

  return {
    cutOffReaders,
    calls,
    change() {
      version += 1;
      const resolvedWatches = pendingWatches;
      pendingWatches = [];
      for (const resolve of resolvedWatches) resolve();
      return { at: performance.now(), version };
    },
    as: (reader: string) =>
      ({
        watch: (_prefix: string, options: { since: number }) =>
          watch(reader, options),
      }) as unknown as ObjectStore,
  };
}

function setUp() {
  const store = createStore();
  const frozenRelays = new Set<string>();
  const methods = new Map<string, PeerMethods>();
  for (const { host } of RELAYS) {
    const mirrors: ObjectMirror[] = [];
    const relay = createChangeRelay({
      mirrors: () => mirrors,
      probeStore: async () => !store.cutOffReaders.has(host),
      signal: abortController.signal,
    });
    mirrors.push(
      startObjectMirror({
        store: store.as(host),
        prefix: PREFIX,
        signal: abortController.signal,
        onObject: () => {},
      }),
    );
    methods.set(host, relay.methods);
  }
  const caller: PeerCaller = {
    async call({ host }, method, { params, timeoutMs = 0 } = {}) {
      const timeout = new Promise<PeerResult>((resolve) =>
        setTimeout(
          () => resolve({ kind: "unreachable", detail: "late" }),
          timeoutMs,
        ),
      );
      if (frozenRelays.has(host)) return await timeout;
      const answer = Promise.resolve(methods.get(host)?.[method]?.(params));
      const value = answer.then(
        (result): PeerResult => ({ kind: "ok", value: result }),
      );
      return await Promise.race([value, timeout]);
    },
  };
  const mirrors: ObjectMirror[] = [];
  const follower = startRelayFollower({
    mirrors: () => mirrors,
    caller,
    relays: () => RELAYS,
    signal: abortController.signal,
  });
  const seen: [number, number][] = [];
  mirrors.push(
    startObjectMirror({
      store: store.as("follower"),
      prefix: PREFIX,
      signal: abortController.signal,
      onObject: ({ version }) => seen.push([version, performance.now()]),
      relayFollower: follower,
    }),
  );
  const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

  /** Returns the milliseconds from a change until the follower has it. */
  async function changeAndWait(ms: number): Promise<number> {
    const { at, version } = store.change();
    await advance(ms);
    const found = seen.find(([seenVersion]) => seenVersion === version);
    return (found?.[1] ?? Number.POSITIVE_INFINITY) - at;
  }

  return { store, frozenRelays, follower, seen, advance, changeAndWait };
}

describe("change relay", () => {
  it("removes its listeners after each long poll without a change", async () => {
    // A prefix may not change for days while each follower polls it twice a
    // second, so listeners that stay registered would leak memory.
    let listeners = 0;
    const log = createChangeLog(new Map());
    const countingLog: ChangeLog = {
      ...log,
      onChange(listener) {
        const unsubscribe = log.onChange(listener);
        listeners += 1;
        return () => {
          listeners -= 1;
          unsubscribe();
        };
      },
    };
    const mirror = {
      prefix: PREFIX,
      log: countingLog,
      ageMs: () => 0,
      unavailableMs: () => 0,
    } as unknown as ObjectMirror;
    const { methods } = createChangeRelay({
      mirrors: () => [mirror],
      probeStore: async () => true,
      signal: abortController.signal,
    });
    const positions = [{ prefix: PREFIX, position: log.position() }];
    for (let call = 0; call < 10; call += 1) {
      const response = methods["objects.follow"]?.({ holdMs: 600, positions });
      expect(listeners).toBe(1);
      await vi.advanceTimersByTimeAsync(600);
      expect(await response).toMatchObject({ changes: [] });
    }
    expect(listeners).toBe(0);
  });
});

describe("relay follower", () => {
  it("receives changes at once and calls the store only for full reads", async () => {
    const { store, advance, changeAndWait, follower } = setUp();
    await advance(4_000);
    expect(follower.isFollowing()).toBe(true);
    expect(await changeAndWait(100)).toBeLessThan(50);
    const before = store.calls.get("follower") ?? 0;
    await advance(60_000);
    const calls = (store.calls.get("follower") ?? 0) - before;
    expect(calls).toBeLessThanOrEqual(4);
    expect(calls).toBeGreaterThanOrEqual(3);
  });

  it("receives a change within two seconds when its relays freeze", async () => {
    const { frozenRelays, advance, changeAndWait } = setUp();
    await advance(4_000);
    frozenRelays.add("one");
    frozenRelays.add("two");
    expect(await changeAndWait(2_000)).toBeLessThan(2_000);
  });

  it("receives a change within two seconds when its relays lose the store", async () => {
    const { store, advance, changeAndWait } = setUp();
    await advance(4_000);
    store.cutOffReaders.add("one");
    store.cutOffReaders.add("two");
    expect(await changeAndWait(2_000)).toBeLessThan(2_000);
  });

  it("switches to another relay when its relay fails", async () => {
    const { store, frozenRelays, advance, follower, changeAndWait } = setUp();
    await advance(4_000);
    frozenRelays.add("one");
    await advance(8_000);
    expect(follower.isFollowing()).toBe(true);
    const before = store.calls.get("follower") ?? 0;
    expect(await changeAndWait(100)).toBeLessThan(50);
    expect(store.calls.get("follower")).toBe(before);
  });

  it("never applies an older version after a newer one", async () => {
    const { store, advance, seen, frozenRelays } = setUp();
    await advance(4_000);
    for (let round = 0; round < 20; round += 1) {
      store.change();
      if (round % 5 === 0) frozenRelays.add(round % 2 === 0 ? "one" : "two");
      if (round % 7 === 0) frozenRelays.clear();
      await advance(700);
    }
    const versions = seen.map(([version]) => version);
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
    expect(versions.at(-1)).toBe(21);
  });
});
