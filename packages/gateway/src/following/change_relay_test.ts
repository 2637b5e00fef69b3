import { setMaxListeners } from "node:events";
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
  setMaxListeners(0, abortController.signal);
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

const advance = (ms: number) => vi.advanceTimersByTimeAsync(ms);

/** A relay with one mirror, whose age stays as it is set. */
function createLoneRelay({ isFollowing = false } = {}) {
  const objects = new Map([
    [`${PREFIX}e`, { key: `${PREFIX}e`, value: 1, version: 1 }],
  ]);
  const changeLog = createChangeLog(objects);
  let ageMs = 0;
  const mirror = {
    prefix: PREFIX,
    changeLog,
    isExpiring: () => false,
    revision: () => 1,
    ageMs: () => ageMs,
    unavailableMs: () => 0,
  } as unknown as ObjectMirror;
  const relay = createChangeRelay({
    mirrors: () => [mirror],
    probeStore: async () => false,
    isFollowing: () => isFollowing,
    // The store answers an instance that follows, whatever its relay's copy.
    ...(isFollowing ? { presence: createRecentPresence() } : {}),
    signal: abortController.signal,
  });
  return {
    relay,
    methods: relay.methods,
    position: changeLog.position,
    change: () => changeLog.recordChange(`${PREFIX}e`),
    setAgeMs(value: number) {
      ageMs = value;
    },
  };
}

/** Presence without others, whose list the store has just answered. */
function createRecentPresence() {
  return {
    list: {
      update: () => {},
      newerThan: () => null,
      version: () => 1,
      onChange: () => () => {},
    },
    lastListedAt: () => performance.now(),
    recordFollower: () => {},
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
      changeLog: countingLog,
      isExpiring: () => false,
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

describe("change relay with 40 followers", () => {
  // Guards against a relay with a quarter of a core that encodes each change
  // 40 times.
  it("gives all that wait at a position the same response", async () => {
    const { methods, change, position } = createLoneRelay();
    const waiting = Array.from({ length: 40 }, (_, index) =>
      methods["objects.follow"]?.({
        holdMs: 600,
        positions: [{ prefix: PREFIX, position: position() }],
        from: `f-${index}`,
      }),
    );
    await advance(100);
    change();
    const responses = await Promise.all(waiting);
    expect(responses[0]).toMatchObject({ changes: [{ prefix: PREFIX }] });
    expect(new Set(responses).size).toBe(1);
  });

  it("counts followers that call, of either version", async () => {
    const { relay, methods, position } = createLoneRelay();
    const positions = [{ prefix: PREFIX, position: position() }];
    const follow = (from?: string) =>
      methods["objects.follow"]?.({ holdMs: 600, positions, from });
    void follow("f-1");
    void follow("f-2");
    void follow();
    expect(relay.countFollowers()).toBe(3);
    await advance(600);
    expect(relay.countFollowers()).toBe(2);
    await advance(3_000);
    expect(relay.countFollowers()).toBe(0);
  });

  // Guards against two instances that follow each other, each with the probes
  // of the other for proof that its copy is fresh.
  it("states the age of its own relay's copy if it follows one", async () => {
    const { relay, methods, setAgeMs } = createLoneRelay({ isFollowing: true });
    setAgeMs(1_400);
    const positions = [{ prefix: PREFIX, position: null }];
    const params = { holdMs: 0, positions, from: "f-1" };
    const response = await methods["objects.follow"]?.(params);
    expect(response).toMatchObject({ ageMs: 1_400 });
    expect(relay.servesOlderVersion()).toBe(false);
  });

  it("reports a copy that gets stale before the hold ends", async () => {
    const { methods, position, setAgeMs } = createLoneRelay();
    setAgeMs(700);
    const positions = [{ prefix: PREFIX, position: position() }];
    const params = { holdMs: 600, positions, from: "f-1" };
    let response: unknown;
    void Promise.resolve(methods["objects.follow"]?.(params)).then((value) => {
      response = value;
    });
    await advance(310);
    expect(response).toMatchObject({ changes: [] });
  });
});

describe("relay follower", () => {
  it("receives changes at once and never calls the store", async () => {
    const { store, advance, changeAndWait, follower } = setUp();
    await advance(4_000);
    expect(follower.isFollowing()).toBe(true);
    expect(await changeAndWait(100)).toBeLessThan(50);
    await advance(60_000);
    expect(store.calls.get("follower") ?? 0).toBe(0);
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

  // Guards against a relay that can't be followed, since it had no followers and
  // so hasn't asked the store whether its copy is still the latest.
  it("switches to another relay when its relay fails", async () => {
    const { store, frozenRelays, advance, follower, changeAndWait } = setUp();
    await advance(4_000);
    frozenRelays.add("one");
    await advance(8_000);
    expect(follower.isFollowing()).toBe(true);
    const before = store.calls.get("follower") ?? 0;
    expect(await changeAndWait(100)).toBeLessThan(50);
    expect(store.calls.get("follower") ?? 0).toBe(before);
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
