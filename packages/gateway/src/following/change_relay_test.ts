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
/** How long the store holds a watch. */
const HOLD_MS = 3_000;
const RELAYS = ["one", "two"].map((host): Address => ({ host, port: 1 }));

let ending: AbortController;

beforeEach(() => {
  vi.useFakeTimers();
  ending = new AbortController();
});

afterEach(() => {
  ending.abort();
  vi.useRealTimers();
});

/** A store with one object, whose state can be hidden from single readers. */
function createStore() {
  const silent = new Set<string>();
  const calls = new Map<string, number>();
  let version = 1;
  let wake: (() => void)[] = [];

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
    if (silent.has(reader)) {
      await new Promise((resolve) => setTimeout(resolve, HOLD_MS + 800));
      return { kind: "unavailable", detail: "no answer" };
    }
    if (version > since) return batch(since);
    await Promise.race([
      new Promise<void>((resolve) => wake.push(resolve)),
      new Promise((resolve) => setTimeout(resolve, HOLD_MS)),
    ]);
    // News that comes while the reader is cut off is lost on the way.
    if (silent.has(reader)) return await new Promise(() => {});
    return batch(since);
  }

  return {
    silent,
    calls,
    change() {
      version += 1;
      const woken = wake;
      wake = [];
      for (const resolve of woken) resolve();
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
  const frozen = new Set<string>();
  const methods = new Map<string, PeerMethods>();
  for (const { host } of RELAYS) {
    const mirrors: ObjectMirror[] = [];
    const relay = createChangeRelay({
      mirrors: () => mirrors,
      probeStore: async () => !store.silent.has(host),
      signal: ending.signal,
    });
    mirrors.push(
      startObjectMirror({
        store: store.as(host),
        prefix: PREFIX,
        signal: ending.signal,
        onObject: () => {},
      }),
    );
    methods.set(host, relay.methods);
  }
  const caller: PeerCaller = {
    async call({ host }, method, { params, timeoutMs = 0 } = {}) {
      const late = new Promise<PeerResult>((resolve) =>
        setTimeout(
          () => resolve({ kind: "unreachable", detail: "late" }),
          timeoutMs,
        ),
      );
      if (frozen.has(host)) return await late;
      const answer = Promise.resolve(methods.get(host)?.[method]?.(params));
      const value = answer.then(
        (result): PeerResult => ({ kind: "ok", value: result }),
      );
      return await Promise.race([value, late]);
    },
  };
  const mirrors: ObjectMirror[] = [];
  const follower = startRelayFollower({
    mirrors: () => mirrors,
    caller,
    relays: () => RELAYS,
    signal: ending.signal,
  });
  const seen: [number, number][] = [];
  mirrors.push(
    startObjectMirror({
      store: store.as("follower"),
      prefix: PREFIX,
      signal: ending.signal,
      onObject: ({ version }) => seen.push([version, performance.now()]),
      relay: follower,
    }),
  );
  const settle = (ms: number) => vi.advanceTimersByTimeAsync(ms);

  /** Milliseconds from a change until the follower has it. */
  async function changeAndWait(ms: number): Promise<number> {
    const { at, version } = store.change();
    await settle(ms);
    const found = seen.find(([one]) => one === version);
    return (found?.[1] ?? Number.POSITIVE_INFINITY) - at;
  }

  return { store, frozen, follower, seen, settle, changeAndWait };
}

describe("a relay", () => {
  it("keeps nothing of calls that it held without news", async () => {
    // A prefix may not change for days, and is asked about twice a second.
    let listeners = 0;
    const log = createChangeLog(new Map());
    const counted: ChangeLog = {
      ...log,
      onChange(listener) {
        const stop = log.onChange(listener);
        listeners += 1;
        return () => {
          listeners -= 1;
          stop();
        };
      },
    };
    const mirror = {
      prefix: PREFIX,
      log: counted,
      ageMs: () => 0,
      awayMs: () => 0,
    } as unknown as ObjectMirror;
    const { methods } = createChangeRelay({
      mirrors: () => [mirror],
      probeStore: async () => true,
      signal: ending.signal,
    });
    const positions = [{ prefix: PREFIX, position: log.position() }];
    for (let call = 0; call < 10; call += 1) {
      const held = methods["objects.follow"]?.({ holdMs: 600, positions });
      expect(listeners).toBe(1);
      await vi.advanceTimersByTimeAsync(600);
      expect(await held).toMatchObject({ changes: [] });
    }
    expect(listeners).toBe(0);
  });
});

describe("an instance that follows the store through another one", () => {
  it("has changes at once, and asks the store now and then only", async () => {
    const { store, settle, changeAndWait, follower } = setUp();
    await settle(4_000);
    expect(follower.isFollowing()).toBe(true);
    expect(await changeAndWait(100)).toBeLessThan(50);
    const before = store.calls.get("follower") ?? 0;
    await settle(60_000);
    const calls = (store.calls.get("follower") ?? 0) - before;
    expect(calls).toBeLessThanOrEqual(4);
    expect(calls).toBeGreaterThanOrEqual(3);
  });

  it("has a change within two seconds though its relay is frozen", async () => {
    const { frozen, settle, changeAndWait } = setUp();
    await settle(4_000);
    frozen.add("one");
    frozen.add("two");
    expect(await changeAndWait(2_000)).toBeLessThan(2_000);
  });

  it("has a change within two seconds though its relay is cut off from the store", async () => {
    const { store, settle, changeAndWait } = setUp();
    await settle(4_000);
    store.silent.add("one");
    store.silent.add("two");
    expect(await changeAndWait(2_000)).toBeLessThan(2_000);
  });

  it("goes on through another relay when its own is lost", async () => {
    const { store, frozen, settle, follower, changeAndWait } = setUp();
    await settle(4_000);
    frozen.add("one");
    await settle(8_000);
    expect(follower.isFollowing()).toBe(true);
    const before = store.calls.get("follower") ?? 0;
    expect(await changeAndWait(100)).toBeLessThan(50);
    expect(store.calls.get("follower")).toBe(before);
  });

  it("never goes back to an older state", async () => {
    const { store, settle, seen, frozen } = setUp();
    await settle(4_000);
    for (let round = 0; round < 20; round += 1) {
      store.change();
      if (round % 5 === 0) frozen.add(round % 2 === 0 ? "one" : "two");
      if (round % 7 === 0) frozen.clear();
      await settle(700);
    }
    const versions = seen.map(([version]) => version);
    expect(versions).toEqual([...versions].sort((a, b) => a - b));
    expect(versions.at(-1)).toBe(21);
  });
});
